package membership

// changeLog keeps the most recent changes in a ring buffer. The version is the number of
// changes added so far.
type changeLog[T any] struct {
	version uint64
	ring    []T
}

// add appends a change and overwrites the oldest one if the log already holds size changes.
func (l *changeLog[T]) add(c T, size int) {
	if len(l.ring) < size {
		l.ring = append(l.ring, c)
	} else {
		l.ring[l.version%uint64(size)] = c //nolint:gosec // size is a small constant
	}
	l.version++
}

// since calls visit for each change after a version, oldest first. It returns
// false if the log no longer holds all of these changes.
func (l *changeLog[T]) since(version uint64, visit func(T)) bool {
	if version > l.version || l.version-version > uint64(len(l.ring)) {
		return false
	}
	for v := version; v < l.version; v++ {
		visit(l.ring[v%uint64(len(l.ring))])
	}
	return true
}
