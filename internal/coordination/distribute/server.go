// Package distribute carries configuration revisions and the registry of
// upstreams from control members to nodes.
package distribute

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
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

// Server serves the subscriptions of nodes.
type Server struct {
	source   Source
	registry *membership.Registry
}

// NewServer returns a server for the source and the registry.
func NewServer(source Source, registry *membership.Registry) *Server {
	return &Server{source: source, registry: registry}
}

// subscription is the state of one node's stream.
type subscription struct {
	services map[string]bool
	revision uint64
	version  uint64
}

// ServeStream serves one node until the stream ends. The first message is the
// node's Subscribe.
func (s *Server) ServeStream(ctx context.Context, first *wire.Envelope, conn *frame.Conn) error {
	if first.GetSubscribe() == nil {
		return errors.WithMessage(frame.ErrUnexpected, "first message is no subscription")
	}
	if err := s.source.Confirm(ctx); err != nil {
		return errors.Wrap(err, "distribute: confirm before the first state")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	incoming := make(chan *wire.Envelope, 16)
	go receive(ctx, cancel, conn, incoming)

	sub := &subscription{}
	if err := s.subscribe(conn, sub, first.GetSubscribe()); err != nil {
		return err
	}
	for {
		registryChanged, documentChanged := s.registry.Changed(), s.source.Changed()
		if err := s.sendState(conn, sub, false); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-registryChanged:
		case <-documentChanged:
		case message := <-incoming:
			if err := s.handle(conn, sub, message); err != nil {
				return err
			}
		}
	}
}

func receive(ctx context.Context, cancel context.CancelFunc, conn *frame.Conn, incoming chan<- *wire.Envelope) {
	defer cancel()
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		select {
		case incoming <- message:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) handle(conn *frame.Conn, sub *subscription, message *wire.Envelope) error {
	switch {
	case message.GetHeartbeat() != nil:
		heartbeat := message.GetHeartbeat()
		s.registry.Renew(time.Now(), heartbeat)
		return conn.SendNow(&wire.Envelope{Body: &wire.Envelope_HeartbeatAck{
			HeartbeatAck: &wire.HeartbeatAck{Sequence: heartbeat.GetSequence()},
		}})
	case message.GetSubscribe() != nil:
		return s.subscribe(conn, sub, message.GetSubscribe())
	default:
		return errors.WithMessage(frame.ErrUnexpected, "on a subscription")
	}
}

func (s *Server) subscribe(conn *frame.Conn, sub *subscription, message *wire.Subscribe) error {
	sub.services = map[string]bool{}
	for _, service := range message.GetServices() {
		sub.services[service] = true
	}
	return s.sendState(conn, sub, true)
}

func (s *Server) sendState(conn *frame.Conn, sub *subscription, force bool) error {
	revision, document := s.source.Current()
	instances, version := s.registry.Instances(sub.services)
	if !force && revision == sub.revision && version == sub.version {
		return nil
	}
	sub.revision, sub.version = revision, version
	return conn.SendNow(&wire.Envelope{Body: &wire.Envelope_StateFull{StateFull: &wire.StateFull{
		Revision:        revision,
		Document:        document,
		Instances:       instances,
		RegistryVersion: version,
		Confirmed:       true,
	}}})
}
