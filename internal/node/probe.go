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
	// freshLoadAge is the age up to which the upstream's report of its load is used
	// without a new probe.
	freshLoadAge = 40 * time.Millisecond
	// probeTimeout bounds a probe of the upstream.
	probeTimeout = 100 * time.Millisecond
	// unreachableDuration is the time after a refused connection during which the upstream
	// is considered unreachable.
	unreachableDuration = 300 * time.Millisecond
	// suspectDuration is how long an upstream that refused a connection counts as cold,
	// unless it announces itself earlier.
	suspectDuration = 3 * time.Second
	// maxProbeBytes bounds the body of a health response.
	maxProbeBytes = 64 << 10
	// defaultProbesPerSecond is the measurement budget of an upstream whose service has a
	// health path but configures no budget.
	defaultProbesPerSecond = 40.0
)

// refreshLoad calls done once the upstream's load report is as recent as possible. It
// probes the upstream when the last report is older than freshLoadAge, longer ago when it
// states a rate limit, and the measurement budget allows it. The callback may run before refreshLoad returns; it must not block.
func (u *upstream) refreshLoad(path string, done func()) {
	u.mu.Lock()
	if path == "" || u.pool == nil || time.Since(u.reportedLoadAt) < freshLoadAge ||
		time.Since(u.unreachableAt) < unreachableDuration || u.rateLimit.needsNoProbe(time.Now()) {
		u.mu.Unlock()
		done()
		return
	}
	if u.probing {
		u.probeCallbacks = append(u.probeCallbacks, done)
		u.mu.Unlock()
		return
	}
	if !u.measurementBudget.Allow(time.Now()) {
		u.mu.Unlock()
		done()
		return
	}
	u.probing = true
	u.probeCallbacks = append(u.probeCallbacks, done)
	pool := u.pool
	u.mu.Unlock()
	go u.probe(pool, path)
}

func (u *upstream) probe(pool *egress.Pool, path string) {
	err := u.requestHealth(pool, path)
	if errors.Is(err, egress.ErrUnreachable) {
		u.markUnreachable(pool)
	}
	u.mu.Lock()
	callbacks := u.probeCallbacks
	u.probing, u.probeCallbacks = false, nil
	u.mu.Unlock()
	for _, done := range callbacks {
		done()
	}
}

// requestHealth reads the load and the remaining cold time from the headers of a health
// response. The status is ignored: it may be wrong both for a healthy and for an unhealthy
// upstream.
func (u *upstream) requestHealth(pool *egress.Pool, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream"+path, http.NoBody)
	if err != nil {
		return err
	}
	request.Header["User-Agent"] = nil
	sentAt := time.Now()
	response, err := pool.Do(ctx, request, false, func() error { return nil })
	if err != nil {
		return err
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxProbeBytes)); err != nil {
		return err
	}
	u.setLoadFromHeader(response.Header.Get(u.dialect.Load))
	u.setColdRemaining(response.Header.Get(u.dialect.ColdMs))
	if u.isFromInstance(response.Header) {
		u.observeSignals(pool, sentAt, response.Header)
	}
	return nil
}

// isFromInstance reports whether a health response is of the announced instance, as far as the
// dialect lets upstreams name themselves: the address may have been taken over by another one.
func (u *upstream) isFromInstance(header http.Header) bool {
	if u.dialect.InstanceID == "" {
		return true
	}
	a := u.currentAnnouncement()
	return a != nil && header.Get(u.dialect.InstanceID) == a.Instance
}

// setColdRemaining sets how long the upstream stays cold, in milliseconds. An invalid
// value has no effect.
func (u *upstream) setColdRemaining(value string) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || ms < 0 || ms > maxColdMs {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate.SetWarmup(u.warmupPerSecond, time.Now().Add(time.Duration(ms*float64(time.Millisecond))))
}

// markUnreachable records a refused connection. The upstream may be restarting, so that it
// counts as cold for suspectDuration or until it announces itself.
func (u *upstream) markUnreachable(pool *egress.Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pool != pool {
		return
	}
	u.unreachableAt = time.Now()
	if u.warmupPerSecond > 0 {
		u.gate.Suspect(suspectDuration)
	}
}

// isOpen reports whether a request for the instance may be sent to the upstream.
func (u *upstream) isOpen(instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement != nil && u.announcement.Instance == instance && !u.unconfirmed && !u.awaitingSignals &&
		time.Since(u.unreachableAt) >= unreachableDuration
}

// observeWork records the service time of a request, and the slowdown at its start, which
// applies to the whole request.
func (u *upstream) observeWork(route, requestID string, serviceTime time.Duration, slowdownPercent uint32) {
	nestedWait := u.requestTracker.NestedWait(requestID)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.workEstimates.Observe(route, serviceTime, nestedWait, float64(slowdownPercent)/normalSlowdownPercent)
}

// priorWorkDivisor divides a route's objective; the result is the work that is assumed for
// its requests until one has been observed. Without this assumption a node that has just
// started would admit all requests and answer them late.
const priorWorkDivisor = 4

// expectedWork returns the mean work of a route's requests, or priorWork until one has
// been observed.
func (n *Node) expectedWork(route string) admission.Work {
	prior := n.priorWork(route)
	u := n.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.workEstimates.Estimate(route, prior)
}

// priorWork returns the work that is assumed for a route's requests until one has been
// observed.
func (n *Node) priorWork(route string) time.Duration {
	configured := n.directory.View().Doc.Routes[route]
	return configured.Objective() / priorWorkDivisor
}

// currentSlowdownPercent returns the last reported slowdown, 0 when unknown.
func (u *upstream) currentSlowdownPercent() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.slowdownPercent
}
