package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// callResult is the result of a caller's request at its entry node.
type callResult int

const (
	// callFailed is a call whose response was truncated or whose request body could not
	// be read.
	callFailed callResult = iota
	callAnswered
	callNotRun
	callUnknown
	// callRefused is a request whose idempotency key is in use, has an unknown outcome or
	// belongs to another request, or whose organisation's key was removed after its arrival.
	callRefused
	callCancelled
	callResultCount
)

var callResultNames = [callResultCount]string{"failed", "answered", "not_run", "unknown", "refused", "cancelled"}

// addedLatencyBuckets are the upper bounds of the histogram buckets in seconds.
var addedLatencyBuckets = []float64{
	0.0001, 0.0002, 0.0003, 0.0004, 0.0005, 0.00064, 0.0008, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.01, 0.03, 0.1, 0.3, 1, 3,
}

// nodeMetrics holds the metrics of one node.
type nodeMetrics struct {
	set *metrics.Set
	// calls counts the requests of callers by how they name their service.
	calls   [addressingCount]*metrics.Counter
	retries *metrics.Counter
	hedges  *metrics.Counter
	// hedgesWon counts the hedges whose response was used, hedgeWastedSeconds the time of the
	// attempts beside the one that was used, and hedgeVerdicts the decisions.
	hedgesWon          *metrics.Counter
	hedgeWastedSeconds *metrics.FloatCounter
	hedgeVerdicts      [len(retry.HedgeVerdictNames)]*metrics.Counter
	// cancelledQueued counts the attempts that their entry node cancelled before they were
	// sent to the upstream, cancelledRunning those that it cancelled later, and
	// cancelledSeconds the time for which the latter ran.
	cancelledQueued, cancelledRunning *metrics.Counter
	cancelledSeconds                  *metrics.FloatCounter
	// upstreamRequests counts the requests sent to the upstream beside this node, without
	// probes.
	upstreamRequests *metrics.Counter
	// upstreamResets counts the requests after which the upstream reset the connection at
	// once, without a response, as when it is full.
	upstreamResets *metrics.Counter
	// brokenResponses counts the requests to which the upstream sent no valid response or an
	// incomplete one.
	brokenResponses *metrics.Counter
	// ejections counts the ejections of failing instances by this entry node.
	ejections *metrics.Counter
	// rejectedAnnouncements counts the announcements that describe no instance.
	rejectedAnnouncements *metrics.Counter
	// keyRefusals counts the requests that were refused for their key, by httpapi.ReasonKey.
	keyRefusals  map[string]*metrics.Counter
	addedLatency *metrics.PrometheusHistogram
	refusals     map[wire.RefusalReason]*metrics.Counter

	mu       sync.RWMutex
	services map[string]*serviceMetrics
}

// serviceMetrics holds the metrics of one service at this entry node.
type serviceMetrics struct {
	results  [callResultCount]*metrics.Counter
	inFlight *metrics.Gauge
	rollout  rolloutMetrics

	mu   sync.Mutex
	good uint64
	bad  uint64
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	m := &nodeMetrics{
		set:                   set,
		retries:               set.NewCounter("chicorylever_retries_total"),
		hedges:                set.NewCounter("chicorylever_hedges_total"),
		hedgesWon:             set.NewCounter("chicorylever_hedges_won_total"),
		hedgeWastedSeconds:    set.NewFloatCounter("chicorylever_hedge_wasted_seconds_total"),
		cancelledQueued:       set.NewCounter(`chicorylever_attempts_cancelled_total{state="queued"}`),
		cancelledRunning:      set.NewCounter(`chicorylever_attempts_cancelled_total{state="running"}`),
		cancelledSeconds:      set.NewFloatCounter("chicorylever_attempts_cancelled_seconds_total"),
		upstreamRequests:      set.NewCounter("chicorylever_upstream_requests_total"),
		upstreamResets:        set.NewCounter("chicorylever_upstream_resets_total"),
		brokenResponses:       set.NewCounter("chicorylever_upstream_broken_responses_total"),
		ejections:             set.NewCounter("chicorylever_ejections_total"),
		rejectedAnnouncements: set.NewCounter("chicorylever_announcements_rejected_total"),
		addedLatency:          set.NewPrometheusHistogramExt("chicorylever_added_latency_seconds", addedLatencyBuckets),
		refusals:              map[wire.RefusalReason]*metrics.Counter{},
		services:              map[string]*serviceMetrics{},
		keyRefusals:           map[string]*metrics.Counter{},
	}
	for reason := range keyProblems {
		m.keyRefusals[reason] = set.NewCounter(fmt.Sprintf("chicorylever_key_refusals_total{reason=%q}", reason))
	}
	for verdict, name := range retry.HedgeVerdictNames {
		m.hedgeVerdicts[verdict] = set.NewCounter(fmt.Sprintf("chicorylever_hedge_decisions_total{verdict=%q}", name))
	}
	for by, name := range addressingNames {
		m.calls[by] = set.NewCounter(fmt.Sprintf("chicorylever_calls_total{addressed_by=%q}", name))
	}
	for number := range wire.RefusalReason_name {
		reason := wire.RefusalReason(number)
		m.refusals[reason] = set.NewCounter(fmt.Sprintf("chicorylever_refusals_total{reason=%q}", httpapi.ReasonName(reason)))
	}
	return m
}

