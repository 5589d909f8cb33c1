package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/node/egress"
)

const (
	// sampleAge is the age up to which the upstream's report of its load is used.
	sampleAge = 40 * time.Millisecond
	// probeTimeout bounds a look at the upstream.
	probeTimeout = 100 * time.Millisecond
	// unreachablePause is the time after a refused connection in which the upstream is
	// taken for unreachable.
	unreachablePause = 300 * time.Millisecond
	// suspectTime is how long an upstream that refused a connection counts as cold,
	// unless it announces itself before.
	suspectTime = 3 * time.Second
	// maxProbeBytes bounds the body of a health response.
	maxProbeBytes = 64 << 10
	// defaultMeasuring is the measurement budget in probes a second of an upstream whose
	// service has a health path and states no budget.
	defaultMeasuring = 40.0
)

// freshen calls done once the upstream's load is known well enough. It looks at the
// upstream when the last report is old and the measurement budget allows it. The
// callback may run at once; it must not block.
func (u *upstream) freshen(path string, done func()) {
	u.mu.Lock()
	if path == "" || u.pool == nil || time.Since(u.ownLoadAt) < sampleAge || time.Since(u.unreachableAt) < unreachablePause {
		u.mu.Unlock()
		done()
		return
	}
	if u.probing {
		u.waiting = append(u.waiting, done)
		u.mu.Unlock()
		return
	}
	if !u.measure.Allow(time.Now()) {
		u.mu.Unlock()
		done()
		return
	}
	u.probing = true
	u.waiting = append(u.waiting, done)
	pool := u.pool
	u.mu.Unlock()
	go u.probe(pool, path)
}

func (u *upstream) probe(pool *egress.Pool, path string) {
	err := u.askHealth(pool, path)
	if errors.Is(err, egress.ErrUnreachable) {
		u.unreachable(pool)
	}
	u.mu.Lock()
	waiting := u.waiting
	u.probing, u.waiting = false, nil
	u.mu.Unlock()
	for _, done := range waiting {
		done()
	}
}

// askHealth takes load and cold time from a health response. Its status is not used:
// it may be wrong either way.
func (u *upstream) askHealth(pool *egress.Pool, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream"+path, http.NoBody)
	if err != nil {
		return err
	}
	request.Header["User-Agent"] = nil
	response, err := pool.Do(ctx, request, false, func() error { return nil })
	if err != nil {
		return err
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxProbeBytes)); err != nil {
		return err
	}
	u.setHeaderLoad(response.Header.Get(u.dialect.Load))
	u.setCold(response.Header.Get(u.dialect.ColdMs))
	return nil
}

// setCold takes the time in milliseconds that the upstream stays cold.
func (u *upstream) setCold(value string) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || ms < 0 || ms > maxColdMs {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate.SetWarmup(u.warmup, time.Now().Add(time.Duration(ms*float64(time.Millisecond))))
}

// unreachable records a refused connection. The upstream may start anew, so that it
// counts as cold until it announces itself.
func (u *upstream) unreachable(pool *egress.Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pool != pool {
		return
	}
	u.unreachableAt = time.Now()
	if u.warmup > 0 {
		u.gate.Suspect(suspectTime)
	}
}

// isOpen reports whether a request for the instance may be sent to the upstream.
func (u *upstream) isOpen(instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement != nil && u.announcement.Instance == instance && !u.unconfirmed &&
		time.Since(u.unreachableAt) >= unreachablePause
}

// observeWork takes the service time of the response to the request of the name, and the
// slowdown in percent at its start, which holds for the whole request.
func (u *upstream) observeWork(route, name string, serviceTime time.Duration, slowdown uint32) {
	held := u.running.Held(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.works.Observe(route, serviceTime, held, float64(slowdown)/usualPercent)
}

// priorWorkShare divides a route's objective into the work that its requests are taken to
// need while none was observed. A node that has just started would otherwise take all of
// them and answer them late.
const priorWorkShare = 4

// workOf returns the usual work of a route's requests.
func (n *Node) workOf(route string) admission.Work {
	prior := n.priorWork(route)
	u := n.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.works.Of(route, prior)
}

func (n *Node) priorWork(route string) time.Duration {
	configured := n.directory.View().Doc.Routes[route]
	return configured.Objective() / priorWorkShare
}

// slowdownNow returns the last reported slowdown in percent, 0 when unknown.
func (u *upstream) slowdownNow() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.slowdown
}
