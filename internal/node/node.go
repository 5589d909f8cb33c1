// Package node assembles the process beside each upstream: the entry for
// callers, the egress of its own upstream, and the only sender of work to it.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/budget"
	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/transport/callerhttp"
	"github.com/chicorylever/chicorylever/internal/transport/datagram"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	maxEntryConnections = 20000
	maxLocalConnections = 4096
	maxAdminConnections = 64

	// lingerQuiet is the time without an attempt after which a stopping node closes its
	// connections. Control's next difference reaches the entries in about 60 ms.
	lingerQuiet = 300 * time.Millisecond
	// lingerMax bounds the wait while entries cut off from control keep trying.
	lingerMax = 3 * time.Second
	// refusalLogInterval is the shortest time between two lines about refused servers.
	refusalLogInterval = 10 * time.Second
)

// Options adapt a node to a deployment. The zero value is the project's own interface.
type Options struct {
	// Dialect names the headers towards callers and upstreams; nil selects the
	// project's own.
	Dialect *httpapi.Dialect
	// LocalRoutes adds routes to the listener for the upstream, before the project's own.
	LocalRoutes func(n *Node, router *mux.Router)
}

// Node is one node.
type Node struct {
	settings *settings.Node
	// live holds the settings that Reload may change.
	live         atomic.Pointer[settings.Node]
	subscription *distribute.Client
	options      Options
	dialect      *httpapi.Dialect
	// ownHeaders and upstreamHeaders are those of the dialect that are not passed on.
	ownHeaders      map[string]bool
	upstreamHeaders map[string]bool
	logger          log.Logger
	start           uint64
	directory       *directory.Directory
	upstream        *upstream
	balancer        *balancer
	metrics         *nodeMetrics
	settler         *settler
	freeze          freezeGuard
	splitter        trafficSplitter
	stopping        atomic.Bool
	// announcedAt is the first sequence of heartbeats that tell of the announced start.
	announcedAt atomic.Uint64
	// lastAttempt is the time of the last attempt of an entry in Unix nanoseconds.
	lastAttempt atomic.Int64
	client      *mesh.Client
	// quotes asks and answers for the state of upstreams; nil with TLS, since datagrams
	// are not authenticated.
	quotes *datagram.Peer
	server *mesh.Server
	// local counts attempts that skip the mesh hop.
	local sync.WaitGroup

	entryListener net.Listener
	localListener net.Listener
	meshListener  net.Listener
	adminListener net.Listener
}

// New opens the listeners of a node.
func New(s *settings.Node, logger log.Logger, options Options) (*Node, error) {
	config, err := mesh.Configure(s.ID, s.TLSCert, s.TLSKey, s.TLSCA)
	if err != nil {
		return nil, &settings.Error{File: "settings", Field: "tls", Problem: err.Error()}
	}
	if options.Dialect == nil {
		options.Dialect = httpapi.DefaultDialect()
	}
	refusals := obs.Limit(level.Warn(log.With(logger, "node", s.ID)), refusalLogInterval)
	config.PeerRefused = func(err *mesh.PermissionError) {
		_ = refusals.Log("msg", "control member refused", "peer", err.Peer.Name, "err", err)
	}
	n := &Node{
		settings:        s,
		options:         options,
		dialect:         options.Dialect,
		ownHeaders:      options.Dialect.OwnHeaders(),
		upstreamHeaders: options.Dialect.UpstreamHeaders(),
		splitter:        newTrafficSplitter(),
		logger:          log.With(logger, "node", s.ID),
		start:           uint64(time.Now().UnixNano()), //nolint:gosec // positive since 1970
		upstream:        newUpstream(options.Dialect, admission.Excess{Factor: s.ColdFactor, Slack: s.ColdSlack}),
		metrics:         newNodeMetrics(),
		client:          mesh.NewClient(config),
	}
	n.directory = directory.New(n.fetchRevision)
	n.live.Store(s)
	n.subscription = distribute.NewClient(s.ID, s.Control, n.dialControl, (*controlSink)(n), n.logger)
	total := budget.Total{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: time.Duration(s.RetryWindowS * float64(time.Second))}
	n.balancer = newBalancer(s.Zone, total, func(instance string) {
		n.metrics.ejections.Inc()
		_ = level.Warn(n.logger).Log("msg", "instance ejected", "instance", instance)
	})
	n.settler = newSettler(newMeshClaimer(n.client, s.Control))
	n.server = mesh.NewServer(config, n.serveStream)
	n.registerGauges()
	if err := n.listen(); err != nil {
		return nil, err
	}
	if config.TLS == nil {
		n.listenQuotes()
	}
	return n, nil
}

