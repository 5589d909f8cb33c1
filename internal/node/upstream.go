package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const upstreamDialTimeout = time.Second

// upstream is the one that this node stands beside.
type upstream struct {
	mu           sync.Mutex
	announcement *httpapi.Announcement
	version      uint64
	leaving      bool
	slots        chan struct{}
	client       *http.Client
}

func newUpstream() *upstream {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: upstreamDialTimeout}).DialContext,
		DisableCompression: true,
		// A reused connection would let the transport resend a request silently.
		DisableKeepAlives: true,
	}
	return &upstream{client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (u *upstream) announce(a *httpapi.Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcement == nil || u.announcement.StartID != a.StartID {
		u.leaving = false
		u.slots = make(chan struct{}, a.Slots)
	}
	u.announcement = a
	u.version++
}

func (u *upstream) leave(startID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcement != nil && u.announcement.StartID == startID {
		u.leaving = true
		u.version++
	}
}

// instance returns the registry entry, or nil without an upstream.
func (u *upstream) instance(nodeID, zone, meshAddress string, nodeStart uint64) *wire.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcement == nil {
		return nil
	}
	state := wire.InstanceState_INSTANCE_WARM
	if u.leaving {
		state = wire.InstanceState_INSTANCE_LEAVING
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
	}
}

// admit takes a slot without waiting.
func (u *upstream) admit(instance string) (address string, release func(), reason wire.RefusalReason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.announcement == nil:
		return "", nil, wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case u.announcement.Instance != instance:
		return "", nil, wire.RefusalReason_REFUSAL_WRONG_INSTANCE
	case u.leaving:
		return "", nil, wire.RefusalReason_REFUSAL_LEAVING
	}
	slots := u.slots
	select {
	case slots <- struct{}{}:
		return u.announcement.Address, func() { <-slots }, wire.RefusalReason_REFUSAL_UNSPECIFIED
	default:
		return "", nil, wire.RefusalReason_REFUSAL_QUEUE_FULL
	}
}
