package node

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/node/egress"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	// discoveryTime is how long after its start a node asks for its upstream. By then an
	// upstream that runs has announced itself.
	discoveryTime = 2 * time.Second
	// discoveryInterval is the interval between two attempts. It keeps their number below the
	// default budget for probes, which is not configured yet when a node starts.
	discoveryInterval = 50 * time.Millisecond
	// discoveryTimeout bounds one attempt.
	discoveryTimeout = 300 * time.Millisecond
	// provisionalStartID is the start ID of a discovered upstream until it announces itself.
	provisionalStartID = "provisional"
	// provisionalSequence marks the start as one whose first announcement this node has not
	// received, so that control is asked whether the upstream is departing.
	provisionalSequence = 2
)

// discoverUpstream asks the health path of the configured upstream who it is, until it has
// answered or announced itself. A node that restarts beside a running upstream would otherwise
// wait for the next announcement, and all requests would meanwhile go to the few upstreams
// whose announcement came first.
func (n *Node) discoverUpstream(ctx context.Context) {
	address := n.settings.UpstreamAddress
	if address == "" || n.dialect.InstanceID == "" {
		return
	}
	pool := egress.NewPool(egress.Config{Address: address})
	defer pool.Close()
	deadline := time.Now().Add(discoveryTime)
	for time.Now().Before(deadline) && !n.hasKnownUpstream() {
		if a := n.askUpstream(ctx, pool, address); a != nil {
			if err := n.Announce(a); err != nil {
				_ = level.Warn(n.logger).Log("msg", "health response of the upstream can't be used", "err", err)
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(discoveryInterval):
		}
	}
}

// hasKnownUpstream reports whether an upstream of a service that the configuration has is
// announced.
func (n *Node) hasKnownUpstream() bool {
	a := n.upstream.currentAnnouncement()
	return a != nil && n.knowsService(a.Service)
}

// askUpstream returns the announcement that follows from a health response of the upstream, or
// nil without one. An upstream that states that it is leaving, or does not say that it is
// healthy and so may be leaving, has to announce itself: a restarted node has forgotten it.
func (n *Node) askUpstream(ctx context.Context, pool *egress.Pool, address string) *httpapi.Announcement {
	service := n.liveSettings.Load().Service
	configured, known := n.directory.View().Doc.Services[service]
	if !known || configured.HealthPath == "" {
		return nil
	}
	if _, hasRollout := n.directory.View().Doc.Rollouts[service]; hasRollout {
		return nil // a health response does not state the software version
	}
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	response, err := getHealth(ctx, pool, configured.HealthPath)
	if err != nil || response.status != http.StatusOK {
		return nil
	}
	if signals, _ := n.dialect.Signals(response.header); signals.Leaving {
		return nil
	}
	load, ok := n.dialect.ParseLoad(response.header.Get(n.dialect.Load))
	if !ok || load.Slots <= 0 {
		return nil
	}
	coldMs, err := strconv.ParseFloat(response.header.Get(n.dialect.ColdMs), 64)
	if err != nil || coldMs < 0 || coldMs > maxColdMs {
		coldMs = 0
	}
	return &httpapi.Announcement{
		Service:     service,
		Address:     address,
		Instance:    response.header.Get(n.dialect.InstanceID),
		StartID:     provisionalStartID,
		Slots:       load.Slots,
		ColdMs:      int64(coldMs),
		Sequence:    provisionalSequence,
		Provisional: true,
	}
}
