package membership

// changeLog keeps the last changes of a sequence. The version is the number of
// changes so far.
type changeLog[T any] struct {
	version uint64
	ring    []T
}

// add records a change and forgets the oldest one above size.
func (h *changeLog[T]) add(c T, size int) {
	if len(h.ring) < size {
		h.ring = append(h.ring, c)
	} else {
		h.ring[h.version%uint64(size)] = c //nolint:gosec // a constant
	}
	h.version++
}

// since calls visit for each change after a version, oldest first. It returns
// false when the history does not reach back that far.
func (h *changeLog[T]) since(version uint64, visit func(T)) bool {
	if version > h.version || h.version-version > uint64(len(h.ring)) {
		return false
	}
	for v := version; v < h.version; v++ {
		visit(h.ring[v%uint64(len(h.ring))])
	}
	return true
}
