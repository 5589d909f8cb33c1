package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// stateCheckInterval is the interval of checks for changes of the upstream's state. It
// limits the rate of log lines about them.
const stateCheckInterval = 500 * time.Millisecond

// status is the body of GET /v1/status.
type status struct {
	Node         string                `json:"node"`
	Zone         string                `json:"zone"`
	Revision     uint64                `json:"revision"`
	Upstream     *httpapi.Announcement `json:"upstream,omitempty"`
	State        string                `json:"state"`
	InFlight     uint32                `json:"in_flight"`
	Queued       uint32                `json:"queued"`
	Limit        uint32                `json:"limit"`
	ServiceTime  string                `json:"service_time"`
	Services     map[string]int        `json:"services"`
	ClosedSilent uint64                `json:"connections_replaced"`
	Measurements measurements          `json:"measurements"`
}

type measurements struct {
	Budget float64 `json:"budget"`
	Spent  uint64  `json:"spent"`
	Denied uint64  `json:"denied"`
}

// adminRoutes returns the handler for metrics, readiness, status and explanations.
func (n *Node) adminRoutes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.write(w)
		n.entryQuotas.refusals.write(w, n.entryQuotas.meter.GrantAge(time.Now()))
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.status())
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/explain", n.handleExplain).Methods(http.MethodPost)
	return router
}

// isReady reports whether callers should send their requests to this node.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.directory.View().Revision > 0
}

func (n *Node) status() status {
	current := n.directory.View()
	report := n.upstream.gate.Report()
	counters := n.upstream.measurementBudget.Counters()
	s := status{
		Node:         n.settings.ID,
		Zone:         n.settings.Zone,
		Revision:     current.Revision,
		Upstream:     n.upstream.currentAnnouncement(),
		State:        stateName(report.GetState()),
		InFlight:     report.GetInFlight(),
		Queued:       report.GetQueued(),
		Limit:        report.GetLimit(),
		ServiceTime:  (time.Duration(report.GetServiceTimeUs()) * time.Microsecond).String(), //nolint:gosec // a mean time
		Services:     map[string]int{},
		ClosedSilent: n.client.ClosedSilent(),
		Measurements: measurements{Budget: counters.Budget, Spent: counters.Spent, Denied: counters.Denied},
	}
	for service, instances := range current.Services {
		s.Services[service] = len(instances)
	}
	return s
}

func stateName(state wire.InstanceState) string {
	switch state {
	case wire.InstanceState_INSTANCE_WARM:
		return "warm"
	case wire.InstanceState_INSTANCE_COLD:
		return "cold"
	default:
		return "closed"
	}
}

// watchState logs changes of the upstream's state and reports them to control. It also
// applies the current configuration to the upstream.
func (n *Node) watchState(ctx context.Context) {
	ticker := time.NewTicker(stateCheckInterval)
	defer ticker.Stop()
	lastState := n.upstream.gate.Report().GetState()
	var lastPruned *directory.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.syncZone()
		n.applyUpstreamConfig()
		if n.observeRollouts(time.Now()) || n.evidence.isUnreported() {
			n.directory.RequestHeartbeat()
		}
		if current := n.directory.View(); current != lastPruned {
			n.balancer.removeUnlisted(current)
			lastPruned = current
		}
		state := n.upstream.gate.Report().GetState()
		if state == lastState {
			continue
		}
		lastState = state
		n.directory.RequestHeartbeat()
		_ = level.Info(n.logger).Log("msg", "upstream state changed", "state", stateName(state))
	}
}

// applyUpstreamConfig applies the measurement budget and the warm-up rate of the
// upstream's service.
func (n *Node) applyUpstreamConfig() {
	a := n.upstream.currentAnnouncement()
	if a == nil {
		return
	}
	service := n.directory.View().Doc.Services[a.Service]
	rate := service.Measuring.PerSecond
	if rate == 0 && service.HealthPath != "" {
		rate = defaultProbesPerSecond
	}
	n.upstream.measurementBudget.SetRate(time.Now(), rate)
	n.upstream.setWarmup(a.Service, service.WarmupPerSecond)
}
