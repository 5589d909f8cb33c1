package balance

import "math/rand/v2"

// pool holds the indexes of candidates; those of the entry's zone come first.
type pool struct {
	indexes []int
	home    int // number of indexes of the entry's zone
}

func (l *pool) reset() {
	l.indexes = l.indexes[:0]
	l.home = 0
}

func (l *pool) add(index int, home bool) {
	l.indexes = append(l.indexes, index)
	if !home {
		return
	}
	last := len(l.indexes) - 1
	l.indexes[last], l.indexes[l.home] = l.indexes[l.home], l.indexes[last]
	l.home++
}

// draw removes a random index. With home set it prefers the entry's zone. The pool
// must not be empty.
func (l *pool) draw(random *rand.Rand, home bool) int {
	count := len(l.indexes)
	if home && l.home > 0 {
		count = l.home
	}
	return l.remove(random.IntN(count))
}

func (l *pool) remove(k int) int {
	index := l.indexes[k]
	if k < l.home {
		l.home--
		l.indexes[k] = l.indexes[l.home]
		k = l.home
	}
	last := len(l.indexes) - 1
	l.indexes[k] = l.indexes[last]
	l.indexes = l.indexes[:last]
	return index
}
