// Package control assembles a control member from the replicated log and its state
// machines, the operators' API, the registry of nodes and the distribution of
// configuration to nodes.
package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/claims"
	"github.com/chicorylever/chicorylever/internal/state/document"
	"github.com/chicorylever/chicorylever/internal/state/slo"
	"github.com/chicorylever/chicorylever/internal/transport/httplisten"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// Options customize a member for a deployment. The zero value serves the operators' API
// of package api unchanged.
type Options struct {
	// API, if not nil, returns the handler to serve instead of next, which is the
	// operators' API.
	API func(operations *api.Operations, next http.Handler, logger log.Logger) http.Handler
	// DroppedLogLines returns the number of log lines that the process has dropped; nil stands
	// for none.
	DroppedLogLines func() uint64
}

// Control is one control member.
type Control struct {
	settings *settings.Control
	options  Options
	// currentSettings holds the settings of the last Reload, initially those of New, for
	// the settings that take effect without a restart.
	currentSettings atomic.Pointer[settings.Control]
	logger          log.Logger
	meshClient      *mesh.Client
	meshConfig      mesh.Config
	authorizer      *authorizer
	apiTLS          *tls.Config
	replicatedLog   *replica.Replica

	documentMachine *document.Machine
	claimMachine    *claims.Machine
	burnMachine     *slo.Machine
	burnCollector   *slo.Collector
	rolloutDriver   *rolloutDriver

	registry      *membership.Registry
	leaseExchange *membership.Exchange
	distributor   *distribute.Server
	claimService  *claimService
	quotas        *quotaService

	meshListener net.Listener
	apiListener  net.Listener
	memory       *memory
}

// New opens the listeners of a member and the replicated log in its data directory.
func New(s *settings.Control, logger log.Logger, options Options) (*Control, error) {
	if options.DroppedLogLines == nil {
		options.DroppedLogLines = func() uint64 { return 0 }
	}
	config, err := mesh.Configure(s.ID, s.TLSCert, s.TLSKey, s.TLSCA)
	if err != nil {
		return nil, &settings.Error{File: "settings", Field: "tls", Problem: err.Error()}
	}
	if !config.PermitsControl() {
		problem := "the certificate lacks the organizational unit " + mesh.ControlUnit
		return nil, &settings.Error{File: "settings", Field: "tls_cert", Problem: problem}
	}
	apiTLS, err := loadAPITLS(s)
	if err != nil {
		return nil, &settings.Error{File: "settings", Field: "api_tls", Problem: err.Error()}
	}
	logger = log.With(logger, "member", s.ID)
	messageAuthorizer := newAuthorizer(config.TLS != nil, logger)
	config.RequireControlServer = true
	limits := newMemory(s)
	config.Ledger = limits.mesh
	config.OnServerRefused = messageAuthorizer.logRefusal
	c := &Control{
		settings:        s,
		options:         options,
		logger:          logger,
		meshClient:      mesh.NewClient(config),
		meshConfig:      config,
		authorizer:      messageAuthorizer,
		memory:          limits,
		apiTLS:          apiTLS,
		documentMachine: document.NewMachine(),
		claimMachine:    claims.NewMachine(),
		burnMachine:     slo.NewMachine(),
		burnCollector:   slo.NewCollector(),
		registry:        membership.NewRegistry(),
	}
	c.documentMachine.SetRolloutPolicy(rollout.Advance)
	c.currentSettings.Store(s)
	if err := checkBootstrapDocument(s.BootstrapDocument); err != nil {
		return nil, err
	}
	if err := c.listen(); err != nil {
		return nil, err
	}
	if err := c.openReplicatedLog(); err != nil {
		c.closeListeners()
		return nil, err
	}
	rollback := time.Duration(s.RollbackMs) * time.Millisecond
	c.rolloutDriver = newRolloutDriver(c.documentMachine, c.registry, c.proposerFor(componentDocument), rollback, logger)
	source := &documentSource{machine: c.documentMachine, proposer: c.replicatedLog}
	c.distributor = distribute.NewServer(source, c.registry, c.collectCounts, c.logger)
	c.distributor.SetMembers(c.memberAddresses)
	c.quotas = c.newQuotaService()
	c.distributor.SetQuotas(c.quotas.collector)
	c.leaseExchange = c.newLeaseExchange()
	c.claimService = &claimService{proposer: c.proposerFor(componentClaims), documentMachine: c.documentMachine}
	return c, nil
}

