package netpeek

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 30 * time.Second // bounds only how long a failing test waits

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

func TestPeekDoesNotConsumeData(t *testing.T) {
	client, server := tcpPair(t)
	assert.True(t, Idle(client))
	_, err := server.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !Idle(client) }, testTimeout, time.Millisecond)
	assert.False(t, PeerClosed(RawConn(client)), "unread data is left")
	var buf [1]byte
	_, err = client.Read(buf[:])
	require.NoError(t, err)
	assert.Equal(t, "x", string(buf[:]))
	server.Close()
	assert.Eventually(t, func() bool { return PeerClosed(RawConn(client)) && !Idle(client) }, testTimeout, time.Millisecond)
}

func TestWatchClosedCallsBackOnce(t *testing.T) {
	client, server := tcpPair(t)
	closed := make(chan struct{}, 2)
	stop := WatchClosed(client, time.Millisecond, func() { closed <- struct{}{} })
	server.Close()
	<-closed
	stop()
	assert.Empty(t, closed)
	WatchClosed(nil, time.Millisecond, nil)()
}
