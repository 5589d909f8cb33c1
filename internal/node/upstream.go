package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// usualPercent is the slowdown of an upstream that is as fast as usual.
const usualPercent = 100

// ownLoadAge is how long the upstream's own report of its load counts.
const ownLoadAge = time.Second

// upstream is the one that this node stands beside.
type upstream struct {
	dialect *httpapi.Dialect
	gate    *admission.Gate
	measure *admission.MeasureBudget

	mu           sync.Mutex
	announcement *httpapi.Announcement
	pool         *egress.Pool
	version      uint64
	listed       wire.InstanceState // state in the last registry entry
	zoneOut      bool
	// departing is set once the upstream has said that it leaves.
	departing bool
	// unconfirmed is set while control has not yet told whether an upstream whose start
	// this node has not seen is departing.
	unconfirmed bool
	warmup      float64 // requests a second that a cold upstream bears
	slowdown    uint32
	ownLoad     int
	ownLoadAt   time.Time
	works       admission.Works
	// running knows the requests at the upstream by the identity that callers gave.
	running *overload.Running
	// watching is set while looks at a slow upstream follow one another.
	watching bool
	// unreachableAt is the time of the last refused connection.
	unreachableAt time.Time
	// probing is set during a look at the upstream; waiting is called after it.
	probing bool
	waiting []func()
}

func newUpstream(dialect *httpapi.Dialect, excess admission.Excess) *upstream {
	return &upstream{
		dialect: dialect,
		gate:    admission.NewGate(admission.Config{Excess: excess}, time.Now),
		measure: admission.NewMeasureBudget(time.Now(), 0),
		running: overload.NewRunning(),
	}
}

// isLate reports whether an announcement was overtaken by the one in force.
func isLate(a, inForce *httpapi.Announcement) bool {
	if inForce == nil {
		return false
	}
	if a.StartedMs != 0 && a.StartedMs < inForce.StartedMs {
		return true
	}
	return a.StartID == inForce.StartID && a.Sequence != 0 && a.Sequence <= inForce.Sequence
}

// announce takes an announcement and returns false when it is late. A new start ID
// begins a cold start with new connections.
func (u *upstream) announce(a *httpapi.Announcement) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.announcement
	if isLate(a, old) {
		return false
	}
	if old == nil || old.StartID != a.StartID || old.Address != a.Address {
		if u.pool != nil {
			u.pool.Close()
		}
		u.pool = u.newPool(a)
	}
	if old == nil || old.StartID != a.StartID {
		u.ownLoad, u.ownLoadAt, u.works, u.unreachableAt = 0, time.Time{}, admission.Works{}, time.Time{}
	}
	slots := a.Slots
	if a.Connections > 0 {
		slots = min(slots, a.Connections)
	}
	u.gate.Start(a.StartID, slots)
	u.gate.SetWarmup(u.warmup, time.Now().Add(time.Duration(a.ColdMs)*time.Millisecond))
	if old == nil || old.StartID != a.StartID {
		u.departing = false
		u.unconfirmed = a.Sequence > 1
	}
	if a.Leaving {
		u.depart()
	}
	if old == nil || old.StartID != a.StartID || old.Address != a.Address || old.Slots != a.Slots {
		u.version++
	}
	u.announcement = a
	return true
}

// setWarmup takes what the configuration says of a cold upstream of the service.
func (u *upstream) setWarmup(service string, perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.announcement
	if a == nil || a.Service != service || u.warmup == perSecond {
		return
	}
	u.warmup = perSecond
	u.gate.SetWarmup(perSecond, time.Now().Add(time.Duration(a.ColdMs)*time.Millisecond))
}

func (u *upstream) newPool(a *httpapi.Announcement) *egress.Pool {
	return egress.NewPool(egress.Config{
		Address: a.Address,
		Limit:   a.Connections,
		IsStray: func(request, response http.Header) bool {
			return u.dialect.IsStray(response, request.Get(u.dialect.RequestID))
		},
		AllowsUnframed: u.dialect.Proof != "",
	})
}

// announced returns the announcement in force, or nil. It is never changed.
func (u *upstream) announced() *httpapi.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement
}

// leave returns false when the start ID is not the announced one.
func (u *upstream) leave(startID string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isStart(startID) {
		return false
	}
	u.depart()
	return true
}

// depart takes no new work for the start that is announced.
func (u *upstream) depart() {
	u.gate.SetLeaving(true)
	if !u.departing {
		u.version++
	}
	u.departing = true
}

// confirm ends the wait for what control knows of the departure of a start. It has no
// effect once another start is announced.
func (u *upstream) confirm(startID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isStart(startID) {
		u.unconfirmed = false
	}
}

// setLoad takes the upstream's own report of its load.
func (u *upstream) setLoad(startID string, inFlight int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isStart(startID) {
		return false
	}
	u.ownLoad, u.ownLoadAt = inFlight, time.Now()
	return true
}

// setHeaderLoad takes the load that a response carried, when it carried one.
func (u *upstream) setHeaderLoad(value string) {
	if value == "" || u.dialect.ParseLoad == nil {
		return
	}
	load, ok := u.dialect.ParseLoad(value)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ownLoad, u.ownLoadAt = load.InFlight+load.Queued, time.Now()
	u.slowdown = uint32(min(max(0, load.SlowdownPercent), maxReportedLoad)) //nolint:gosec // bounded
	u.gate.SetSlowdown(float64(u.slowdown) / usualPercent)
}

func (u *upstream) isStart(startID string) bool {
	return u.announcement != nil && u.announcement.StartID == startID
}

// setZoneOut passes on a change of the zone and reports whether there was one.
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

// report returns the load as the gate sees it, or as the upstream reports it when
// that is higher: it may have work that did not come through this node.
func (u *upstream) report() *wire.LoadReport { return u.reportFor("", 0) }

// reportFor is the report with the work of a route's requests, the prior while none was
// observed.
func (u *upstream) reportFor(route string, prior time.Duration) *wire.LoadReport {
	report := u.gate.Report()
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.ownLoadAt) < ownLoadAge {
		report.SlowdownPercent = u.slowdown
	}
	report.WorkUs = uint64(u.works.Of(route, prior).Own.Microseconds()) //nolint:gosec // not negative
	if own := u.ownLoad; own > int(report.GetInFlight()) && time.Since(u.ownLoadAt) < ownLoadAge {
		report.InFlight = uint32(min(own, maxReportedLoad)) //nolint:gosec // bounded
	}
	return report
}

// maxReportedLoad bounds what an upstream may report about itself.
const maxReportedLoad = 1 << 20

// target returns the connections to the upstream when it is the instance, or the
// reason to refuse.
func (u *upstream) target(service, instance string) (*egress.Pool, wire.RefusalReason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.announcement == nil:
		return nil, wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case u.unconfirmed:
		return nil, wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case u.announcement.Instance != instance || u.announcement.Service != service:
		return nil, wire.RefusalReason_REFUSAL_WRONG_INSTANCE
	}
	return u.pool, wire.RefusalReason_REFUSAL_UNSPECIFIED
}

// instance returns the registry entry, or nil without an upstream. Its version
// rises with each change of state.
func (u *upstream) instance(nodeID, zone, meshAddress string, nodeStart uint64) *wire.Instance {
	state := u.gate.Report().GetState()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcement == nil {
		return nil
	}
	if state != u.listed {
		u.listed = state
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
	}
}
