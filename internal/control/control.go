// Package control assembles a control member: the replicated state, the
// operators' API, membership and distribution.
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
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/claims"
	"github.com/chicorylever/chicorylever/internal/state/document"
	"github.com/chicorylever/chicorylever/internal/state/slo"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// Options adapt a member to a deployment. The zero value is the project's own interface.
type Options struct {
	// API returns a handler in front of the operators' API, which is next.
	API func(operations *api.Operations, next http.Handler, logger log.Logger) http.Handler
}

// Control is one control member.
type Control struct {
	settings *settings.Control
	options  Options
	// reloadedSettings holds the settings that Reload may change.
	reloadedSettings atomic.Pointer[settings.Control]
	logger           log.Logger
	meshClient       *mesh.Client
	meshConfig       mesh.Config
	authorizer       *authorizer
	apiTLS           *tls.Config
	replicatedLog    *replica.Replica

	documentMachine *document.Machine
	claimMachine    *claims.Machine
	burnMachine     *slo.Machine
	burnCollector   *slo.Collector

	registry      *membership.Registry
	leaseExchange *membership.Exchange
	distributor   *distribute.Server
	claimService  *claimService

	meshListener net.Listener
	apiListener  net.Listener
}

// New opens the listeners and the state of a member.
func New(s *settings.Control, logger log.Logger, options Options) (*Control, error) {
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
	permissions := newAuthorizer(config.TLS != nil, logger)
	config.DialsControl = true
	config.PeerRefused = permissions.logRefusal
	c := &Control{
		settings:        s,
		options:         options,
		logger:          logger,
		meshClient:      mesh.NewClient(config),
		meshConfig:      config,
		authorizer:      permissions,
		apiTLS:          apiTLS,
		documentMachine: document.NewMachine(),
		claimMachine:    claims.NewMachine(),
		burnMachine:     slo.NewMachine(),
		burnCollector:   slo.NewCollector(),
		registry:        membership.NewRegistry(),
	}
	c.reloadedSettings.Store(s)
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
	source := documentSource{machine: c.documentMachine, proposer: c.replicatedLog}
	c.distributor = distribute.NewServer(source, c.registry, c.collectCounts, c.logger)
	c.distributor.SetMembers(c.memberAddresses)
	c.leaseExchange = c.newLeaseExchange()
	c.claimService = &claimService{proposer: c.proposerFor(componentClaims), documents: c.documentMachine}
	return c, nil
}

// openReplicatedLog opens the log in the data folder. It forms or joins the cluster in the
// background once the mesh listener is served.
func (c *Control) openReplicatedLog() error {
	var err error
	c.replicatedLog, err = replica.Open(replica.Options{
		DataDir:   c.settings.DataDir,
		Address:   c.settings.MeshAddress,
		Bootstrap: c.settings.Bootstrap,
		Join:      c.settings.Join,
		Machine:   c.newStateMachine(),
		Mesh:      c.meshClient,
		Logger:    c.logger,
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

// proposerFor returns a proposer of commands for one proposerFor of the state.
func (c *Control) proposerFor(name componentID) replica.Proposer {
	return componentProposer{c.replicatedLog, name}
}

// memberAddresses returns the mesh addresses of the members of the log.
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

// APIAddress returns the address of the operators' API.
func (c *Control) APIAddress() string { return c.apiListener.Addr().String() }

// MeshAddress returns the address for nodes and other members.
func (c *Control) MeshAddress() string { return c.meshListener.Addr().String() }

// Run serves until ctx ends, then stops gracefully.
func (c *Control) Run(ctx context.Context) error {
	handler, err := c.apiHandler()
	if err != nil {
		return err
	}
	streams := mesh.NewServer(c.meshConfig, c.serveStream)
	operators := api.NewServer(handler, c.apiTLS)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return streams.Serve(groupCtx, c.meshListener) })
	group.Go(func() error { return api.Serve(operators, c.apiListener) })
	for _, duty := range c.backgroundTasks() {
		group.Go(func() error { duty(groupCtx); return nil })
	}
	group.Go(func() error { return c.waitForLogFailure(groupCtx) })
	group.Go(func() error {
		<-groupCtx.Done()
		return c.stop(operators, streams)
	})
	_ = level.Info(c.logger).Log("msg", "control member started", "mesh", c.MeshAddress(), "api", c.APIAddress())
	err = group.Wait()
	_ = level.Info(c.logger).Log("msg", "control member stopped", "err", err)
	return err
}

// Reload takes the stop timeout and the members to join. Other settings need a restart;
// the result names those that differ.
func (c *Control) Reload(s *settings.Control) []string {
	c.reloadedSettings.Store(s)
	c.replicatedLog.SetJoin(s.Join)
	return c.settings.FixedDifferences(s)
}

// waitForLogFailure returns an error when the log has failed. A member whose disk fails
// stops, since it can no longer keep its promises.
func (c *Control) waitForLogFailure(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.replicatedLog.Failed():
		return errors.WithMessage(c.replicatedLog.Err(), "control")
	}
}

// backgroundTasks returns what a member does until its context ends.
func (c *Control) backgroundTasks() []func(ctx context.Context) {
	duties := []func(ctx context.Context){
		c.expireLeases,
		c.watchQuorum,
		c.distributor.Run,
		c.leaseExchange.Run,
		func(ctx context.Context) { c.burnCollector.Run(ctx, c.proposerFor(componentBurn), c.logger) },
		newLostNodeDetector(c.registry, c.proposerFor(componentClaims), c.logger).run,
	}
	if c.settings.BootstrapDocument != "" {
		duties = append(duties, c.bootstrapUntilDocumentExists)
	}
	return duties
}

// stop finishes the requests of operators, hands leadership over and closes the
// connections, in this order.
func (c *Control) stop(operators *http.Server, streams *mesh.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.reloadedSettings.Load().StopTimeoutMs)*time.Millisecond)
	defer cancel()
	_ = level.Info(c.logger).Log("msg", "control member is stopping", "timeout_ms", c.reloadedSettings.Load().StopTimeoutMs)
	err := operators.Shutdown(ctx)
	// Leadership is handed over while the streams to the other members are open.
	if closeErr := c.replicatedLog.Close(); err == nil {
		err = closeErr
	}
	c.closeListeners()
	streams.Close()
	c.meshClient.Close()
	return errors.Wrap(err, "control: stop")
}
