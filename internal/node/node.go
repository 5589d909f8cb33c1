// Package node implements the process beside each upstream: the entry node of callers'
// requests, and the only sender of requests to its own upstream.
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
	"github.com/chicorylever/chicorylever/internal/node/suspension"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/transport/callerhttp"
	"github.com/chicorylever/chicorylever/internal/transport/datagram"
	"github.com/chicorylever/chicorylever/internal/transport/httplisten"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// maxAdminHeaderBytes bounds the head of a request to the admin address.
	maxAdminHeaderBytes = 16 << 10

	// refusalQuietPeriod is the time without an attempt after which a stopping node closes
	// its connections. Control's next difference reaches the entry nodes in about 60 ms.
	refusalQuietPeriod = 300 * time.Millisecond
	// maxRefusalPeriod bounds the wait for a quiet period, since entry nodes that are
	// disconnected from control keep sending attempts.
	maxRefusalPeriod = 3 * time.Second
	// refusalLogInterval is the minimum interval between log lines about refused control
	// members, and between those about rejected announcements.
	refusalLogInterval = 10 * time.Second
)

// Options adapt a node to a deployment. The zero value selects the project's own HTTP
// interface.
type Options struct {
	// Dialect defines the headers exchanged with callers and upstreams; nil selects the
	// project's own.
	Dialect *httpapi.Dialect
	// LocalRoutes adds routes to the listener for the upstream. They take precedence over
	// the project's own.
	LocalRoutes func(n *Node, router *mux.Router)
	// RoutesOnly makes routes the only way to reach a service: a request that no route
	// matches gets 404. Otherwise a request may also name its service by path or host.
	RoutesOnly bool
	// DroppedLogLines returns the number of log lines that the process has dropped; nil stands
	// for none.
	DroppedLogLines func() uint64
}

// Node is a node process.
type Node struct {
	// settings are those at the start of the process.
	settings *settings.Node
	// liveSettings are the settings of the last Reload, initially those at the start; only
	// those that need no restart are read from it.
	liveSettings atomic.Pointer[settings.Node]
	subscription *distribute.Client
	options      Options
	dialect      *httpapi.Dialect
	// systemRequestHeaders are the dialect's request headers that only nodes set,
	// upstreamOnlyHeaders its response headers for the node beside the upstream. Neither
	// kind is forwarded.
	systemRequestHeaders map[string]bool
	upstreamOnlyHeaders  map[string]bool
	logger               log.Logger
	// rejectionLogger is rate-limited, for announcements that describe no instance.
	rejectionLogger log.Logger
	// keyLogger is rate-limited, for requests that are refused for their key.
	keyLogger      log.Logger
	startedAtNs    uint64
	directory      *directory.Directory
	upstream       *upstream
	balancer       *balancer
	entryQuotas    *quotas
	metrics        *nodeMetrics
	memory         *memory
	settler        *claimSettler
	suspension     suspension.Detector
	splitter       trafficSplitter
	versionChooser versionChooser
	evidence       versionEvidence
	stopping       atomic.Bool
	// announcedSequence is the sequence number of the first heartbeat that reports the
	// announced start of the upstream.
	announcedSequence atomic.Uint64
	// lastAttempt is the arrival time of the last attempt in Unix nanoseconds.
	lastAttempt atomic.Int64
	client      *mesh.Client
	// quotes exchanges the state of upstreams with other nodes; nil with TLS, since
	// datagrams are not authenticated.
	quotes *datagram.Peer
	server *mesh.Server
	// localAttempts counts the attempts of this entry node at its own upstream, which need
	// no mesh connection.
	localAttempts sync.WaitGroup

	entryListener net.Listener
	localListener net.Listener
	meshListener  net.Listener
	adminListener net.Listener
}

