package intake

import "cmp"

// pairHeap is a heap of pairs with the fewest drops first; ties are ordered by ID.
type pairHeap []*pair

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h pairHeap) Len() int { return len(h) }

func (h pairHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].dropped, h[j].dropped), cmp.Compare(h[i].proxy, h[j].proxy), cmp.Compare(h[i].replica, h[j].replica)) < 0
}

func (h pairHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *pairHeap) Push(x any) { *h = append(*h, x.(*pair)) }

func (h *pairHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
