package node

import (
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// controlSink implements distribute.Sink for a node: it applies the state that control
// distributes and supplies the heartbeats.
type controlSink Node

// Apply applies a full state from control.
func (s *controlSink) Apply(state *wire.StateFull) {
	s.directory.Apply(state)
	s.configureUpstream()
	s.applyDepartures(state.GetInstances())
}

// ApplyDiff applies a difference from control. It returns false when the document part
// does not start at the revision that the node holds.
func (s *controlSink) ApplyDiff(diff *wire.StateDiff) bool {
	applied := s.directory.ApplyDiff(diff)
	s.configureUpstream()
	s.applyDepartures(diff.GetChanged())
	return applied
}

// configureUpstream applies the current configuration to the upstream at once. Until its
// warm-up rate is set, a cold upstream is limited to one request at a time.
func (s *controlSink) configureUpstream() { (*Node)(s).applyUpstreamConfig() }

// applyDepartures stops new work for the upstream beside the node when the registry lists
// it as departing. A restarted node has lost that state.
func (s *controlSink) applyDepartures(instances []*wire.Instance) {
	a := s.upstream.currentAnnouncement()
	if a == nil {
		return
	}
	for _, instance := range instances {
		startID := instance.GetStartId()
		if a.Provisional {
			// The start ID is not known yet; until it is, a departure of any start counts.
			startID = a.StartID
		}
		if instance.GetDeparting() && instance.GetId() == a.Instance && s.upstream.leave(startID) {
			_ = level.Debug(s.logger).Log("msg", "registry lists the upstream as departing", "instance", a.Instance)
		}
	}
}

// Revision returns the current configuration revision.
func (s *controlSink) Revision() uint64 { return s.directory.View().Revision }

// Heartbeat returns the next heartbeat, which renews the node's lease.
func (s *controlSink) Heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		NodeId:    s.settings.ID,
		NodeStart: s.startedAtNs,
		Zone:      s.settings.Zone,
		Revision:  s.directory.View().Revision,
		Instance:  s.upstream.registryEntry(s.settings.ID, s.settings.Zone, s.settings.MeshAddress, s.startedAtNs),
		Counts:    s.metrics.burnCounts(),
		Evidence:  (*Node)(s).reportEvidence(),
		Sequence:  s.directory.NextSequence(),
	}
}

// SetNodeCount sets the number of nodes among which the retry budget and the quotas are
// divided.
func (s *controlSink) SetNodeCount(nodes int) {
	s.balancer.setNodeCount(nodes)
	s.entryQuotas.meter.SetNodes(nodes)
}

// HeartbeatAcknowledged is called when control has acknowledged a heartbeat. The registry
// state of that heartbeat's upstream has arrived before the acknowledgement.
func (s *controlSink) HeartbeatAcknowledged(sequence uint64) {
	if a := s.upstream.currentAnnouncement(); a != nil && sequence >= s.announcedSequence.Load() {
		s.upstream.confirmStart(a.StartID)
	}
}

// Services returns the services to which the node has subscribed.
func (s *controlSink) Services() []string { return s.directory.SubscribedServices() }

// HeartbeatRequested returns a channel that receives a value when the heartbeat or the
// subscription has changed.
func (s *controlSink) HeartbeatRequested() <-chan struct{} { return s.directory.HeartbeatRequested() }
