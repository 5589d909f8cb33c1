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
	registry   *membership.Registry
	distribute *distribute.Server

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
		settings:   s,
		logger:     logger,
		registry:   registry,
		distribute: distribute.NewServer(source, registry),
	}
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
	config, err := mesh.Configure(c.settings.ID, c.settings.TLSCert, c.settings.TLSKey, c.settings.TLSCA)
	if err != nil {
		return &settings.Error{File: "settings", Field: "tls", Problem: err.Error()}
	}
	server := mesh.NewServer(config, c.serveStream)
	api := &http.Server{
		Handler:           c.routes(),
		ReadHeaderTimeout: apiHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(groupCtx, c.meshListener) })
	group.Go(func() error { return ignoreClosed(api.Serve(c.apiListener)) })
	group.Go(func() error { return c.expireLeases(groupCtx) })
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), apiStopTimeout)
		defer cancel()
		err := api.Shutdown(stopCtx)
		_ = c.meshListener.Close()
		server.Close()
		return err
	})
	_ = level.Info(c.logger).Log("msg", "control member started", "mesh", c.MeshAddress(), "api", c.APIAddress())
	err = group.Wait()
	_ = level.Info(c.logger).Log("msg", "control member stopped", "err", err)
	return err
}

func (c *Control) expireLeases(ctx context.Context) error {
	ticker := time.NewTicker(membership.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.registry.Expire(now)
		}
	}
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
