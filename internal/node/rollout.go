package node

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// versionSelection restricts an attempt to the instances of some software versions. The zero
// value allows all instances.
type versionSelection struct {
	rollout  *document.Rollout // nil without a rollout of the service
	versions rollout.Versions
	// needsQuote is set when an instance whose node has not offered to take the request is not
	// used, since the other versions serve it as well.
	needsQuote bool
}

func (s versionSelection) admits(instance *wire.Instance) bool {
	return s.rollout == nil || rollout.Admits(s.rollout, s.versions, instance.GetSoftwareVersion())
}

// fallback returns the selection for an attempt when no instance of this one is available, and
// false when the request must not be sent to any other.
func (s versionSelection) fallback() (versionSelection, bool) {
	if s.rollout == nil {
		return s, false
	}
	versions, ok := rollout.Fallback(s.rollout, s.versions)
	return versionSelection{rollout: s.rollout, versions: versions}, ok
}

// versionChooser draws the versions of first attempts and remembers what was last logged. It is
// safe for concurrent use.
type versionChooser struct {
	mu     *sync.Mutex
	random *rand.Rand
	// logged holds what was last logged of each service. Only watchState uses it.
	logged map[string]rolloutInForce
}

func newVersionChooser() versionChooser {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // not used for security
	return versionChooser{mu: &sync.Mutex{}, random: random, logged: map[string]rolloutInForce{}}
}

// IntN implements rollout.Random.
func (c versionChooser) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// rolloutOf returns the rollout of the service, or nil without one.
func rolloutOf(v *directory.View, service string) *document.Rollout {
	found, ok := v.Doc.Rollouts[service]
	if !ok {
		return nil
	}
	r := found // allocated only when there is a rollout
	return &r
}

// selectionView returns the view by which the instance for an attempt is selected: the call's,
// or the current one if it has a rollout of the service, whose end applies to calls that have
// begun before.
func (n *Node) selectionView(c *call) *directory.View {
	current := n.directory.View()
	if _, hasRollout := current.Doc.Rollouts[c.service]; hasRollout {
		return current
	}
	return c.view
}

// selectVersions returns the versions for an attempt that is not a hedged request.
func (n *Node) selectVersions(v *directory.View, c *call, isFirst bool) versionSelection {
	r := rolloutOf(v, c.service)
	if r == nil {
		return versionSelection{}
	}
	contactAge := n.subscription.ContactAge(time.Now())
	if !isFirst {
		return versionSelection{rollout: r, versions: rollout.ChooseRepeat(r, contactAge, c.excludedVersions)}
	}
	selection := versionSelection{rollout: r, versions: rollout.Choose(r, n.versionChooser, contactAge)}
	selection.needsQuote = selection.versions == rollout.TargetVersion && !rollout.HasFullShare(r, contactAge)
	return selection
}

// selectHedgeVersions returns the versions for a hedged request, and false when the request must
// not be hedged.
func (n *Node) selectHedgeVersions(v *directory.View, service string) (versionSelection, bool) {
	r := rolloutOf(v, service)
	if r == nil {
		return versionSelection{}, true
	}
	versions, ok := rollout.ChooseHedge(r, n.subscription.ContactAge(time.Now()))
	return versionSelection{rollout: r, versions: versions}, ok
}

// observeVersion keeps what the result of an attempt says about the versions in a rollout.
func (n *Node) observeVersion(c *call, instance *wire.Instance, result *attemptResult) {
	r := rolloutOf(n.selectionView(c), c.service)
	if r == nil {
		return
	}
	c.versionRefused = c.versionRefused || !result.isInstanceUnavailable()
	if result.reason == wire.RefusalReason_REFUSAL_VERSION {
		c.excludedVersions.Add(r, instance.GetSoftwareVersion())
	}
}

// countVersion counts an attempt of the call at an instance by its version.
func (n *Node) countVersion(c *call, instance *wire.Instance) {
	if r := rolloutOf(n.selectionView(c), c.service); r != nil {
		n.metrics.service(c.service).rollout.countAttempt(r, instance.GetSoftwareVersion())
	}
}

