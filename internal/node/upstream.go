package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// upstream is the state of the upstream beside this node.
type upstream struct {
	dialect           *httpapi.Dialect
	logger            log.Logger
	signalLogger      log.Logger // rate-limited, for what the responses of the upstream tell about it
	gate              *admission.Gate
	measurementBudget *admission.MeasurementBudget

	mu              sync.Mutex
	announcement    *httpapi.Announcement
	pool            *egress.Pool
	version         uint64             // version of the registry entry
	registeredState wire.InstanceState // state in the last registry entry
	zoneOut         bool
	// departing is set once the upstream has announced, or stated in a response, that it is
	// leaving.
	departing bool
	// onDeparture is called without mu once a response has stated that the upstream is leaving.
	onDeparture func()
	// unconfirmed is set for an upstream whose first announcement this node has not
	// received, until control has reported whether the upstream is departing or
	// confirmTimeout has passed.
	unconfirmed bool
	// awaitingSignals is set for such an upstream until one of its responses has told what it
	// states about itself, or signalTimeout has passed.
	awaitingSignals bool
	warmupPerSecond float64 // rate limit of requests while the upstream is cold
	slowdownPercent uint32  // last reported by the upstream, 0 when unknown
	// reportedLoad is the number of requests that the upstream reported at reportedLoadAt.
	reportedLoad   int
	reportedLoadAt time.Time
	workEstimates  admission.WorkEstimator
	failures       admission.FailureTracker
	nestedRoom     admission.NestedRoom
	// rateLimit is the one that the announced start states in its responses.
	rateLimit statedLimit
	// requestTracker holds the requests at the upstream by the request IDs of the callers.
	requestTracker *overload.RequestTracker
	// watchingSlowdown is set while a slow upstream is probed repeatedly.
	watchingSlowdown bool
	// unreachableAt is the time of the last refused connection.
	unreachableAt time.Time
	// probing is set during a probe of the upstream; probeCallbacks are called after it.
	probing        bool
	probeCallbacks []func()
}

func newUpstream(dialect *httpapi.Dialect, coldTolerance admission.ColdTolerance, logger log.Logger) *upstream {
	return &upstream{
		dialect:           dialect,
		logger:            logger,
		signalLogger:      obs.RateLimit(level.Info(logger), signalLogInterval),
		gate:              admission.NewGate(admission.Config{ColdTolerance: coldTolerance}, time.Now),
		measurementBudget: admission.NewMeasurementBudget(time.Now(), 0),
		requestTracker:    overload.NewRequestTracker(),
		onDeparture:       func() {},
	}
}

// continuesStart reports whether an announcement is of the start that the current one
// describes: it has the same start ID, or is the first one of the upstream itself after a
// provisional one.
func (u *upstream) continuesStart(a *httpapi.Announcement) bool {
	current := u.announcement
	if current == nil {
		return false
	}
	if current.StartID == a.StartID {
		return true
	}
	return current.Provisional && !u.departing &&
		current.Instance == a.Instance && current.Service == a.Service && current.Address == a.Address
}

// announce applies an announcement, unless the current one takes precedence; the error then
// says why, and the announcement has no effect. A new start ID begins a cold start with new
// connections.
func (u *upstream) announce(a *httpapi.Announcement, knows serviceSet) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.announcement
	if err := checkPrecedence(a, previous, knows); err != nil {
		return err
	}
	continuesStart := u.continuesStart(a)
	if !continuesStart || previous.Address != a.Address {
		if u.pool != nil {
			u.pool.Close()
		}
		u.pool = u.newPool(a)
	}
	if !continuesStart {
		u.reportedLoad, u.reportedLoadAt, u.workEstimates, u.unreachableAt = 0, time.Time{}, admission.WorkEstimator{}, time.Time{}
		u.failures = admission.FailureTracker{}
		u.rateLimit = statedLimit{}
	}
	slots := a.Slots
	if a.Connections > 0 {
		slots = min(slots, a.Connections)
	}
	if continuesStart {
		u.gate.RenameStart(a.StartID)
	}
	u.gate.Start(a.StartID, slots)
	u.gate.SetWarmup(u.warmupPerSecond, time.Now().Add(time.Duration(a.ColdMs)*time.Millisecond))
	if !continuesStart {
		u.departing = false
		u.unconfirmed = a.Sequence > 1
		u.awaitingSignals = u.unconfirmed
	}
	if a.Leaving {
		u.markDeparting()
	}
	if a.Version == "" && previous != nil && previous.Version != "" && previous.StartID == a.StartID {
		kept := *a
		kept.Version = previous.Version
		a = &kept
	}
	if previous == nil || previous.StartID != a.StartID || previous.Address != a.Address || previous.Slots != a.Slots ||
		previous.Version != a.Version {
		u.version++
	}
	u.announcement = a
	return nil
}

