package node

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/node/egress"
)

// signalLogInterval is the shortest interval between two log lines about the rate limit that
// the upstream states, since it may state another one in each response.
const signalLogInterval = time.Second

const (
	// minLimitedProbeInterval and maxLimitedProbeInterval bound the interval of the probes of an
	// upstream that states a rate limit. In between the probes are half of the stated rate: an
	// upstream in need is not to spend its capacity on health responses, but the end of the need
	// has to be noticed.
	minLimitedProbeInterval = 500 * time.Millisecond
	maxLimitedProbeInterval = 2 * time.Second
	limitedProbeShare       = 0.5
)

const (
	// signalTimeout bounds the wait for the first response of an upstream that this node has not
	// seen starting. After it the upstream is used.
	signalTimeout = 2 * time.Second
	// askInterval is the interval between two probes of such an upstream.
	askInterval = 50 * time.Millisecond
)

// noStatedRateLimit is the value of the metric while the upstream states no rate limit.
const noStatedRateLimit = -1

// statedLimit is the rate limit that the upstream beside this node states in its responses.
type statedLimit struct {
	active bool
	// perSecond is in requests per second.
	perSecond float64
	// statedAt is when the last response with the limit arrived.
	statedAt time.Time
}

// observe applies a response to a request that was sent at sentAt and reports whether the limit
// has changed. A response raises or ends the limit only if its request was sent after the last
// response with the limit had arrived: responses on different connections may arrive in another
// order than the upstream sent them.
func (l *statedLimit) observe(now, sentAt time.Time, limited bool, perSecond float64) bool {
	isRelaxed := l.active && (!limited || perSecond > l.perSecond)
	if !l.active && !limited || isRelaxed && !sentAt.After(l.statedAt) {
		return false
	}
	changed := l.active != limited || l.perSecond != perSecond
	l.active, l.perSecond = limited, perSecond
	if limited {
		l.statedAt = now
	}
	return changed
}

// needsNoProbe reports whether a response has stated the limit so recently that the upstream is
// not to be probed.
func (l *statedLimit) needsNoProbe(now time.Time) bool {
	if !l.active {
		return false
	}
	interval := maxLimitedProbeInterval
	if probesPerSecond := limitedProbeShare * l.perSecond; probesPerSecond*maxLimitedProbeInterval.Seconds() > 1 {
		interval = max(minLimitedProbeInterval, time.Duration(float64(time.Second)/probesPerSecond))
	}
	return now.Sub(l.statedAt) < interval
}

// observeSignals applies what the headers of a response state about the upstream itself. The
// pool is the one over which the request was sent at sentAt; responses of an earlier start of
// the upstream have no effect. Once it has returned for a leaving upstream, no further request
// is sent to the upstream.
func (u *upstream) observeSignals(pool *egress.Pool, sentAt time.Time, header http.Header) {
	signals, err := u.dialect.Signals(header)
	if signals.Leaving && u.leaveBySignal(pool) {
		_ = level.Info(u.logger).Log("msg", "upstream states that it is leaving")
		u.onDeparture()
	}
	switch {
	case err != nil:
		_ = u.signalLogger.Log("msg", "rate limit of the upstream can't be read", "err", err)
	case !u.observeRateLimit(pool, sentAt, signals.IsRateLimited, signals.RateLimit):
	case signals.IsRateLimited:
		_ = u.signalLogger.Log("msg", "upstream states a rate limit", "per_second", signals.RateLimit)
	default:
		_ = level.Info(u.logger).Log("msg", "upstream no longer states a rate limit")
	}
}

// observeRateLimit applies the rate limit of a response and reports whether it has changed.
func (u *upstream) observeRateLimit(pool *egress.Pool, sentAt time.Time, limited bool, perSecond float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pool != pool || !u.rateLimit.observe(time.Now(), sentAt, limited, perSecond) {
		return false
	}
	if limited {
		u.gate.SetStatedRate(perSecond)
	} else {
		u.gate.ClearStatedRate()
	}
	return true
}

// leaveBySignal stops new work for the upstream. It returns false for a response of an earlier
// start, and when the upstream is known to be leaving.
func (u *upstream) leaveBySignal(pool *egress.Pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pool != pool || u.departing {
		return false
	}
	u.markDeparting()
	return true
}

// statedRateLimit returns the requests per second that the upstream states it accepts, or
// noStatedRateLimit.
func (u *upstream) statedRateLimit() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.rateLimit.active {
		return noStatedRateLimit
	}
	return u.rateLimit.perSecond
}

// askForSignals probes an upstream that this node has not seen starting, until a response has
// told what it states about itself. A restarted node has forgotten what that was, and control
// need not know it. Without a health path the upstream is used at once.
func (n *Node) askForSignals(startID string) {
	deadline := time.Now().Add(signalTimeout)
	for n.upstream.awaitsSignals(startID) && time.Now().Before(deadline) {
		path := n.healthPath()
		hasConfiguration := n.directory.View().Revision > 0
		if path == "" && hasConfiguration || path != "" && n.upstream.ask(path) {
			break
		}
		time.Sleep(askInterval)
	}
	n.upstream.endSignalWait(startID)
}

// ask probes the upstream, which applies what it states, and reports whether it has responded.
func (u *upstream) ask(path string) bool {
	u.mu.Lock()
	pool := u.pool
	u.mu.Unlock()
	return pool != nil && u.requestHealth(pool, path) == nil
}

func (u *upstream) awaitsSignals(startID string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isCurrentStart(startID) && u.awaitingSignals
}

// endSignalWait lets requests be sent to the upstream of this start. It has no effect once
// another start is announced.
func (u *upstream) endSignalWait(startID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isCurrentStart(startID) {
		u.awaitingSignals = false
	}
}