// countRefusal counts a refusal at the node beside the upstream.
func (m *nodeMetrics) countRefusal(reason wire.RefusalReason) {
	if counter, ok := m.refusals[reason]; ok {
		counter.Inc()
	}
}

func (m *nodeMetrics) service(name string) *serviceMetrics {
	m.mu.RLock()
	s, ok := m.services[name]
	m.mu.RUnlock()
	if ok {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.services[name]; ok {
		return s
	}
	s = &serviceMetrics{inFlight: m.set.NewGauge(fmt.Sprintf("chicorylever_requests_in_flight{service=%q}", name), nil)}
	s.rollout = newRolloutMetrics(m.set, name)
	for result, resultName := range callResultNames {
		s.results[result] = m.set.NewCounter(fmt.Sprintf("chicorylever_requests_total{service=%q,outcome=%q}", name, resultName))
	}
	m.services[name] = s
	return s
}

// beginCall counts a call in flight; each one needs one call of endCall.
func (m *nodeMetrics) beginCall(c *call) {
	m.calls[c.addressing].Inc()
	m.service(c.service).inFlight.Inc()
}

// endCall counts the result and whether it meets the service's objective. A request that
// the caller cancelled or that was refused because of a key counts as
// neither good nor bad.
func (m *nodeMetrics) endCall(c *call, result callResult) {
	s := m.service(c.service)
	s.inFlight.Dec()
	s.results[result].Inc()
	if result == callCancelled || result == callRefused {
		return
	}
	objective := c.view.Doc.Services[c.service].Objective
	maxLatency := time.Duration(objective.GoodWithinMs) * time.Millisecond
	good := result == callAnswered && c.status < http.StatusInternalServerError && (maxLatency == 0 || time.Since(c.started) <= maxLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if good {
		s.good++
	} else {
		s.bad++
	}
}

// burnCounts returns the good and bad requests of each service since the start of the
// node. Heartbeats carry these totals, so that a lost or repeated heartbeat does not
// change the result.
func (m *nodeMetrics) burnCounts() []*wire.BurnCount {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var counts []*wire.BurnCount
	for name, s := range m.services {
		s.mu.Lock()
		if s.good+s.bad > 0 {
			counts = append(counts, &wire.BurnCount{Service: name, Good: s.good, Bad: s.bad})
		}
		s.mu.Unlock()
	}
	return counts
}

// registerGauges adds the gauges that are computed when the metrics are read.
func (n *Node) registerGauges() {
	set := n.metrics.set
	obs.RegisterMemory(set, n.memory.byListener())
	loadGauge := func(read func(*wire.LoadReport) float64) func() float64 {
		return func() float64 { return read(n.upstream.gate.Report()) }
	}
	set.NewGauge("chicorylever_upstream_in_flight", loadGauge(func(r *wire.LoadReport) float64 { return float64(r.GetInFlight()) }))
	set.NewGauge("chicorylever_upstream_queued", loadGauge(func(r *wire.LoadReport) float64 { return float64(r.GetQueued()) }))
	set.NewGauge("chicorylever_upstream_limit", loadGauge(func(r *wire.LoadReport) float64 { return float64(r.GetLimit()) }))
	set.NewGauge("chicorylever_upstream_service_time_seconds", loadGauge(func(r *wire.LoadReport) float64 {
		return (time.Duration(r.GetServiceTimeUs()) * time.Microsecond).Seconds() //nolint:gosec // an estimate
	}))
	set.NewGauge("chicorylever_log_lines_dropped_total", func() float64 { return float64(n.options.DroppedLogLines()) })
	set.NewGauge("chicorylever_upstream_stated_rate_limit", n.upstream.statedRateLimit)
	set.NewGauge("chicorylever_measurement_budget_total", func() float64 { return n.upstream.measurementBudget.Counters().Budget })
	set.NewGauge("chicorylever_measurement_spent_total", func() float64 { return float64(n.upstream.measurementBudget.Counters().Spent) })
	set.NewGauge("chicorylever_measurement_denied_total", func() float64 { return float64(n.upstream.measurementBudget.Counters().Denied) })
	set.NewGauge("chicorylever_configuration_revision", func() float64 { return float64(n.directory.View().Revision) })
	set.NewGauge("chicorylever_mesh_connections_replaced_total", func() float64 { return float64(n.client.ClosedSilent()) })
	set.NewGauge("chicorylever_claims_settling", func() float64 { return float64(len(n.settler.semaphore)) })
}

// write writes all metrics in the Prometheus text format.
func (m *nodeMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