// openReplicatedLog opens the log in the data directory. In the background the log
// creates or joins a cluster, which needs the mesh listener to be served.
func (c *Control) openReplicatedLog() error {
	var err error
	c.replicatedLog, err = replica.Open(replica.Options{
		DataDir:       c.settings.DataDir,
		Address:       c.settings.MeshAddress,
		Bootstrap:     c.settings.Bootstrap,
		JoinAddresses: c.settings.Join,
		TargetVoters:  2*c.settings.ToleratedLosses + 1,
		StateMachine:  c.newStateMachine(),
		Mesh:          c.meshClient,
		Logger:        c.logger,
	})
	return errors.WithMessage(err, "control")
}

func (c *Control) newStateMachine() *compositeMachine {
	return newCompositeMachine(map[componentID]replica.StateMachine{
		componentDocument: c.documentMachine,
		componentClaims:   c.claimMachine,
		componentBurn:     c.burnMachine,
	})
}

// proposerFor returns a proposer of commands for one component of the replicated state.
func (c *Control) proposerFor(id componentID) replica.Proposer {
	return componentProposer{c.replicatedLog, id}
}

// memberAddresses returns the mesh addresses of all control members.
func (c *Control) memberAddresses() []string {
	members := c.replicatedLog.Status().Members
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
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

func (c *Control) closeListeners() {
	_ = c.meshListener.Close()
	_ = c.apiListener.Close()
}

// APIAddress returns the address on which the operators' API listens.
func (c *Control) APIAddress() string { return c.apiListener.Addr().String() }

// MeshAddress returns the address on which nodes and other members connect.
func (c *Control) MeshAddress() string { return c.meshListener.Addr().String() }

// Run serves until ctx ends, then stops gracefully.
func (c *Control) Run(ctx context.Context) error {
	handler, err := c.apiHandler()
	if err != nil {
		return err
	}
	meshServer := mesh.NewServer(c.meshConfig, c.serveStream)
	apiServer := api.NewServer(httplisten.CountBodies(handler), c.apiTLS)
	apiListener := httplisten.Guard(apiServer, c.apiListener, c.memory.api)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return meshServer.Serve(groupCtx, c.meshListener) })
	group.Go(func() error { return api.Serve(apiServer, apiListener) })
	for _, task := range c.backgroundTasks() {
		group.Go(func() error { task(groupCtx); return nil })
	}
	group.Go(func() error { return c.waitForLogFailure(groupCtx) })
	group.Go(func() error {
		<-groupCtx.Done()
		return c.stop(apiServer, meshServer)
	})
	_ = level.Info(c.logger).Log("msg", "control member started", "mesh", c.MeshAddress(), "api", c.APIAddress())
	err = group.Wait()
	_ = level.Info(c.logger).Log("msg", "control member stopped", "err", err)
	return err
}

// Reload applies the stop timeout and the addresses to join. Other settings need a
// restart; Reload returns the names of those that differ.
func (c *Control) Reload(s *settings.Control) []string {
	c.currentSettings.Store(s)
	c.memory.reload(s)
	c.replicatedLog.SetJoinAddresses(s.Join)
	return c.settings.ChangesNeedingRestart(s)
}

// waitForLogFailure returns an error when the replicated log fails and nil when ctx ends.
// A member whose disk fails has to stop, because it can no longer guarantee that what it
// acknowledged is durable.
func (c *Control) waitForLogFailure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.replicatedLog.Failed():
		return errors.WithMessage(c.replicatedLog.Err(), "control")
	}
}

// backgroundTasks returns the functions that a member runs until their context ends.
func (c *Control) backgroundTasks() []func(ctx context.Context) {
	tasks := []func(ctx context.Context){
		c.expireLeases,
		c.watchQuorum,
		c.watchMemory,
		c.distributor.Run,
		c.leaseExchange.Run,
		c.rolloutDriver.run,
		c.quotas.run,
		func(ctx context.Context) { c.burnCollector.Run(ctx, c.proposerFor(componentBurn), c.logger) },
		newLostNodeDetector(c.registry, c.proposerFor(componentClaims), c.logger).run,
	}
	if c.settings.BootstrapDocument != "" {
		tasks = append(tasks, c.bootstrapUntilDocumentExists)
	}
	return tasks
}

// stop finishes the requests to the operators' API, closes the replicated log, which
// transfers the leadership, and closes the connections, in this order.
func (c *Control) stop(apiServer *http.Server, meshServer *mesh.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.currentSettings.Load().StopTimeoutMs)*time.Millisecond)
	defer cancel()
	_ = level.Info(c.logger).Log("msg", "control member is stopping", "timeout_ms", c.currentSettings.Load().StopTimeoutMs)
	err := apiServer.Shutdown(ctx)
	// The leadership transfer needs the open streams to the other members.
	if closeErr := c.replicatedLog.Close(); err == nil {
		err = closeErr
	}
	c.closeListeners()
	meshServer.Close()
	c.meshClient.Close()
	return errors.Wrap(err, "control: stop")
}
