package claims

import "time"

const (
	// releaseMemory is how long a released attempt stays refused. A claim that is
	// overtaken by its release, for example while the leader changes, would
	// otherwise hold the key for an attempt that has ended.
	releaseMemory = 5 * time.Minute
	// maxReleased bounds the remembered attempts; beyond it the oldest is dropped.
	// That can block a key until its attempt's deadline but never grants it twice.
	maxReleased = 1 << 16
)

type releasedAttempt struct {
	id        digest
	expiresMs int64
}

// releasedAttempts remembers attempts that gave their claim back.
type releasedAttempts struct {
	known map[digest]bool
	order []releasedAttempt
}

func newReleasedAttempts() *releasedAttempts {
	return &releasedAttempts{known: map[digest]bool{}}
}

func (r *releasedAttempts) has(id digest) bool { return r.known[id] }

func (r *releasedAttempts) add(id digest, expiresMs int64) {
	if r.known[id] {
		return
	}
	if len(r.order) >= maxReleased {
		r.dropOldest()
	}
	r.known[id] = true
	r.order = append(r.order, releasedAttempt{id, expiresMs})
}

func (r *releasedAttempts) expire(nowMs int64) {
	for len(r.order) > 0 && r.order[0].expiresMs <= nowMs {
		r.dropOldest()
	}
}

func (r *releasedAttempts) dropOldest() {
	delete(r.known, r.order[0].id)
	r.order = r.order[1:]
}