// listenQuotes opens the socket for quotes. Without it the node chooses by what
// responses tell.
func (n *Node) listenQuotes() {
	quotes, err := datagram.Listen(n.meshListener.Addr().String())
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "no quotes are exchanged", "err", err)
		return
	}
	n.quotes = quotes
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
		{"admin_listen", n.settings.AdminListen, &n.adminListener},
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
	for _, listener := range []net.Listener{n.entryListener, n.localListener, n.meshListener, n.adminListener} {
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
	entry := callerhttp.NewServer(http.HandlerFunc(n.handleCall), n.callerLimits, n.reportPanic)
	local := httpServer(n.localRoutes())
	admin := httpServer(n.adminRoutes())
	group, groupCtx := errgroup.WithContext(ctx)
	// What accepted requests need keeps running until they have finished.
	lateCtx, stopLate := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLate()
	group.Go(func() error { return ignoreClosed(entry.Serve(limitConnections(n.entryListener, maxEntryConnections))) })
	group.Go(func() error { return ignoreClosed(local.Serve(limitConnections(n.localListener, maxLocalConnections))) })
	group.Go(func() error { return ignoreClosed(admin.Serve(limitConnections(n.adminListener, maxAdminConnections))) })
	group.Go(func() error { return n.server.Serve(lateCtx, n.meshListener) })
	controlCtx, stopControl := context.WithCancel(lateCtx)
	defer stopControl()
	controlDone := make(chan struct{})
	group.Go(func() error {
		defer close(controlDone)
		n.runControl(controlCtx)
		return nil
	})
	if n.quotes != nil {
		group.Go(func() error { n.quotes.Serve(n.answerQuote); return nil })
	}
	group.Go(func() error { n.watchState(lateCtx); return nil })
	group.Go(func() error { n.freeze.run(lateCtx); return nil })
	group.Go(func() error {
		<-groupCtx.Done()
		defer stopLate()
		return n.stop(func() { stopControl(); <-controlDone }, entry, local, admin)
	})
	_ = level.Info(n.logger).Log("msg", "node started", "entry", n.EntryAddress(), "local", n.LocalAddress())
	err := group.Wait()
	_ = level.Info(n.logger).Log("msg", "node stopped", "err", err)
	return err
}

func (n *Node) runControl(ctx context.Context) {
	n.subscription.Run(ctx)
}

func (n *Node) dialControl(ctx context.Context, address string) (net.Conn, error) {
	return n.client.Open(ctx, address, mesh.Control)
}

// Reload takes the settings of control members, service and stop times. Other settings
// need a restart; the result names those that differ.
func (n *Node) Reload(s *settings.Node) []string {
	n.subscription.SetMembers(s.Control)
	n.live.Store(s)
	return n.settings.FixedDifferences(s)
}

// stop finishes accepted requests of callers and of other entries and closes everything.
// During the stop delay callers still come, and the upstream gets work up to workLead before
// its end. Entries learn of the stop from refusals and from control, which leave tells over
// connections that are still open.
func (n *Node) stop(leave func(), entry *callerhttp.Server, local, admin *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.live.Load().StopTimeoutMs)*time.Millisecond)
	defer cancel()
	n.stopping.Store(true)
	_ = level.Info(n.logger).Log("msg", "node is stopping", "delay_ms", n.live.Load().StopDelayMs, "timeout_ms", n.live.Load().StopTimeoutMs)
	entry.Drain()
	delay := time.Duration(n.live.Load().StopDelayMs) * time.Millisecond
	sleep(ctx, delay-workLead)
	n.upstream.gate.Stop()
	n.directory.Notify()
	sleep(ctx, min(delay, workLead))
	_ = n.entryListener.Close()
	first := errors.Wrap(entry.Shutdown(ctx), "node: finish callers' requests")
	leave()
	n.linger(ctx)
	if err := n.server.Drain(ctx); err != nil && first == nil {
		first = errors.Wrap(err, "node: finish other entries' requests")
	}
	for _, server := range []*http.Server{local, admin} {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "node: stop")
		}
	}
	n.settler.close(ctx)
	n.closeListeners()
	if n.quotes != nil {
		n.quotes.Close()
	}
	n.server.Close()
	n.client.Close()
	n.local.Wait()
	return first
}

// workLead is the time before the end of the stop delay at which the upstream gets no more
// work. Entries learn of that in it, and what was admitted has the rest of the stop time.
const workLead = 300 * time.Millisecond

// linger goes on refusing attempts until none has arrived for lingerQuiet, so that
// entries that have not yet heard of the stop get "not run" instead of a closed
// connection, whose outcome they cannot know.
func (n *Node) linger(ctx context.Context) {
	started := time.Now()
	for {
		quiet := time.Since(time.Unix(0, max(started.UnixNano(), n.lastAttempt.Load())))
		if quiet >= lingerQuiet || time.Since(started) >= lingerMax || !sleep(ctx, lingerQuiet-quiet) {
			return
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, callerhttp.ErrClosed) {
		return nil
	}
	return err
}

// callerLimits returns what the configuration in force allows callers to send.
func (n *Node) callerLimits() callerhttp.Limits {
	limits := n.directory.View().Doc.Limits
	return callerhttp.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes,
		HeaderTimeout:  time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		IdleTimeout:    time.Duration(limits.IdleTimeoutMs) * time.Millisecond,
	}
}

func (n *Node) reportPanic(reason any) {
	_ = level.Error(n.logger).Log("msg", "request handler failed", "reason", reason)
}
