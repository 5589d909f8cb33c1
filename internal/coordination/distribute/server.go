// Package distribute carries configuration revisions and the registry of
// upstreams from control members to nodes.
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
	// coalesceDelay collects changes, so that a burst costs one message per node.
	coalesceDelay = 50 * time.Millisecond
	// confirmTimeout bounds the confirmed read before the first state of a node;
	// a node that gets none tries another member.
	confirmTimeout = 3 * time.Second
)

// Source is the configuration that a server distributes.
type Source interface {
	// Confirm returns once everything accepted before the call is visible in Current.
	Confirm(ctx context.Context) error
	// Current returns the revision and the JSON document without secrets.
	Current() (revision uint64, document []byte)
	// Changed returns a channel that is closed at the next revision.
	Changed() <-chan struct{}
}

// CountSink takes the counts of a heartbeat. It must not block.
type CountSink func(heartbeat *wire.Heartbeat)

// Server serves the subscriptions of nodes.
type Server struct {
	source   Source
	registry *membership.Registry
	logger   log.Logger
	counts   CountSink
	// members returns the mesh addresses of the control members; nil tells none.
	members func() []string
	// isolated is set while the member has no contact with a quorum.
	isolated atomic.Bool

	mu       sync.Mutex
	sections *Sections
	subs     map[*subscription]struct{}
	cache    encodeCache

	// publishedVersion and stale are those of the last publish; only Run uses them.
	publishedVersion uint64
	publishedStale   bool
}

// NewServer returns a server for the source and the registry. Counts may be nil.
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

// SetMembers makes acknowledgements of heartbeats name the control members, so that
// nodes reach members that their settings do not name. It is called before ServeStream.
func (s *Server) SetMembers(members func() []string) { s.members = members }

// SetIsolated records whether this member has no contact with a quorum, and tells its
// nodes, which then look for another member.
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

// Run wakes the subscriptions that a change concerns until ctx ends.
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

// publish wakes each subscription that a change since the last publish concerns.
func (s *Server) publish() {
	document := s.refreshDocument()
	touched, version, stale, ok := s.registry.Touched(s.publishedVersion)
	all := document || !ok || stale != s.publishedStale
	s.publishedVersion, s.publishedStale = version, stale
	if !all && len(touched) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.cache)
	for sub := range s.subs {
		if all || sub.usesAny(touched) {
			sub.signal()
		}
	}
}

// refreshDocument takes the current document of the source. It returns true when it is new.
func (s *Server) refreshDocument() bool {
	revision, document := s.source.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	next, _, err := s.sections.Advance(revision, document)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "revision is not distributed", "revision", revision, "err", err)
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

// ServeStream serves one node until the stream ends. The first message is the
// node's Subscribe. A node that holds no revision gets its first state only
// after a confirmed read, because this member may lag behind what the node had
// in force before it restarted. It returns the error of the confirmed read or
// of the stream.
func (s *Server) ServeStream(ctx context.Context, first *wire.Envelope, conn *frame.Conn) error {
	subscribe := first.GetSubscribe()
	if subscribe == nil {
		return errors.WithMessage(frame.ErrUnexpected, "first message is no subscription")
	}
	if subscribe.GetHaveRevision() == 0 {
		if err := s.confirm(ctx); err != nil {
			return err
		}
	}
	s.refreshDocument()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := newSubscription(s, conn, subscribe)
	s.add(sub)
	defer s.remove(sub)
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		sub.runWriter(ctx)
	}()
	err := s.receive(ctx, sub)
	cancel()
	<-written
	return err
}

func (s *Server) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.source.Confirm(ctx); err != nil {
		return errors.Wrap(err, "distribute: confirm before the first state")
	}
	// A quorum has just answered. The periodic look at it may not have seen that yet, and
	// would send the node to another member.
	s.SetIsolated(false)
	return nil
}

// receive takes what the node sends. It ends when the stream does.
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
		default:
			return errors.WithMessage(frame.ErrUnexpected, "on a subscription")
		}
	}
	return ctx.Err()
}

func (s *Server) handleHeartbeat(sub *subscription, heartbeat *wire.Heartbeat) {
	s.registry.Renew(time.Now(), heartbeat)
	if s.counts != nil && len(heartbeat.GetCounts()) > 0 {
		s.counts(heartbeat)
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

// Progress tells how far the nodes of this member have followed.
type Progress struct {
	Revision uint64 `json:"revision"`
	Nodes    int    `json:"nodes"`
	// Behind counts nodes whose acknowledged revision is lower than Revision.
	Behind int `json:"behind"`
	// Lowest is the lowest acknowledged revision.
	Lowest uint64 `json:"lowest"`
}

// Progress returns what the nodes of this member have acknowledged.
func (s *Server) Progress() Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{Revision: s.sections.Revision(), Nodes: len(s.subs)}
	for sub := range s.subs {
		acknowledged := sub.acknowledged()
		if p.Lowest == 0 || acknowledged < p.Lowest {
			p.Lowest = acknowledged
		}
		if acknowledged < p.Revision {
			p.Behind++
		}
	}
	return p
}
