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

// hosts carries calls between stores in one process. Absent hosts are down.
type hosts map[string]*Store

func (h hosts) Call(_ context.Context, addr string, method wire.Method, request, response any) error {
	s, up := h[addr]
	if !up {
		return outcome.New(outcome.Unreachable, outcome.NotRun, "%s is down", addr)
	}
	if method == rpc.MethodPayloadPut {
		_, err := s.Put(request.(*rpc.PayloadPut).Data)
		return err
	}
	data, err := s.Read(request.(*rpc.PayloadGet).Ref)
	response.(*rpc.PayloadData).Data = data
	return err
}

func replicators(t *testing.T) (hosts, map[string]*Replicator) {
	t.Helper()
	h := hosts{"a": open(t, t.TempDir()), "b": open(t, t.TempDir()), "c": open(t, t.TempDir())}
	return h, map[string]*Replicator{
		"a": NewReplicator(h["a"], []string{"b", "c"}, h),
		"b": NewReplicator(h["b"], []string{"a", "c"}, h),
		"c": NewReplicator(h["c"], []string{"a", "b"}, h),
	}
}

func TestPutNeedsAQuorum(t *testing.T) {
	h, r := replicators(t)
	delete(h, "c")
	ref, err := r["a"].Put(t.Context(), content(1))
	require.NoError(t, err)
	r["a"].Wait()
	require.True(t, h["a"].Has(ref))
	require.True(t, h["b"].Has(ref))

	delete(h, "b")
	_, err = r["a"].Put(t.Context(), content(2))
	require.True(t, outcome.IsCode(err, outcome.NoQuorum))
}

func TestReadFallsBackToPeers(t *testing.T) {
	h, r := replicators(t)
	ref, err := h["b"].Put(content(1))
	require.NoError(t, err)
	got, err := r["a"].ReadSlices(t.Context(), []batch.Slice{{Record: ref, Offset: 0, Length: 4}, {Record: ref, Offset: 4, Length: 2}})
	require.NoError(t, err)
	require.Equal(t, "000100", string(got))
	require.True(t, h["a"].Has(ref), "kept once fetched")
	_, err = r["a"].Read(t.Context(), RefOf(content(9)))
	require.True(t, outcome.IsCode(err, outcome.Unreachable))
}

// TestSecondHostLostAfterRepair loses the disk of one host, repairs it, and
// then loses each other host in turn. All records stay readable.
func TestSecondHostLostAfterRepair(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		h, r := replicators(t)
		delete(h, "c") // misses every put, so records are on two hosts only
		var refs []batch.Ref
		for i := range 50 {
			ref, err := r["a"].Put(t.Context(), content(i))
			require.NoError(t, err)
			refs = append(refs, ref)
		}
		r["a"].Wait()
		h["c"] = open(t, t.TempDir())
		h["b"] = open(t, t.TempDir())
		for _, name := range []string{"b", "c"} {
			repair(t, NewReplicator(h[name], without(name), h), refs)
		}
		delete(h, lost)
		for name := range h {
			reader := NewReplicator(h[name], without(name), h)
			for i, ref := range refs {
				data, err := reader.Read(t.Context(), ref)
				require.NoError(t, err)
				require.Equal(t, content(i), data)
			}
		}
	}
}

func without(name string) []string {
	var others []string
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// repair runs a repairer until nothing is missing.
func repair(t *testing.T, r *Replicator, refs []batch.Ref) {
	t.Helper()
	p := NewRepairer(r, telemetry.Discard())
	p.delay = time.Millisecond
	p.Want(refs...)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	require.Eventually(t, func() bool { return p.Missing() == 0 }, 30*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}

func TestRepairerForgetsWhatIsNotInUse(t *testing.T) {
	_, r := replicators(t)
	p := NewRepairer(r["a"], telemetry.Discard())
	kept, dropped := RefOf(content(1)), RefOf(content(2))
	p.Want(kept, dropped)
	mark := p.Mark()
	p.Want(RefOf(content(3)))
	p.Forget(map[batch.Digest]struct{}{kept.Digest: {}}, mark)
	require.Equal(t, 2, p.Missing(), "the one in use and the one wanted since")
	p.Want(dropped)
	p.Forget(map[batch.Digest]struct{}{kept.Digest: {}}, mark)
	require.Equal(t, 3, p.Missing(), "wanted again")
}

func BenchmarkPut(b *testing.B) {
	s, err := Open(b.TempDir(), 0, epoch)
	require.NoError(b, err)
	b.SetBytes(4 * 50)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := s.Put(fmtContent()); err != nil {
				b.Fail()
			}
		}
	})
}
