// Package distribute sends configuration revisions and the registry of upstreams from
// control members to nodes.
package distribute

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// coalesceDelay is the time for which changes are batched, so that a burst costs one
	// message per node.
	coalesceDelay = 50 * time.Millisecond
	// readBarrierTimeout bounds the wait for the read barrier before the first state of a
	// node. When it fails, the stream ends and the node tries another member.
	readBarrierTimeout = 3 * time.Second
)

// Source is the configuration that a server distributes.
type Source interface {
	// ReadBarrier makes a following Current a linearizable read: it returns once everything
	// accepted before the call is visible in Current.
	ReadBarrier(ctx context.Context) error
	// Current returns the revision and the JSON document without secrets.
	Current() (revision uint64, document []byte)
	// Changed returns a channel that is closed when the next revision is visible.
	Changed() <-chan struct{}
}

// CountSink receives the heartbeats that carry request counts or evidence of rollouts. It
// must not block.
type CountSink func(heartbeat *wire.Heartbeat)

// Server serves the subscriptions of nodes.
type Server struct {
	source   Source
	registry *membership.Registry
	logger   log.Logger
	counts   CountSink
	// members returns the mesh addresses of the control members; when nil,
	// acknowledgements list no members.
	members func() []string
	quotas  QuotaCollector
	// isolated is set while the member has no contact with a quorum.
	isolated atomic.Bool

	mu       sync.Mutex
	sections *Sections
	subs     map[*subscription]struct{}
	cache    encodeCache

	// publishedVersion and publishedStale are the registry version and staleness at the
	// last call of publish; only Run uses them.
	publishedVersion uint64
	publishedStale   bool
}

// NewServer returns a server for the source and the registry; counts may be nil.
func NewServer(source Source, registry *membership.Registry, counts CountSink, logger log.Logger) *Server {
	return &Server{
		source:   source,
		registry: registry,
		logger:   logger,
		counts:   counts,
		sections: NewSections(),
		subs:     map[*subscription]struct{}{},
		cache:    encodeCache{},
	}
}

// SetMembers makes heartbeat acknowledgements list the control members, so that nodes
// can also connect to members that are not in their settings. It must be called before
// ServeStream.
func (s *Server) SetMembers(members func() []string) { s.members = members }

// SetIsolated records whether this member has no contact with a quorum. A change is sent
// to its nodes, which leave an isolated member for another one.
func (s *Server) SetIsolated(isolated bool) {
	if s.isolated.Swap(isolated) == isolated {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subs {
		sub.resendAck()
	}
}

func (s *Server) memberAddresses() []string {
	if s.members == nil {
		return nil
	}
	return s.members()
}

// Run publishes changes of the document and the registry until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for {
		registryChanged, documentChanged := s.registry.Changed(), s.source.Changed()
		s.publish()
		select {
		case <-ctx.Done():
			return
		case <-registryChanged:
		case <-documentChanged:
		}
		sleep(ctx, coalesceDelay)
	}
}

// publish wakes each subscription that is affected by a change since the last call.
func (s *Server) publish() {
	documentChanged := s.refreshDocument()
	changedServices, version, stale, ok := s.registry.ChangedServices(s.publishedVersion)
	wakeAll := documentChanged || !ok || stale != s.publishedStale
	s.publishedVersion, s.publishedStale = version, stale
	if !wakeAll && len(changedServices) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.cache)
	for sub := range s.subs {
		if wakeAll || sub.usesAny(changedServices) {
			sub.wakeWriter()
		}
	}
}

// refreshDocument loads the current document of the source. It returns true when the
// revision has changed. An invalid document is logged and the previous one kept.
func (s *Server) refreshDocument() bool {
	revision, document := s.source.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	next, _, err := s.sections.Advance(revision, document)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "configuration revision is invalid; still distributing the previous one", "revision", revision, "err", err)
		return false
	}
	changed := next != s.sections
	s.sections = next
	return changed
}

func (s *Server) currentSections() *Sections {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sections
}

// ServeStream serves one node until the stream ends. The first message must be the node's
// Subscribe. A node that has no revision gets its first state only after a linearizable
// read, because this member may lag behind the revision that the node had in force before
// it restarted. ServeStream returns the error of that read or of the stream.
func (s *Server) ServeStream(ctx context.Context, first *wire.Envelope, conn *frame.Conn) error {
	subscribe := first.GetSubscribe()
	if subscribe == nil {
		return errors.WithMessage(frame.ErrUnexpected, "first message on the stream is not a subscription")
	}
	if subscribe.GetHaveRevision() == 0 {
		if err := s.readBarrier(ctx); err != nil {
			return err
		}
	}
	s.refreshDocument()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := newSubscription(s, conn, subscribe)
	s.add(sub)
	defer s.remove(sub)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		defer cancel()
		sub.runWriter(ctx)
	}()
	err := s.receive(ctx, sub)
	cancel()
	<-writerDone
	return err
}

// readBarrier waits until this member has everything that was accepted before the call.
func (s *Server) readBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	if err := s.source.ReadBarrier(ctx); err != nil {
		return errors.Wrap(err, "distribute: linearizable read before the first state")
	}
	// A quorum has just replied. The periodic check of the quorum contact may not have run
	// since; its old result would make the node leave for another member.
	s.SetIsolated(false)
	return nil
}

// receive handles the messages of the node until ctx or the stream ends.
func (s *Server) receive(ctx context.Context, sub *subscription) error {
	for ctx.Err() == nil {
		message, err := sub.conn.Receive()
		if err != nil {
			return err
		}
		switch {
		case message.GetHeartbeat() != nil:
			s.handleHeartbeat(sub, message.GetHeartbeat())
		case message.GetSubscribe() != nil:
			sub.subscribe(message.GetSubscribe())
		case message.GetQuotaReport() != nil:
			if err := s.handleQuotaReport(sub, message.GetQuotaReport()); err != nil {
				return err
			}
		default:
			return errors.WithMessage(frame.ErrUnexpected, "node sent neither a heartbeat, a subscription nor a quota report")
		}
	}
	return ctx.Err()
}

func (s *Server) handleHeartbeat(sub *subscription, heartbeat *wire.Heartbeat) {
	s.registry.Renew(time.Now(), heartbeat)
	if s.counts != nil && len(heartbeat.GetCounts())+len(heartbeat.GetEvidence()) > 0 {
		s.counts(heartbeat)
	}
	if s.quotas != nil && heartbeat.GetStopping() {
		s.quotas.Stopped(heartbeat.GetNodeId())
	}
	sub.acknowledge(heartbeat)
}

func (s *Server) add(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs[sub] = struct{}{}
}

func (s *Server) remove(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subs, sub)
}

// Progress summarises which revisions the nodes of this member have in force.
type Progress struct {
	Revision uint64 `json:"revision"`
	Nodes    int    `json:"nodes"`
	// LaggingNodes is the number of nodes whose acknowledged revision is lower than
	// Revision.
	LaggingNodes int `json:"behind"`
	// LowestAcknowledged is the lowest acknowledged revision, or 0 without nodes.
	LowestAcknowledged uint64 `json:"lowest"`
}

// Progress returns a summary of the revisions that the nodes of this member have
// acknowledged.
func (s *Server) Progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{Revision: s.sections.Revision(), Nodes: len(s.subs)}
	for sub := range s.subs {
		acknowledged := sub.acknowledged()
		if p.LowestAcknowledged == 0 || acknowledged < p.LowestAcknowledged {
			p.LowestAcknowledged = acknowledged
		}
		if acknowledged < p.Revision {
			p.LaggingNodes++
		}
	}
	return p
}
