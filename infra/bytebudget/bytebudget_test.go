package bytebudget

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const budgetBytes = 16 << 20

func ended(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// Guards against large bodies that leave no room for ordinary requests.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	b := New(budgetBytes, "b", metrics.NewRegistry())
	var held []*Reservation
	for {
		r := b.Reserve()
		if r.Grow(ended(t), 4<<20) != nil {
			break
		}
		held = append(held, r)
	}
	assert.Len(t, held, 3)
	for range (budgetBytes - 12<<20) / SmallBytes {
		require.NoError(t, b.Reserve().Grow(ended(t), SmallBytes))
	}
	assert.ErrorIs(t, b.Reserve().Grow(ended(t), SmallBytes), ErrNoRoom)
	for _, r := range held {
		r.Release()
		r.Release()
	}
	assert.NoError(t, b.Reserve().Grow(ended(t), 4<<20), "what was released can be reserved again")
}

// Guards against a request that is allowed but never fits, also when nothing else runs.
func TestRequestBeyondTheBudgetIsServedAlone(t *testing.T) {
	b := New(1<<20, "b", metrics.NewRegistry())
	r := b.Reserve()
	require.NoError(t, r.Grow(ended(t), 5<<20))
	assert.ErrorIs(t, b.Reserve().Grow(ended(t), 2*SmallBytes), ErrNoRoom)
	r.Release()
	body := bytes.Repeat([]byte("x"), 4<<20)
	read, err := b.Reserve().ReadAll(t.Context(), bytes.NewReader(body), -1, 4<<20)
	require.NoError(t, err)
	assert.Equal(t, body, read)
}

// Guards against room that an announced length takes before its bytes have come.
func TestAnnouncedBytesTakeNoRoom(t *testing.T) {
	registry := metrics.NewRegistry()
	b := New(budgetBytes, "b", registry)
	r := b.Reserve()
	_, err := r.ReadAll(t.Context(), io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 4<<20, 4<<20)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.LessOrEqual(t, b.held.Count(), int64(SmallBytes))
	r.Release()
	assert.Zero(t, b.held.Count())
}

func TestBodiesAreReadWholeUpToTheLimit(t *testing.T) {
	const limit = 200 << 10
	for _, size := range []int{0, 1, initialBytes, SmallBytes, SmallBytes + 1, limit - 1, limit, limit + 1, 2 * limit} {
		for _, isAnnounced := range []bool{true, false} {
			announced := int64(-1)
			if isAnnounced {
				announced = int64(size)
			}
			body := bytes.Repeat([]byte("x"), size)
			r := New(budgetBytes, "b", metrics.NewRegistry()).Reserve()
			read, err := r.ReadAll(t.Context(), iotest.HalfReader(bytes.NewReader(body)), announced, limit)
			if size > limit {
				require.ErrorIs(t, err, ErrTooLarge, "%d bytes", size)
				assert.LessOrEqual(t, r.bytes, int64(limit+1))
				continue
			}
			require.NoError(t, err, "%d bytes", size)
			assert.Equal(t, body, read)
		}
	}
}
