// Package node assembles the process beside each upstream: the entry for
// callers, the egress of its own upstream, and the only sender of work to it.
package node

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
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
)

// Node is one node.
type Node struct {
	settings  *settings.Node
	logger    log.Logger
	start     uint64
	directory *directory
	upstream  *upstream
	client    *mesh.Client
	server    *mesh.Server

	entryListener net.Listener
	localListener net.Listener
	meshListener  net.Listener
}

// New opens the listeners of a node.
func New(s *settings.Node, logger log.Logger) (*Node, error) {
	n := &Node{
		settings:  s,
		logger:    log.With(logger, "node", s.ID),
		start:     uint64(time.Now().UnixNano()), //nolint:gosec // positive since 1970
		directory: newDirectory(),
		upstream:  newUpstream(),
		client:    mesh.NewClient(mesh.DefaultConfig()),
	}
	n.directory.fetch = n.fetchRevision
	n.server = mesh.NewServer(mesh.DefaultConfig(), n.serveStream)
	return n, n.listen()
}

func (n *Node) listen() error {
	listeners := []struct {
		field   string
		address string
		target  *net.Listener
	}{
		{"entry_listen", n.settings.EntryListen, &n.entryListener},
		{"local_listen", n.settings.LocalListen, &n.localListener},
		{"mesh_listen", n.settings.MeshListen, &n.meshListener},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return errors.Wrap(err, l.field)
		}
		*l.target = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range []net.Listener{n.entryListener, n.localListener, n.meshListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// EntryAddress returns the address for callers.
func (n *Node) EntryAddress() string { return n.entryListener.Addr().String() }

// LocalAddress returns the address for the upstream beside this node.
func (n *Node) LocalAddress() string { return n.localListener.Addr().String() }

// Run serves until ctx ends, then finishes accepted requests and stops.
func (n *Node) Run(ctx context.Context) error {
	entry := httpServer(http.HandlerFunc(n.handleCall))
	local := httpServer(n.localRoutes())
	group, groupCtx := errgroup.WithContext(ctx)
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group.Go(func() error { return ignoreClosed(entry.Serve(n.entryListener)) })
	group.Go(func() error { return ignoreClosed(local.Serve(n.localListener)) })
	group.Go(func() error { return n.server.Serve(serveCtx, n.meshListener) })
	group.Go(func() error { n.runControl(groupCtx); return nil })
	group.Go(func() error {
		<-groupCtx.Done()
		return n.stop(entry, local)
	})
	_ = level.Info(n.logger).Log("msg", "node started", "entry", n.EntryAddress(), "local", n.LocalAddress())
	err := group.Wait()
	_ = level.Info(n.logger).Log("msg", "node stopped", "err", err)
	return err
}

func (n *Node) runControl(ctx context.Context) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return n.client.Open(ctx, address, mesh.Small)
	}
	distribute.NewClient(n.settings.ID, n.settings.Control, dial, (*controlSink)(n), n.logger).Run(ctx)
}

func (n *Node) stop(servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.StopTimeoutMs)*time.Millisecond)
	defer cancel()
	var first error
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "node: stop")
		}
	}
	n.closeListeners()
	n.server.Close()
	n.client.Close()
	return first
}

func httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
