package batch

import "container/heap"

// itemHeap is a min-heap of item numbers.
type itemHeap []uint32

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)        { *h = append(*h, x.(uint32)) }
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func pushItem(items *[]uint32, i uint32) { heap.Push((*itemHeap)(items), i) }

func popLowestItem(items *[]uint32) uint32 { return heap.Pop((*itemHeap)(items)).(uint32) }

// expiryEntry is the deadline of a lease when the entry was pushed. The lease may
// have been renewed or ended since.
type expiryEntry struct {
	deadline int64 // Unix milliseconds
	key      leaseKey
	attempt  uint32
}

type expiryHeap []expiryEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiryEntry)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
