package netpeek

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const patience = 30 * time.Second // liveness only

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (one, other net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	one, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	other, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		one.Close()
		other.Close()
	})
	return one, other
}

func TestAConnectionIsSeenWithoutReadingFromIt(t *testing.T) {
	one, other := pair(t)
	assert.True(t, Quiet(one))
	_, err := other.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !Quiet(one) }, patience, time.Millisecond)
	assert.False(t, Closed(Raw(one)), "there is something to read")
	var buf [1]byte
	_, err = one.Read(buf[:])
	require.NoError(t, err)
	assert.Equal(t, "x", string(buf[:]))
	other.Close()
	assert.Eventually(t, func() bool { return Closed(Raw(one)) && !Quiet(one) }, patience, time.Millisecond)
}

func TestAWatchTellsOfTheEndOnce(t *testing.T) {
	one, other := pair(t)
	gone := make(chan struct{}, 2)
	stop := WatchClosed(one, time.Millisecond, func() { gone <- struct{}{} })
	other.Close()
	<-gone
	stop()
	assert.Empty(t, gone)
	WatchClosed(nil, time.Millisecond, nil)()
}
