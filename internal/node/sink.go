package node

import "github.com/chicorylever/chicorylever/internal/protocol/wire"

// controlSink connects a node to its subscription at control.
type controlSink Node

// Apply takes a state from control.
func (s *controlSink) Apply(state *wire.StateFull) { s.directory.apply(state) }

// ApplyDiff takes a difference from control.
func (s *controlSink) ApplyDiff(diff *wire.StateDiff) bool { return s.directory.applyDiff(diff) }

// Revision returns the revision in force.
func (s *controlSink) Revision() uint64 { return s.directory.view().revision }

// Heartbeat returns the node's lease renewal.
func (s *controlSink) Heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		NodeId:    s.settings.ID,
		NodeStart: s.start,
		Zone:      s.settings.Zone,
		Revision:  s.directory.view().revision,
		Instance:  s.upstream.instance(s.settings.ID, s.settings.Zone, s.settings.MeshAddress, s.start),
		Counts:    s.metrics.burnCounts(),
		Sequence:  s.directory.sequence.Add(1),
	}
}

// Acknowledged is called when control has taken a heartbeat.
func (s *controlSink) Acknowledged(uint64) {}

// Services returns the services that the node has been asked for.
func (s *controlSink) Services() []string { return s.directory.wantedServices() }

// Changed signals news for control.
func (s *controlSink) Changed() <-chan struct{} { return s.directory.changed }