// New returns a node whose listeners are open. Run serves them.
func New(s *settings.Node, logger log.Logger, options Options) (*Node, error) {
	config, err := mesh.Configure(s.ID, s.TLSCert, s.TLSKey, s.TLSCA)
	if err != nil {
		return nil, &settings.Error{File: "settings", Field: "tls", Problem: err.Error()}
	}
	if options.Dialect == nil {
		options.Dialect = httpapi.DefaultDialect()
	}
	if options.DroppedLogLines == nil {
		options.DroppedLogLines = func() uint64 { return 0 }
	}
	refusalLogger := obs.RateLimit(level.Warn(log.With(logger, "node", s.ID)), refusalLogInterval)
	config.OnServerRefused = func(err *mesh.PermissionError) {
		_ = refusalLogger.Log("msg", "control member refused", "peer", err.Peer.Name, "err", err)
	}
	limits := newMemory(s)
	config.Ledger = limits.mesh
	n := &Node{
		settings:             s,
		options:              options,
		dialect:              options.Dialect,
		systemRequestHeaders: options.Dialect.SystemRequestHeaders(),
		upstreamOnlyHeaders:  options.Dialect.UpstreamOnlyHeaders(),
		splitter:             newTrafficSplitter(),
		versionChooser:       newVersionChooser(),
		logger:               log.With(logger, "node", s.ID),
		rejectionLogger:      obs.RateLimit(level.Warn(log.With(logger, "node", s.ID)), refusalLogInterval),
		keyLogger:            obs.RateLimit(level.Warn(log.With(logger, "node", s.ID)), keyRefusalLogInterval),
		startedAtNs:          uint64(time.Now().UnixNano()), //nolint:gosec // positive since 1970
		metrics:              newNodeMetrics(),
		memory:               limits,
		client:               mesh.NewClient(config),
	}
	n.upstream = newUpstream(n.dialect, admission.ColdTolerance{Factor: s.ColdFactor, Slack: s.ColdSlack}, n.logger)
	n.directory = directory.New(n.fetchRevision)
	n.directory.OnRevision(n.logRevision)
	n.upstream.onDeparture = n.directory.RequestHeartbeat
	n.liveSettings.Store(s)
	n.subscription = distribute.NewClient(s.ID, s.Control, n.dialControl, (*controlSink)(n), n.logger)
	n.entryQuotas = newQuotas(n, s)
	n.subscription.SetQuotas(n.entryQuotas)
	clusterLimit := budget.Limit{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: time.Duration(s.RetryWindowS * float64(time.Second))}
	n.balancer = newBalancer(s.Zone, clusterLimit, func(instance string) {
		n.metrics.ejections.Inc()
		_ = level.Warn(n.logger).Log("msg", "instance ejected", "instance", instance)
	})
	n.settler = newClaimSettler(newMeshClaimer(n.client, n.subscription.Members))
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

// listenQuotes opens the socket for quotes. Without it the node selects instances by the
// load reports in responses.
func (n *Node) listenQuotes() {
	quotes, err := datagram.Listen(n.meshListener.Addr().String())
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "quotes disabled: cannot listen for datagrams", "err", err)
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

// Run serves requests until ctx ends, then finishes accepted requests and stops.
func (n *Node) Run(ctx context.Context) error {
	entry := callerhttp.NewServer(http.HandlerFunc(n.handleCall), n.callerLimits, n.logPanic)
	entry.LimitMemory(n.memory.callers, n.refuseForMemory)
	local := httplisten.NewServer(httplisten.StrictResponses(n.localRoutes()))
	localListener := httplisten.Guard(local, n.localListener, n.memory.local)
	admin := httplisten.NewServer(n.adminRoutes())
	admin.MaxHeaderBytes = maxAdminHeaderBytes
	adminListener := httplisten.Guard(admin, n.adminListener, n.memory.admin)
	group, groupCtx := errgroup.WithContext(ctx)
	// The services that accepted requests need keep running until these have finished.
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group.Go(func() error { return ignoreClosed(entry.Serve(n.entryListener)) })
	group.Go(func() error { return ignoreClosed(local.Serve(localListener)) })
	group.Go(func() error { return ignoreClosed(admin.Serve(adminListener)) })
	group.Go(func() error { return n.server.Serve(backgroundCtx, n.meshListener) })
	controlCtx, stopControl := context.WithCancel(backgroundCtx)
	defer stopControl()
	controlDone := make(chan struct{})
	group.Go(func() error {
		defer close(controlDone)
		n.runSubscription(controlCtx)
		return nil
	})
	if n.quotes != nil {
		group.Go(func() error { n.quotes.Serve(n.answerQuote); return nil })
	}
	group.Go(func() error { n.watchState(backgroundCtx); return nil })
	group.Go(func() error { n.watchMemory(backgroundCtx); return nil })
	group.Go(func() error { n.suspension.Run(backgroundCtx); return nil })
	group.Go(func() error { n.discoverUpstream(controlCtx); return nil })
	group.Go(func() error {
		<-groupCtx.Done()
		defer stopBackground()
		return n.stop(func() { stopControl(); <-controlDone }, entry, local, admin)
	})
	_ = level.Info(n.logger).Log("msg", "node started", "entry", n.EntryAddress(), "local", n.LocalAddress())
	err := group.Wait()
	_ = level.Info(n.logger).Log("msg", "node stopped", "err", err)
	return err
}

func (n *Node) runSubscription(ctx context.Context) {
	n.subscription.Run(ctx)
}

func (n *Node) dialControl(ctx context.Context, address string) (net.Conn, error) {
	return n.client.Open(ctx, address, mesh.Control)
}

// Reload applies changed settings of control members, service and stop times. Other
// settings need a restart; the result names those that differ.
func (n *Node) Reload(s *settings.Node) []string {
	n.subscription.SetMembers(s.Control)
	n.liveSettings.Store(s)
	n.memory.reload(s)
	return n.settings.ChangesNeedingRestart(s)
}

// stop finishes accepted requests of callers and of other entry nodes and closes all
// connections and listeners. During the stop delay the node still accepts requests of callers, and the
// upstream gets new work until admissionStopLead before the end of the delay. Entry nodes
// learn of the stop from refusals and from control; leaveControl reports it to control over
// connections that are still open.
func (n *Node) stop(leaveControl func(), entry *callerhttp.Server, local, admin *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.liveSettings.Load().StopTimeoutMs)*time.Millisecond)
	defer cancel()
	n.stopping.Store(true)
	_ = level.Info(n.logger).Log("msg", "node is stopping", "delay_ms", n.liveSettings.Load().StopDelayMs, "timeout_ms", n.liveSettings.Load().StopTimeoutMs)
	entry.Drain()
	delay := time.Duration(n.liveSettings.Load().StopDelayMs) * time.Millisecond
	sleep(ctx, delay-admissionStopLead)
	n.upstream.gate.Stop()
	n.directory.RequestHeartbeat()
	sleep(ctx, min(delay, admissionStopLead))
	_ = n.entryListener.Close()
	firstErr := errors.Wrap(entry.Shutdown(ctx), "node: finish callers' requests")
	leaveControl()
	n.refuseUntilQuiet(ctx)
	if err := n.server.Drain(ctx); err != nil && firstErr == nil {
		firstErr = errors.Wrap(err, "node: finish requests of other entry nodes")
	}
	for _, server := range []*http.Server{local, admin} {
		if err := server.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "node: shut down local and admin servers")
		}
	}
	n.settler.close(ctx)
	n.closeListeners()
	if n.quotes != nil {
		n.quotes.Close()
	}
	n.server.Close()
	n.client.Close()
	n.localAttempts.Wait()
	return firstErr
}