// setWarmup sets the rate of requests that the configuration of the service allows a cold
// upstream, in requests per second.
func (u *upstream) setWarmup(service string, perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.announcement
	if a == nil || a.Service != service || u.warmupPerSecond == perSecond {
		return
	}
	u.warmupPerSecond = perSecond
	u.gate.SetWarmup(perSecond, time.Now().Add(time.Duration(a.ColdMs)*time.Millisecond))
}

// isWarmingUp reports whether the upstream is cold and its service has a configured warm-up.
func (u *upstream) isWarmingUp() bool {
	state := u.gate.Report().GetState()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.warmupPerSecond > 0 && state == wire.InstanceState_INSTANCE_COLD
}

func (u *upstream) newPool(a *httpapi.Announcement) *egress.Pool {
	return egress.NewPool(egress.Config{
		Address:        a.Address,
		MaxConnections: a.Connections,
		IsForOtherRequest: func(request, response http.Header) bool {
			return u.dialect.IsForOtherRequest(response, request.Get(u.dialect.RequestID))
		},
		AllowCloseDelimited: u.dialect.OriginMarker != "",
	})
}

// currentAnnouncement returns the current announcement, or nil without one. The
// announcement must not be modified.
func (u *upstream) currentAnnouncement() *httpapi.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement
}

// leave stops new work for the upstream. When the start ID is not the announced one, it
// has no effect and returns false.
func (u *upstream) leave(startID string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isCurrentStart(startID) {
		return false
	}
	u.markDeparting()
	return true
}

// markDeparting stops new work for the announced start. The caller holds u.mu.
func (u *upstream) markDeparting() {
	u.gate.SetLeaving(true)
	if !u.departing {
		u.version++
	}
	u.departing = true
}

// confirmStart ends the wait for control to report whether the upstream of this start is
// departing. It has no effect once another start is announced.
func (u *upstream) confirmStart(startID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isCurrentStart(startID) {
		u.unconfirmed = false
	}
}

func (u *upstream) isCurrentStart(startID string) bool {
	return u.announcement != nil && u.announcement.StartID == startID
}

// setZoneOut sets whether the zone is out of service and reports whether that changed.
func (u *upstream) setZoneOut(out bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.zoneOut == out {
		return false
	}
	u.zoneOut = out
	u.gate.SetZoneOut(out)
	return true
}

// poolFor returns the connection pool of the upstream if it is the given instance of the
// service, and otherwise the reason of the refusal.
func (u *upstream) poolFor(service, instance string) (*egress.Pool, wire.RefusalReason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.announcement == nil:
		return nil, wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case u.unconfirmed || u.awaitingSignals:
		return nil, wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case u.announcement.Instance != instance || u.announcement.Service != service:
		return nil, wire.RefusalReason_REFUSAL_WRONG_INSTANCE
	}
	return u.pool, wire.RefusalReason_REFUSAL_UNSPECIFIED
}

// registryEntry returns the registry entry of the upstream, or nil without an upstream.
// Its version increases with each change of state.
func (u *upstream) registryEntry(nodeID, zone, meshAddress string, nodeStart uint64) *wire.Instance {
	state := u.gate.Report().GetState()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcement == nil {
		return nil
	}
	if state != u.registeredState {
		u.registeredState = state
		u.version++
	}
	return &wire.Instance{
		Id:          u.announcement.Instance,
		StartId:     u.announcement.StartID,
		Service:     u.announcement.Service,
		Zone:        zone,
		NodeAddress: meshAddress,
		Slots:       uint32(u.announcement.Slots),       //nolint:gosec // checked at the announcement
		Connections: uint32(u.announcement.Connections), //nolint:gosec // checked at the announcement
		State:       state,
		NodeId:      nodeID,
		NodeStart:   nodeStart,
		Version:     u.version,
		Departing:   u.departing,

		SoftwareVersion: u.announcement.Version,
	}
}
