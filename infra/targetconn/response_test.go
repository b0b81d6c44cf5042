package targetconn

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pipe returns a connection on which the given text arrives, again and again after
// its first part.
func pipe(t *testing.T, first, again string) *Conn {
	near, far := net.Pipe()
	var wg conc.WaitGroup
	wg.Go(func() {
		defer far.Close()
		_, err := far.Write([]byte(first))
		for again != "" && err == nil {
			_, err = far.Write([]byte(again))
		}
	})
	t.Cleanup(func() {
		near.Close()
		wg.Wait()
	})
	return newConn(near)
}

// readHead reads the header of a response.
func readHead(conn *Conn) error {
	response, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
	if err == nil {
		response.Body.Close()
	}
	return err
}

func TestHeadWithoutEndIsRefused(t *testing.T) {
	long := strings.Repeat("x", 4000)
	for _, again := range []string{"X-Long: " + long + "\r\n", long} {
		require.ErrorIs(t, readHead(pipe(t, "HTTP/1.1 200 OK\r\n", again)), ErrHeadTooLong)
	}
	interim := "HTTP/1.1 103 Early Hints\r\nLink: " + long + "\r\n\r\n"
	require.ErrorIs(t, readHead(pipe(t, interim, interim)), ErrHeadTooLong)
}

// The limit is that of the header: bodies of any length can be read, also after
// interim responses.
func TestBodyIsNotLimitedWithHead(t *testing.T) {
	conn := pipe(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("b", 1_000_000), "")
	response, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
	require.NoError(t, err)
	defer response.Body.Close()
	buf := make([]byte, 64<<10)
	total := 0
	for {
		n, err := response.Body.Read(buf)
		total += n
		if err != nil {
			break
		}
	}
	assert.Equal(t, 1_000_000, total)
}
