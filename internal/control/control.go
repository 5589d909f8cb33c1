// Package control assembles a control member: the replicated state, the
// operators' API, membership and distribution.
package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/slo"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	apiHeaderTimeout = 5 * time.Second
	apiStopTimeout   = 10 * time.Second
	maxHeaderBytes   = 32 << 10
)

// Control is one control member.
type Control struct {
	settings   *settings.Control
	logger     log.Logger
	source     distribute.Source
	registry   *membership.Registry
	distribute *distribute.Server
	exchange   *membership.Exchange
	client     *mesh.Client
	burn       *slo.Machine
	collector  *slo.Collector

	meshListener net.Listener
	apiListener  net.Listener
}

// New opens the listeners and the state of a member.
func New(s *settings.Control, logger log.Logger) (*Control, error) {
	source, err := newFileSource(s.BootstrapDocument)
	if err != nil {
		return nil, err
	}
	registry := membership.NewRegistry()
	c := &Control{
		settings:  s,
		logger:    logger,
		source:    source,
		registry:  registry,
		client:    mesh.NewClient(mesh.DefaultConfig()),
		burn:      slo.NewMachine(),
		collector: slo.NewCollector(),
	}
	c.distribute = distribute.NewServer(source, registry, c.collectCounts, logger)
	c.exchange = c.newExchange()
	return c, c.listen()
}

func (c *Control) listen() error {
	var err error
	if c.meshListener, err = net.Listen("tcp", c.settings.MeshListen); err != nil {
		return errors.Wrap(err, "mesh_listen")
	}
	if c.apiListener, err = net.Listen("tcp", c.settings.APIListen); err != nil {
		_ = c.meshListener.Close()
		return errors.Wrap(err, "api_listen")
	}
	return nil
}

// APIAddress returns the address of the operators' API.
func (c *Control) APIAddress() string { return c.apiListener.Addr().String() }

// MeshAddress returns the address for nodes and other members.
func (c *Control) MeshAddress() string { return c.meshListener.Addr().String() }

// Run serves until ctx ends, then stops gracefully.
func (c *Control) Run(ctx context.Context) error {
	server := mesh.NewServer(mesh.DefaultConfig(), c.serveStream)
	api := &http.Server{
		Handler:           c.routes(),
		ReadHeaderTimeout: apiHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(groupCtx, c.meshListener) })
	group.Go(func() error { return ignoreClosed(api.Serve(c.apiListener)) })
	group.Go(func() error { c.keepRegistry(groupCtx); return nil })
	group.Go(func() error { c.distribute.Run(groupCtx); return nil })
	group.Go(func() error { c.collector.Run(groupCtx, unreplicated{c.burn}, c.logger); return nil })
	group.Go(func() error { c.exchange.Run(groupCtx); return nil })
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), apiStopTimeout)
		defer cancel()
		err := api.Shutdown(stopCtx)
		_ = c.meshListener.Close()
		server.Close()
		c.client.Close()
		return err
	})
	_ = level.Info(c.logger).Log("msg", "control member started", "mesh", c.MeshAddress(), "api", c.APIAddress())
	err := group.Wait()
	_ = level.Info(c.logger).Log("msg", "control member stopped", "err", err)
	return err
}

// serveStream hands a stream to the service that its first message asks for.
func (c *Control) serveStream(ctx context.Context, stream net.Conn) {
	conn := frame.NewConn(stream)
	first, err := conn.Receive()
	if err != nil {
		return
	}
	switch {
	case first.GetSubscribe() != nil:
		err = c.distribute.ServeStream(ctx, first, conn)
	case first.GetRegistryUpdate() != nil:
		err = c.exchange.ServeStream(first, conn)
	default:
		err = errors.WithMessage(frame.ErrUnexpected, "first message of a stream")
	}
	if err != nil && ctx.Err() == nil {
		_ = level.Debug(c.logger).Log("msg", "stream ended", "peer", stream.RemoteAddr(), "err", err)
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
