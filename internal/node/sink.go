package node

import (
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// controlSink connects a node to its subscription at control.
type controlSink Node

// Apply takes a state from control.
func (s *controlSink) Apply(state *wire.StateFull) {
	s.directory.Apply(state)
	s.configureUpstream()
	s.learnDeparture(state.GetInstances())
}

// ApplyDiff takes a difference from control.
func (s *controlSink) ApplyDiff(diff *wire.StateDiff) bool {
	followed := s.directory.ApplyDiff(diff)
	s.configureUpstream()
	s.learnDeparture(diff.GetChanged())
	return followed
}

// configureUpstream applies the configuration in force to the upstream at once. Without its
// stated rate a cold upstream is limited to one request at a time.
func (s *controlSink) configureUpstream() { (*Node)(s).syncMeasuring() }

// learnDeparture takes no more work for the upstream beside the node when control knows
// that it leaves. A node that was restarted has forgotten it.
func (s *controlSink) learnDeparture(instances []*wire.Instance) {
	a := s.upstream.announced()
	if a == nil {
		return
	}
	for _, instance := range instances {
		if instance.GetDeparting() && instance.GetId() == a.Instance && s.upstream.leave(instance.GetStartId()) {
			_ = level.Debug(s.logger).Log("msg", "control knows that the upstream leaves", "instance", a.Instance)
		}
	}
}

// Revision returns the revision in force.
func (s *controlSink) Revision() uint64 { return s.directory.View().Revision }

// Heartbeat returns the node's lease renewal.
func (s *controlSink) Heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		NodeId:    s.settings.ID,
		NodeStart: s.start,
		Zone:      s.settings.Zone,
		Revision:  s.directory.View().Revision,
		Instance:  s.upstream.instance(s.settings.ID, s.settings.Zone, s.settings.MeshAddress, s.start),
		Counts:    s.metrics.burnCounts(),
		Sequence:  s.directory.NextSequence(),
	}
}

// Fleet takes the number of nodes, which divide the retry budget.
func (s *controlSink) Fleet(nodes int) { s.balancer.setNodeCount(nodes) }

// Acknowledged is called when control has taken a heartbeat. What control knows of the
// upstream of that heartbeat has arrived before.
func (s *controlSink) Acknowledged(sequence uint64) {
	if a := s.upstream.announced(); a != nil && sequence >= s.announcedAt.Load() {
		s.upstream.confirm(a.StartID)
	}
}

// Services returns the services that the node has been asked for.
func (s *controlSink) Services() []string { return s.directory.WantedServices() }

// Changed signals news for control.
func (s *controlSink) Changed() <-chan struct{} { return s.directory.Changed() }
