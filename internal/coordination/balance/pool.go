package balance

import "math/rand/v2"

// candidatePool holds the indexes of candidates; those in the zone of the entry node come
// first.
type candidatePool struct {
	indexes    []int
	localCount int // number of indexes of candidates in the entry node's zone
}

func (p *candidatePool) reset() {
	p.indexes = p.indexes[:0]
	p.localCount = 0
}

func (p *candidatePool) add(index int, local bool) {
	p.indexes = append(p.indexes, index)
	if !local {
		return
	}
	last := len(p.indexes) - 1
	p.indexes[last], p.indexes[p.localCount] = p.indexes[p.localCount], p.indexes[last]
	p.localCount++
}

// draw removes and returns a random index, with preferLocal one of the entry node's zone
// if there is any. The pool must not be empty.
func (p *candidatePool) draw(random *rand.Rand, preferLocal bool) int {
	count := len(p.indexes)
	if preferLocal && p.localCount > 0 {
		count = p.localCount
	}
	return p.remove(random.IntN(count))
}

// remove removes and returns the index at a position. It does not keep the order.
func (p *candidatePool) remove(position int) int {
	index := p.indexes[position]
	if position < p.localCount {
		p.localCount--
		p.indexes[position] = p.indexes[p.localCount]
		position = p.localCount
	}
	last := len(p.indexes) - 1
	p.indexes[position] = p.indexes[last]
	p.indexes = p.indexes[:last]
	return index
}
