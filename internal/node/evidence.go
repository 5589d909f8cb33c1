package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// deadlineTolerance is the time before the deadline from which a cancelled attempt counts as a
// timeout of the upstream. The entry node cancels the attempt at the deadline, and its
// cancellation may arrive before the deadline of this node, which adds the transfer time.
const deadlineTolerance = 20 * time.Millisecond

// versionEvidence counts how the upstream beside this node serves requests during a rollout of
// its service. It is safe for concurrent use.
type versionEvidence struct {
	mu    sync.Mutex
	tally rollout.Tally
	// unreported is set while counts have changed since the last heartbeat.
	unreported bool
}

// evidenceSubject is the software version that a request tells something about. The zero value
// stands for none.
type evidenceSubject struct {
	rollout *document.Rollout // nil when the request is no evidence
	service string
	version string
}

// evidenceSubject returns the subject of a request that is sent to the upstream now. Requests
// are evidence only while a rollout is running and the upstream is warm. Without a configured
// warm-up cold means only that the concurrency limit is growing, or was reduced for slow
// responses, which are evidence.
func (n *Node) evidenceSubject() evidenceSubject {
	a := n.upstream.currentAnnouncement()
	if a == nil {
		return evidenceSubject{}
	}
	r := rolloutOf(n.directory.View(), a.Service)
	if r == nil || r.State != document.RolloutRunning || n.upstream.isWarmingUp() {
		return evidenceSubject{}
	}
	return evidenceSubject{rollout: r, service: a.Service, version: a.Version}
}

// recordResponse records a complete response of the upstream as evidence.
func (r *receivedAttempt) recordResponse(status int, responseTime time.Duration) {
	switch {
	case status >= http.StatusInternalServerError:
		r.recordEvidence(true, 0)
	case status != http.StatusTooManyRequests:
		r.recordEvidence(false, responseTime)
	}
}

// reportBrokenResponse counts and logs why a request has got no complete response.
func (r *receivedAttempt) reportBrokenResponse(result admission.Result, err error) {
	if result != admission.ResultError {
		return
	}
	r.node.metrics.brokenResponses.Inc()
	_ = r.node.upstream.signalLogger.Log("msg", "upstream sent no complete response", "request", r.requestID(), "instance", r.head.GetInstance(), "err", err)
}

// recordBrokenResponse records as evidence that the upstream sent no response or an incomplete
// one. A request that was cancelled is no failure, but its response would have taken at least
// until now: the hedged request of another instance may have won, and slow responses of this
// one would otherwise never be counted.
func (r *receivedAttempt) recordBrokenResponse(result admission.Result) {
	if !r.isDispatched() {
		return
	}
	isAtDeadline := time.Until(r.deadline) < deadlineTolerance
	switch {
	case result == admission.ResultTimeout, result == admission.ResultError, result == admission.ResultCancelled && isAtDeadline:
		r.recordEvidence(true, 0)
	case result == admission.ResultCancelled:
		r.recordEvidence(false, time.Since(r.dispatchedAt))
	}
}

// recordEvidence counts a request. A failure that followed from a failed nested call is not one
// of the upstream, nor are those of an upstream that is leaving.
func (r *receivedAttempt) recordEvidence(failed bool, responseTime time.Duration) {
	subject, n := r.evidence, r.node
	if subject.rollout == nil || n.upstream.gate.Report().GetState() == wire.InstanceState_INSTANCE_LEAVING {
		return
	}
	if failed && n.upstream.requestTracker.NestedFailed(r.requestID()) {
		return
	}
	n.metrics.service(subject.service).rollout.countResponse(subject.rollout, subject.version, failed)
	e := &n.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tally.Record(subject.service, subject.rollout.StartedRevision, subject.version, r.head.GetRoute(), failed, responseTime)
	e.unreported = true
}

// isUnreported reports whether counts have changed since the last heartbeat.
func (e *versionEvidence) isUnreported() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unreported
}

// reportEvidence returns the evidence for a heartbeat, nil unless a rollout of the upstream's
// service is running.
func (n *Node) reportEvidence() []*wire.VersionEvidence {
	n.evidence.mu.Lock()
	defer n.evidence.mu.Unlock()
	n.evidence.unreported = false
	a := n.upstream.currentAnnouncement()
	if a == nil {
		return nil
	}
	r := rolloutOf(n.directory.View(), a.Service)
	if r == nil || r.State != document.RolloutRunning {
		return nil
	}
	return n.evidence.tally.Report(a.Service, r.StartedRevision)
}
