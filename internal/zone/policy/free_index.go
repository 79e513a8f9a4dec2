package policy

import (
	"math/bits"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// bucketCount is the number of buckets of a freeIndex.
const bucketCount = 24

// freeIndex holds workers by free cores in buckets of growing size, so that a worker with enough room is found
// without a scan.
type freeIndex struct {
	workers [bucketCount][]*worker
}

// bucketOf returns the bucket of an amount of free cores in thousandths: 0 for none, else two buckets per power of two
// above 1/16 of a core, split at the half step.
func bucketOf(cores int64) int {
	if cores <= 0 {
		return 0
	}
	n := uint64(cores)/64 + 1
	b := bits.Len64(n)
	half := 0
	if b > 1 && n&(1<<(b-2)) != 0 {
		half = 1
	}
	return min(2*(b-1)+half+1, bucketCount-1)
}

func (x *freeIndex) insert(w *worker) {
	w.bucket = bucketOf(w.free().Cores)
	w.bucketIndex = len(x.workers[w.bucket])
	x.workers[w.bucket] = append(x.workers[w.bucket], w)
}

func (x *freeIndex) remove(w *worker) {
	b := x.workers[w.bucket]
	last := b[len(b)-1]
	b[w.bucketIndex], last.bucketIndex = last, w.bucketIndex
	x.workers[w.bucket] = b[:len(b)-1]
	w.bucket = -1
}

// count returns the number of workers that may have the given free cores.
func (x *freeIndex) count(cores int64) int {
	n := 0
	for b := max(bucketOf(cores), 1); b < bucketCount; b++ {
		n += len(x.workers[b])
	}
	return n
}

// workerAt returns the i-th of the workers counted by count.
func (x *freeIndex) workerAt(cores int64, i int) *worker {
	for b := max(bucketOf(cores), 1); b < bucketCount; b++ {
		if i < len(x.workers[b]) {
			return x.workers[b][i]
		}
		i -= len(x.workers[b])
	}
	return nil
}

// freeIndexOf returns the index that holds the worker, which depends on whether it has accelerators.
func (p *Policy) freeIndexOf(w *worker) *freeIndex {
	if w.capacity.Accelerators > 0 {
		return &p.acceleratorWorkers
	}
	return &p.plainWorkers
}

func (p *Policy) removeFromIndex(w *worker) {
	if w.bucket >= 0 {
		p.freeIndexOf(w).remove(w)
	}
}

// updateIndex computes the free size of the worker again and moves it to the matching bucket.
func (p *Policy) updateIndex(w *worker) {
	w.updateFreeSize()
	if w.bucket >= 0 && w.bucket == bucketOf(w.free().Cores) {
		return
	}
	p.removeFromIndex(w)
	p.freeIndexOf(w).insert(w)
}

// capacitySet counts workers by capacity.
type capacitySet map[fleet.Size]int

func (s capacitySet) add(size fleet.Size) { s[size]++ }

func (s capacitySet) remove(size fleet.Size) {
	if s[size]--; s[size] <= 0 {
		delete(s, size)
	}
}

func (s capacitySet) fits(size fleet.Size) bool {
	for c := range s {
		if size.Fits(c) {
			return true
		}
	}
	return false
}
