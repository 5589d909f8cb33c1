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
	// live holds the settings that Reload may change.
	live   atomic.Pointer[settings.Control]
	logger log.Logger
	client *mesh.Client
	mesh   mesh.Config
	guard  *guard
	apiTLS *tls.Config
	log    *replica.Replica

	documents *document.Machine
	records   *claims.Machine
	burn      *slo.Machine
	collector *slo.Collector

	registry   *membership.Registry
	exchange   *membership.Exchange
	distribute *distribute.Server
	claims     *claimService

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
	permissions := newGuard(config.TLS != nil, logger)
	config.DialsControl = true
	config.PeerRefused = permissions.report
	c := &Control{
		settings:  s,
		options:   options,
		logger:    logger,
		client:    mesh.NewClient(config),
		mesh:      config,
		guard:     permissions,
		apiTLS:    apiTLS,
		documents: document.NewMachine(),
		records:   claims.NewMachine(),
		burn:      slo.NewMachine(),
		collector: slo.NewCollector(),
		registry:  membership.NewRegistry(),
	}
	c.live.Store(s)
	if err := checkFirstDocument(s.BootstrapDocument); err != nil {
		return nil, err
	}
	if err := c.listen(); err != nil {
		return nil, err
	}
	if err := c.openLog(); err != nil {
		c.closeListeners()
		return nil, err
	}
	source := documentSource{machine: c.documents, proposer: c.log}
	c.distribute = distribute.NewServer(source, c.registry, c.collectCounts, c.logger)
	c.distribute.SetMembers(c.memberAddresses)
	c.exchange = c.newExchange()
	c.claims = &claimService{proposer: c.part(sectionClaims), documents: c.documents}
	return c, nil
}

// openLog opens the log in the data folder. It forms or joins the cluster in the
// background once the mesh listener is served.
func (c *Control) openLog() error {
	var err error
	c.log, err = replica.Open(replica.Options{
		DataDir:   c.settings.DataDir,
		Address:   c.settings.MeshAddress,
		Bootstrap: c.settings.Bootstrap,
		Join:      c.settings.Join,
		Machine:   c.machine(),
		Mesh:      c.client,
		Logger:    c.logger,
	})
	return errors.WithMessage(err, "control")
}

func (c *Control) machine() *machine {
	return newMachine(map[section]replica.StateMachine{
		sectionDocument: c.documents,
		sectionClaims:   c.records,
		sectionBurn:     c.burn,
	})
}

// part returns a proposer of commands for one part of the state.
func (c *Control) part(name section) replica.Proposer {
	return sectionProposer{c.log, name}
}

// memberAddresses returns the mesh addresses of the members of the log.
func (c *Control) memberAddresses() []string {
	members := c.log.Status().Members
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
	streams := mesh.NewServer(c.mesh, c.serveStream)
	operators := api.NewServer(handler, c.apiTLS)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return streams.Serve(groupCtx, c.meshListener) })
	group.Go(func() error { return api.Serve(operators, c.apiListener) })
	for _, duty := range c.duties() {
		group.Go(func() error { duty(groupCtx); return nil })
	}
	group.Go(func() error { return c.watchLog(groupCtx) })
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
	c.live.Store(s)
	c.log.SetJoin(s.Join)
	return c.settings.FixedDifferences(s)
}

// watchLog returns an error when the log has failed. A member whose disk fails
// stops, since it can no longer keep its promises.
func (c *Control) watchLog(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.log.Failed():
		return errors.WithMessage(c.log.Err(), "control")
	}
}

// duties returns what a member does until its context ends.
func (c *Control) duties() []func(ctx context.Context) {
	duties := []func(ctx context.Context){
		c.keepRegistry,
		c.watchQuorum,
		c.distribute.Run,
		c.exchange.Run,
		func(ctx context.Context) { c.collector.Run(ctx, c.part(sectionBurn), c.logger) },
		newLostNodes(c.registry, c.part(sectionClaims), c.logger).run,
	}
	if c.settings.BootstrapDocument != "" {
		duties = append(duties, c.proposeFirstDocument)
	}
	return duties
}

// stop finishes the requests of operators, hands leadership over and closes the
// connections, in this order.
func (c *Control) stop(operators *http.Server, streams *mesh.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.live.Load().StopTimeoutMs)*time.Millisecond)
	defer cancel()
	_ = level.Info(c.logger).Log("msg", "control member is stopping", "timeout_ms", c.live.Load().StopTimeoutMs)
	err := operators.Shutdown(ctx)
	// Leadership is handed over while the streams to the other members are open.
	if closeErr := c.log.Close(); err == nil {
		err = closeErr
	}
	c.closeListeners()
	streams.Close()
	c.client.Close()
	return errors.Wrap(err, "control: stop")
}
