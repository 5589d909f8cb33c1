package node

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// normalSlowdownPercent is the slowdown of an upstream at its usual speed.
const normalSlowdownPercent = 100

// maxReportedLoadAge is the age up to which the upstream's own report of its load is used.
const maxReportedLoadAge = time.Second

// setReportedLoad records the upstream's own report of its requests in flight. It returns
// false when the start ID is not the announced one.
func (u *upstream) setReportedLoad(startID string, inFlight int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isCurrentStart(startID) {
		return false
	}
	u.reportedLoad, u.reportedLoadAt = inFlight, time.Now()
	return true
}

// setLoadFromHeader records the load in a response header. An empty or invalid value has
// no effect.
func (u *upstream) setLoadFromHeader(value string) {
	if value == "" || u.dialect.ParseLoad == nil {
		return
	}
	load, ok := u.dialect.ParseLoad(value)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportedLoad, u.reportedLoadAt = load.InFlight+load.Queued, time.Now()
	u.slowdownPercent = uint32(min(max(0, load.SlowdownPercent), maxReportedLoad)) //nolint:gosec // bounded
	u.gate.SetSlowdown(float64(u.slowdownPercent) / normalSlowdownPercent)
}

// reportsRoom reports whether the upstream's own recent report counts fewer requests than it
// has slots. An upstream with room that resets a request has failed it and is not full.
func (u *upstream) reportsRoom() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement != nil && u.reportedLoad < u.announcement.Slots && time.Since(u.reportedLoadAt) < maxReportedLoadAge
}

// recordOutcome records whether the upstream itself failed a request.
func (u *upstream) recordOutcome(failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures.Observe(time.Now(), failed)
}

// loadReport returns the load that the admission gate has counted, or the upstream's own
// report when that is higher: it may have work that did not come through this node.
func (u *upstream) loadReport() *wire.LoadReport { return u.loadReportForRoute("", 0) }

// loadReportForRoute returns the load report with the expected work of a route's requests,
// which is prior until one has been observed.
func (u *upstream) loadReportForRoute(route string, prior time.Duration) *wire.LoadReport {
	report := u.gate.Report()
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.reportedLoadAt) < maxReportedLoadAge {
		report.SlowdownPercent = u.slowdownPercent
	}
	report.FailurePercent = uint32(100 * u.failures.Share(time.Now()))
	report.WorkUs = uint64(u.workEstimates.Estimate(route, prior).OwnTime.Microseconds()) //nolint:gosec // not negative
	if reported := u.reportedLoad; reported > int(report.GetInFlight()) && time.Since(u.reportedLoadAt) < maxReportedLoadAge {
		report.InFlight = uint32(min(reported, maxReportedLoad)) //nolint:gosec // bounded
	}
	return report
}

// maxReportedLoad is the upper bound of the load and the slowdown in percent that an
// upstream may report.
const maxReportedLoad = 1 << 20

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