// admissionStopLead is the time before the end of the stop delay at which the node stops
// admitting requests to its upstream. Entry nodes learn of the stop within this time;
// admitted requests may use the rest of the stop timeout.
const admissionStopLead = 300 * time.Millisecond

// refuseUntilQuiet keeps refusing attempts until none has arrived for refusalQuietPeriod.
// Entry nodes that have not learned of the stop yet thus get "not run" instead of a closed
// connection, after which the outcome is unknown.
func (n *Node) refuseUntilQuiet(ctx context.Context) {
	started := time.Now()
	for {
		quiet := time.Since(time.Unix(0, max(started.UnixNano(), n.lastAttempt.Load())))
		if quiet >= refusalQuietPeriod || time.Since(started) >= maxRefusalPeriod || !sleep(ctx, refusalQuietPeriod-quiet) {
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

// callerLimits returns the limits of the current configuration on callers' connections.
func (n *Node) callerLimits() callerhttp.Limits {
	limits := n.directory.View().Doc.Limits
	return callerhttp.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes,
		HeaderTimeout:  time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		IdleTimeout:    time.Duration(limits.IdleTimeoutMs) * time.Millisecond,
	}
}

func (n *Node) logPanic(reason any) {
	_ = level.Error(n.logger).Log("msg", "request handler panicked", "reason", reason)
}
