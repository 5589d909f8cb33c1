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
	// without a new probe while requests wait for its speed.
	freshLoadAge = 40 * time.Millisecond
	// probeTimeout bounds a probe of the upstream.
	probeTimeout = 100 * time.Millisecond
	// unreachableDuration is the time after a refused connection during which the upstream
	// is considered unreachable.
	unreachableDuration = 300 * time.Millisecond
	// suspectDuration is how long an upstream that refused a connection counts as cold,
	// unless it announces itself earlier.
	suspectDuration = 3 * time.Second
	// maxProbeCallbacks bounds the quotes that wait for a probe; further ones get the last
	// report.
	maxProbeCallbacks = 1024
	// maxProbeBytes bounds the body of a health response.
	maxProbeBytes = 64 << 10
	// defaultProbesPerSecond is the measurement budget of an upstream whose service has a
	// health path but configures no budget.
	defaultProbesPerSecond = 40.0
)

// needsProbeForQuote reports whether a quote needs a probe of the upstream; see
// admission.NeedsProbe. The caller holds u.mu.
func (u *upstream) needsProbeForQuote() bool {
	report := u.gate.Report()
	return admission.NeedsProbe(admission.LoadFacts{
		Age:      time.Since(u.reportedLoadAt),
		Slowdown: float64(u.slowdownPercent) / normalSlowdownPercent,
		Running:  int(report.GetInFlight()),
		Limit:    int(report.GetLimit()),
	})
}

// needsProbeForSpeed reports whether requests that wait for a slow upstream need a probe. The
// caller holds u.mu.
func (u *upstream) needsProbeForSpeed() bool { return time.Since(u.reportedLoadAt) >= freshLoadAge }

// refreshLoad calls done once the upstream's load report is recent enough. It probes the
// upstream when needsProbe, which is called with u.mu locked, asks for it, no stated rate limit
// speaks against it, and the measurement budget allows it. The callback may run before
// refreshLoad returns; it must not block.
func (u *upstream) refreshLoad(path string, needsProbe func() bool, done func()) {
	u.mu.Lock()
	if path == "" || u.pool == nil || !needsProbe() ||
		time.Since(u.unreachableAt) < unreachableDuration || u.rateLimit.needsNoProbe(time.Now()) {
		u.mu.Unlock()
		done()
		return
	}
	if u.probing && len(u.probeCallbacks) >= maxProbeCallbacks {
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

// healthResponse is the head of a health response whose body was read and discarded.
type healthResponse struct {
	status int
	header http.Header
	// sentAt is when the request was sent.
	sentAt time.Time
}

// getHealth requests the health path of an upstream over the pool.
func getHealth(ctx context.Context, pool *egress.Pool, path string) (*healthResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream"+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header["User-Agent"] = nil // keeps net/http from adding its own
	sentAt := time.Now()
	response, err := pool.Do(ctx, request, false, func() error { return nil })
	if err != nil {
		return nil, err
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxProbeBytes)); err != nil {
		return nil, err
	}
	return &healthResponse{status: response.StatusCode, header: response.Header, sentAt: sentAt}, nil
}

// requestHealth reads from the headers of a health response the load, the remaining cold time
// and what the upstream states about itself. The status is ignored: it may be wrong both for a
// healthy and for an unhealthy upstream.
func (u *upstream) requestHealth(pool *egress.Pool, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, err := getHealth(ctx, pool, path)
	if err != nil {
		return err
	}
	u.setLoadFromHeader(response.header.Get(u.dialect.Load))
	u.setColdRemaining(response.header.Get(u.dialect.ColdMs))
	if u.isFromInstance(response.header) {
		u.observeSignals(pool, response.sentAt, response.header)
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