// upstreamVersionRefusal returns why the upstream beside this node gets no requests because of a
// rollout, or REFUSAL_UNSPECIFIED. An upstream whose announcement this node has not received yet
// may have any version.
func (n *Node) upstreamVersionRefusal() wire.RefusalReason {
	a := n.upstream.currentAnnouncement()
	if a == nil {
		return wire.RefusalReason_REFUSAL_UNSPECIFIED
	}
	r := rolloutOf(n.directory.View(), a.Service)
	switch {
	case r == nil:
		return wire.RefusalReason_REFUSAL_UNSPECIFIED
	case a.Provisional:
		return wire.RefusalReason_REFUSAL_NO_UPSTREAM
	case rollout.Excludes(r, a.Version):
		return wire.RefusalReason_REFUSAL_VERSION
	}
	return wire.RefusalReason_REFUSAL_UNSPECIFIED
}

// checkVersion reports whether the attempt may run as far as rollouts are concerned, and keeps
// the reason otherwise: that of upstreamVersionRefusal, or that the sender has chosen the target
// version without knowing of the rollout.
func (r *receivedAttempt) checkVersion() bool {
	reason := r.node.upstreamVersionRefusal()
	if reason == wire.RefusalReason_REFUSAL_UNSPECIFIED && r.isFromBeforeRollout() {
		reason = wire.RefusalReason_REFUSAL_VERSION
	}
	r.versionRefusal.Store(int32(reason))
	return reason == wire.RefusalReason_REFUSAL_UNSPECIFIED
}

func (r *receivedAttempt) isFromBeforeRollout() bool {
	a := r.node.upstream.currentAnnouncement()
	if a == nil {
		return false
	}
	active := rolloutOf(r.node.directory.View(), a.Service)
	return active != nil && a.Version == active.TargetVersion && r.head.GetRevision() < active.StartedRevision
}

// rolloutInForce is what this node applies of a rollout.
type rolloutInForce struct {
	rollout uint64 // StartedRevision
	state   document.RolloutState
	phase   document.RolloutPhase
	share   int // in thousandths, 0 without contact to control
}

// contactCheckAge is the age of the contact to control from which a node asks for a heartbeat
// acknowledgement while a rollout is running. The heartbeats of membership.HeartbeatInterval
// are too far apart to tell within rollout.MaxContactAge that the contact is lost.
const contactCheckAge = 700 * time.Millisecond

// observeRollouts logs the rollouts whose state, phase or share in force has changed and
// updates the metrics. It reports whether a heartbeat is needed to confirm the contact to
// control.
func (n *Node) observeRollouts(now time.Time) (needsContact bool) {
	view := n.directory.View()
	contactAge := n.subscription.ContactAge(now)
	for service, r := range view.Doc.Rollouts {
		inForce := rolloutInForce{rollout: r.StartedRevision, state: r.State, phase: r.Phase, share: rollout.Share(&r, contactAge)}
		needsContact = needsContact || r.State == document.RolloutRunning && contactAge > contactCheckAge
		n.metrics.service(service).rollout.setShare(inForce.share)
		if n.versionChooser.logged[service] == inForce {
			continue
		}
		n.versionChooser.logged[service] = inForce
		_ = level.Info(n.logger).Log("msg", "rollout in force", "service", service, "target_version", r.TargetVersion,
			"state", r.State, "phase", r.Phase, "share_permille", inForce.share, "configured_permille", r.SharePermille,
			"contact_age_ms", contactAge.Milliseconds(), "revision", view.Revision)
	}
	maps.DeleteFunc(n.versionChooser.logged, func(service string, _ rolloutInForce) bool {
		_, kept := view.Doc.Rollouts[service]
		if !kept {
			n.metrics.service(service).rollout.clearShare()
		}
		return !kept
	})
	return needsContact
}
