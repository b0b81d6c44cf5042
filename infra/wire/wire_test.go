package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"banyanwalk/core/outcome"
)

const (
	methodEcho  Method = 1
	methodFail  Method = 2
	methodCount Method = 3
	methodPanic Method = 4
	methodHang  Method = 5
)

// TestMain fails when a goroutine, such as that of a handler, outlives its stream or
// server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type textMessage struct {
	Value string `msgpack:"v"`
}

// hangEnded receives one value whenever a handler of methodHang returns.
var hangEnded = make(chan struct{}, 1)

type nopLogger struct{}

func (nopLogger) Warn(string, ...any) {}

// startServer serves the test methods on a local port and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	s := NewServer(nopLogger{}, nil)
	HandleUnary(s, methodEcho, func(_ context.Context, in *textMessage) (*textMessage, error) { return in, nil })
	HandleUnary(s, methodFail, func(context.Context, *textMessage) (*textMessage, error) {
		return nil, outcome.New(outcome.TargetBusy, outcome.NotRun, "full").WithRetryAfter(time.Second)
	})
	HandleUnary(s, methodPanic, func(context.Context, *textMessage) (*textMessage, error) { panic("boom") })
	s.Handle(methodCount, func(_ context.Context, stream *Stream) error {
		for i := range 100 {
			if err := stream.Send(&textMessage{Value: string(rune('a' + i%26))}); err != nil {
				return err
			}
		}
		return nil
	})
	s.Handle(methodHang, func(ctx context.Context, stream *Stream) error {
		stream.CancelOnClose()
		if err := stream.Send(&textMessage{}); err != nil {
			return err
		}
		<-ctx.Done()
		hangEnded <- struct{}{}
		return outcome.New(outcome.Cancelled, outcome.NotRun, "cancelled")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, s.Serve(ctx, l)) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return l.Addr().String()
}

func TestCallsShareOneConnection(t *testing.T) {
	addr := startServer(t)
	pool := NewPool(nil)
	defer pool.Close()
	var wg conc.WaitGroup
	for range 64 {
		wg.Go(func() {
			var out textMessage
			assert.NoError(t, pool.Call(t.Context(), addr, methodEcho, &textMessage{Value: "hello"}, &out))
			assert.Equal(t, "hello", out.Value)
		})
	}
	wg.Wait()
}

func TestStreamDeliversAllThenEOF(t *testing.T) {
	conn, err := Dial(t.Context(), startServer(t), nil)
	require.NoError(t, err)
	defer conn.Close()
	stream, err := conn.Open(t.Context(), methodCount)
	require.NoError(t, err)
	defer stream.Close()
	n := 0
	for {
		var out textMessage
		err := stream.Recv(&out)
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		n++
	}
	assert.Equal(t, 100, n)
}

func TestErrorsKeepCodeOutcomeAndRetryAfter(t *testing.T) {
	addr := startServer(t)
	pool := NewPool(nil)
	defer pool.Close()
	testCases := []struct {
		name    string
		method  Method
		code    outcome.Code
		outcome outcome.Outcome
		after   time.Duration
	}{
		{"handler error", methodFail, outcome.TargetBusy, outcome.NotRun, time.Second},
		{"unknown method", Method(999), outcome.UnknownRoute, outcome.NotRun, 0},
		{"handler panic", methodPanic, outcome.Internal, outcome.MayHaveRun, 0},
	}
	for _, test := range testCases {
		t.Run(test.name, func(t *testing.T) {
			err := pool.Call(t.Context(), addr, test.method, &textMessage{}, &textMessage{})
			e := outcome.From(err)
			assert.Equal(t, test.code, e.Code)
			assert.Equal(t, test.outcome, e.Outcome)
			assert.Equal(t, test.after, e.RetryAfter)
		})
	}
}

func TestDialRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	err = NewPool(nil).Call(t.Context(), addr, methodEcho, &textMessage{}, &textMessage{})
	assert.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
	assert.True(t, outcome.IsCode(err, outcome.Unreachable))
}

func TestCancelEndsStreamOnBothSides(t *testing.T) {
	conn, err := Dial(t.Context(), startServer(t), nil)
	require.NoError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := conn.Open(ctx, methodHang)
	require.NoError(t, err)
	defer stream.Close()
	var out textMessage
	require.NoError(t, stream.Recv(&out))
	cancel()
	require.Error(t, stream.Recv(&out))
	<-hangEnded
}

func TestCallAfterCancelIsNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := NewPool(nil).Call(ctx, startServer(t), methodEcho, &textMessage{}, &textMessage{})
	assert.True(t, outcome.IsCode(err, outcome.Cancelled))
	assert.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
}

// The server accepts connections but never completes the handshake. Each caller
// must return at its own deadline instead of waiting until the shared dial fails.
func TestCallersDoNotWaitForAHungDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	addr := l.Addr().String()
	pool := NewPool(nil)
	defer pool.Close()
	var wg conc.WaitGroup
	for range 10 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			err := pool.Call(ctx, addr, methodEcho, &textMessage{}, &textMessage{})
			assert.True(t, outcome.IsCode(err, outcome.DeadlineExceeded), "%v", err)
			assert.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
		})
	}
	wg.Wait()
	select {
	case <-pool.dials[addr].done:
		t.Error("calls waited until the dial failed")
	default:
	}
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	conn, err := net.Dial("tcp", startServer(t))
	require.NoError(t, err)
	defer conn.Close()
	var hello [helloBytes]byte
	binary.BigEndian.PutUint32(hello[:], helloMagic)
	binary.BigEndian.PutUint16(hello[4:], ProtocolVersion+1)
	_, err = conn.Write(hello[:])
	require.NoError(t, err)
	_, err = io.ReadAll(conn) // the server sends its own hello, then closes
	assert.NoError(t, err)
}

func FuzzReadFrame(f *testing.F) {
	var valid bytes.Buffer
	_ = writeFrame(&valid, frameData, &textMessage{Value: "seed"})
	f.Add(valid.Bytes())
	f.Add([]byte{0, 0, 0, 1, 9, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 2})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, body, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		assert.GreaterOrEqual(t, kind, frameOpen)
		assert.LessOrEqual(t, kind, frameEnd)
		assert.Equal(t, data[headerBytes:headerBytes+len(body)], body)
	})
}

func BenchmarkUnaryCall(b *testing.B) {
	s := NewServer(nopLogger{}, nil)
	HandleUnary(s, methodEcho, func(_ context.Context, in *textMessage) (*textMessage, error) { return in, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	pool := NewPool(nil)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var out textMessage
			if err := pool.Call(ctx, l.Addr().String(), methodEcho, &textMessage{Value: "x"}, &out); err != nil {
				b.Error(err)
			}
		}
	})
	pool.Close()
	cancel()
	wg.Wait()
}
