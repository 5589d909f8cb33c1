package e2e

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	soakHealthPath = "/health"
	// soakStartHeader names the start of the upstream that sent a response.
	soakStartHeader = "Soak-Upstream-Start"
	// rateWindow, rateFactor and rateSlack bound the requests to an upstream that states a
	// rate: in any window rateFactor times what the rate allows, plus rateSlack.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// signalDelay is the time after which a response that states a rate must have taken
	// effect.
	signalDelay = 500 * time.Millisecond
)

// upstreamSignals is what one start of an upstream states in its responses, and what reached
// it meanwhile.
type upstreamSignals struct {
	start     string
	perSecond float64 // 0 while it states no rate
	leaving   bool
	// rateForwardedAt and leavingForwardedAt are when a caller first got a response with the
	// rate or with the departure, zero before.
	rateForwardedAt, leavingForwardedAt time.Time
	arrivals                            []time.Time // since rateForwardedAt and signalDelay
}

// stateRate lets an upstream state a rate; 0 ends the need.
func (u *soakUpstream) stateRate(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.signals.perSecond = perSecond
	u.signals.rateForwardedAt, u.signals.arrivals = time.Time{}, nil
}

// stateLeaving lets an upstream state in its responses that it is leaving, without an
// announcement.
func (u *soakUpstream) stateLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.signals.leaving = true
}

// writeSignals sets the headers of a response.
func (u *soakUpstream) writeSignals(header http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	header.Set(soakStartHeader, u.signals.start)
	if u.signals.perSecond > 0 {
		header.Set(httpapi.HeaderRateLimit, strconv.FormatFloat(u.signals.perSecond, 'f', 1, 64))
	}
	if u.signals.leaving {
		header.Set(httpapi.HeaderLeaving, httpapi.LeavingValue)
	}
}

// recordForwarded records what a response that a caller got states about its upstream.
func (u *soakUpstream) recordForwarded(header http.Header, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if header.Get(soakStartHeader) != u.signals.start {
		return
	}
	if header.Get(httpapi.HeaderRateLimit) != "" && u.signals.perSecond > 0 && u.signals.rateForwardedAt.IsZero() {
		u.signals.rateForwardedAt = now
	}
	if header.Get(httpapi.HeaderLeaving) != "" && u.signals.leavingForwardedAt.IsZero() {
		u.signals.leavingForwardedAt = now
	}
}

// checkArrival checks a request that reaches the upstream and was sent by its caller at sentAt
// against what the upstream states.
func (u *soakUpstream) checkArrival(path string, sentAt, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	signals := &u.signals
	if at := signals.leavingForwardedAt; !at.IsZero() && sentAt.Sub(at) > departureGrace {
		u.recorder.addProblem("request %s was sent %v after a response had stated that upstream %s leaves, and reached it", path, sentAt.Sub(at), u.instance)
	}
	if at := signals.rateForwardedAt; at.IsZero() || now.Sub(at) < signalDelay {
		return
	}
	signals.arrivals = append(signals.arrivals, now)
	for len(signals.arrivals) > 0 && now.Sub(signals.arrivals[0]) >= rateWindow {
		signals.arrivals = signals.arrivals[1:]
	}
	if allowed := rateFactor*signals.perSecond*rateWindow.Seconds() + rateSlack; float64(len(signals.arrivals)) > allowed {
		u.recorder.addProblem("upstream %s states %.1f requests a second and got %d in %v", u.instance, signals.perSecond, len(signals.arrivals), rateWindow)
	}
}
