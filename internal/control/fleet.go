package control

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/slo"
)

const (
	// inForcePollInterval is the time between two looks at the acknowledged revisions.
	inForcePollInterval = 100 * time.Millisecond
	// maxLaggingNames bounds the names of lagging nodes in an answer.
	maxLaggingNames = 20
)

// fleet describes nodes and upstreams to the operators' API.
type fleet Control

// Status describes nodes and upstreams.
func (f *fleet) Status() api.FleetStatus {
	revision := f.documentMachine.View().Revision
	status := api.FleetStatus{Stale: f.registry.Status(time.Now()).Stale}
	for _, lease := range f.registry.Nodes() {
		status.Nodes = append(status.Nodes, api.Node{
			ID:       lease.GetNodeId(),
			Zone:     lease.GetZone(),
			Revision: lease.GetRevision(),
			Lagging:  lease.GetRevision() < revision,
		})
		if instance := lease.GetInstance(); instance != nil {
			status.Upstreams = append(status.Upstreams, api.Upstream{
				Instance: instance.GetId(),
				Service:  instance.GetService(),
				Zone:     instance.GetZone(),
				Node:     lease.GetNodeId(),
				State:    instanceStateName(instance.GetState()),
			})
		}
	}
	return status
}

func instanceStateName(state wire.InstanceState) string {
	switch state {
	case wire.InstanceState_INSTANCE_COLD:
		return "cold"
	case wire.InstanceState_INSTANCE_LEAVING:
		return "leaving"
	default:
		return "warm"
	}
}

// WaitInForce returns when every node has the revision or a later one, or when
// ctx ends.
func (f *fleet) WaitInForce(ctx context.Context, revision uint64) api.InForce {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		state := f.inForce(revision)
		if state.InForce {
			return state
		}
		select {
		case <-ctx.Done():
			return state
		case <-ticker.C:
		}
	}
}

// inForce compares the revisions that nodes have acknowledged with the asked one.
func (f *fleet) inForce(revision uint64) api.InForce {
	state := api.InForce{Revision: revision, Stale: f.registry.Status(time.Now()).Stale}
	for _, lease := range f.registry.Nodes() {
		state.Nodes++
		if lease.GetRevision() >= revision {
			continue
		}
		state.Lagging++
		if len(state.LaggingNodes) < maxLaggingNames {
			state.LaggingNodes = append(state.LaggingNodes, lease.GetNodeId())
		}
	}
	state.InForce = state.Lagging == 0
	return state
}

// loadAPITLS returns nil when the operators' API is served without TLS.
func loadAPITLS(s *settings.Control) (*tls.Config, error) {
	if s.APITLSCert == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.APITLSCert, s.APITLSKey)
	if err != nil {
		return nil, errors.Wrap(err, "api_tls_cert, api_tls_key")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// membershipChanger changes the membershipChanger of the log for the operators' API.
type membershipChanger struct{ replicatedLog *replica.Replica }

// AddMember adds a learner, which votes once it has caught up.
func (m membershipChanger) AddMember(ctx context.Context, member replica.Member) error {
	return m.replicatedLog.AddMember(ctx, member.ID, member.Address)
}

// RemoveMember removes a voter or learner.
func (m membershipChanger) RemoveMember(ctx context.Context, id uint64) error {
	return m.replicatedLog.RemoveMember(ctx, id)
}

// apiHandler joins the parts of the member to the operators' API.
func (c *Control) apiHandler() (http.Handler, error) {
	handler, err := api.New(api.Config{
		Proposer:   c.proposerFor(componentDocument),
		Documents:  c.documentMachine,
		Fleet:      (*fleet)(c),
		Membership: membershipChanger{c.replicatedLog},
		Burn:       slo.NewHandler(c.burnMachine, c.objectives, time.Now),
		Metrics:    c.metricsHandler(),
		Logger:     c.logger,
	})
	if err != nil || c.options.API == nil {
		return handler, err
	}
	operations := api.NewOperations(c.proposerFor(componentDocument), c.documentMachine, time.Now)
	return c.options.API(operations, handler, c.logger), nil
}
