package payload

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

// storesByHost is an in-process Caller. Calls to hosts that it does not contain
// fail as unreachable.
type storesByHost map[string]*Store

func (h storesByHost) Call(_ context.Context, addr string, method wire.Method, request, response any) error {
	store, ok := h[addr]
	if !ok {
		return outcome.New(outcome.Unreachable, outcome.NotRun, "%s is down", addr)
	}
	if method == rpc.MethodPayloadPut {
		_, err := store.Put(request.(*rpc.PayloadPut).Data)
		return err
	}
	data, err := store.Read(request.(*rpc.PayloadGet).Ref)
	response.(*rpc.PayloadResponse).Data = data
	return err
}

func newReplicators(t *testing.T) (storesByHost, map[string]*Replicator) {
	t.Helper()
	h := storesByHost{"a": openStore(t, t.TempDir()), "b": openStore(t, t.TempDir()), "c": openStore(t, t.TempDir())}
	return h, map[string]*Replicator{
		"a": NewReplicator(h["a"], []string{"b", "c"}, h),
		"b": NewReplicator(h["b"], []string{"a", "c"}, h),
		"c": NewReplicator(h["c"], []string{"a", "b"}, h),
	}
}

func TestPutNeedsAQuorum(t *testing.T) {
	h, r := newReplicators(t)
	delete(h, "c")
	ref, err := r["a"].Put(t.Context(), recordData(1))
	require.NoError(t, err)
	r["a"].Wait()
	require.True(t, h["a"].Has(ref))
	require.True(t, h["b"].Has(ref))

	delete(h, "b")
	_, err = r["a"].Put(t.Context(), recordData(2))
	require.True(t, outcome.IsCode(err, outcome.NoQuorum))
}

func TestReadFallsBackToPeers(t *testing.T) {
	h, r := newReplicators(t)
	ref, err := h["b"].Put(recordData(1))
	require.NoError(t, err)
	got, err := r["a"].ReadSlices(t.Context(), []batch.Slice{{Record: ref, Offset: 0, Length: 4}, {Record: ref, Offset: 4, Length: 2}})
	require.NoError(t, err)
	require.Equal(t, "000100", string(got))
	require.True(t, h["a"].Has(ref), "a fetched record is stored locally")
	_, err = r["a"].Read(t.Context(), RefOf(recordData(9)))
	require.True(t, outcome.IsCode(err, outcome.Unreachable))
}

// Records are stored on a and b only, because c is down. Then b loses its disk,
// b and c are repaired, and one host is lost, each in turn. All records stay
// readable from the remaining hosts.
func TestSecondHostLostAfterRepair(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		h, r := newReplicators(t)
		delete(h, "c") // down during the puts, so that records are on two hosts only
		var refs []batch.Ref
		for i := range 50 {
			ref, err := r["a"].Put(t.Context(), recordData(i))
			require.NoError(t, err)
			refs = append(refs, ref)
		}
		r["a"].Wait()
		h["c"] = openStore(t, t.TempDir())
		h["b"] = openStore(t, t.TempDir())
		for _, name := range []string{"b", "c"} {
			repairAll(t, NewReplicator(h[name], otherHosts(name), h), refs)
		}
		delete(h, lost)
		for name := range h {
			reader := NewReplicator(h[name], otherHosts(name), h)
			for i, ref := range refs {
				data, err := reader.Read(t.Context(), ref)
				require.NoError(t, err)
				require.Equal(t, recordData(i), data)
			}
		}
	}
}

func otherHosts(name string) []string {
	var others []string
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// repairAll runs a repairer until no record is missing.
func repairAll(t *testing.T, r *Replicator, refs []batch.Ref) {
	t.Helper()
	p := NewRepairer(r, telemetry.Discard())
	p.initialDelay = time.Millisecond
	p.Require(refs...)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- p.Run(ctx) }()
	require.Eventually(t, func() bool { return p.Missing() == 0 }, 30*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-runErr)
}

func TestRepairerDropsUnusedRecords(t *testing.T) {
	_, r := newReplicators(t)
	p := NewRepairer(r["a"], telemetry.Discard())
	kept, dropped := RefOf(recordData(1)), RefOf(recordData(2))
	p.Require(kept, dropped)
	seq := p.Sequence()
	p.Require(RefOf(recordData(3)))
	p.DropUnused(map[batch.Digest]struct{}{kept.Digest: {}}, seq)
	require.Equal(t, 2, p.Missing(), "the record in use and the one required after seq remain")
	p.Require(dropped)
	p.DropUnused(map[batch.Digest]struct{}{kept.Digest: {}}, seq)
	require.Equal(t, 3, p.Missing(), "a record required again after seq remains")
}

func BenchmarkPut(b *testing.B) {
	s, err := Open(b.TempDir(), 0, testOpenTime, nil)
	require.NoError(b, err)
	b.SetBytes(4 * 50)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := s.Put(uniqueRecordData()); err != nil {
				b.Fail()
			}
		}
	})
}
