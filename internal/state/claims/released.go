package claims

import "time"

const (
	// releasedRetention is how long claims of a released attempt are refused. A claim
	// can be applied after the release of its own attempt, for example during a
	// change of leader, and would otherwise hold the key for an attempt that has ended.
	releasedRetention = 5 * time.Minute
	// maxReleasedAttempts is the maximum number of released attempts in the set; beyond
	// it the oldest is removed. A late claim of a removed attempt can block its key until
	// the deadline of that attempt, but the key is never granted twice.
	maxReleasedAttempts = 1 << 16
)

// releasedAttempt identifies an attempt by attemptDigest.
type releasedAttempt struct {
	id          digest
	expiresAtMs int64
}

// releasedAttempts is the set of recently released attempts. The queue holds them in
// the order of their release, which is also the order of their expiry.
type releasedAttempts struct {
	ids   map[digest]bool
	queue []releasedAttempt
}

func newReleasedAttempts() *releasedAttempts {
	return &releasedAttempts{ids: map[digest]bool{}}
}

func (r *releasedAttempts) contains(id digest) bool { return r.ids[id] }

func (r *releasedAttempts) add(id digest, expiresAtMs int64) {
	if r.ids[id] {
		return
	}
	if len(r.queue) >= maxReleasedAttempts {
		r.removeOldest()
	}
	r.ids[id] = true
	r.queue = append(r.queue, releasedAttempt{id, expiresAtMs})
}

func (r *releasedAttempts) removeExpired(nowMs int64) {
	for len(r.queue) > 0 && r.queue[0].expiresAtMs <= nowMs {
		r.removeOldest()
	}
}

func (r *releasedAttempts) removeOldest() {
	delete(r.ids, r.queue[0].id)
	r.queue = r.queue[1:]
}
