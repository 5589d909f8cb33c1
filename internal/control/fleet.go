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
	"github.com/chicorylever/chicorylever/internal/state/document"
	"github.com/chicorylever/chicorylever/internal/state/slo"
)

const (
	// inForcePollInterval is the interval at which WaitInForce checks which revisions the
	// nodes have acknowledged.
	inForcePollInterval = 100 * time.Millisecond
	// maxLaggingNames bounds the names of lagging nodes in a response.
	maxLaggingNames = 20
)

// fleet implements api.Fleet from the state of a control member.
type fleet Control

// Status returns the nodes with a lease and the upstreams that they announced.
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

// WaitInForce returns once every node has the revision or a later one, or when ctx
// ends, with the latest state.
func (f *fleet) WaitInForce(ctx context.Context, revision uint64) api.InForce {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		progress := f.inForce(revision)
		if progress.InForce {
			return progress
		}
		select {
		case <-ctx.Done():
			return progress
		case <-ticker.C:
		}
	}
}

// inForce counts the nodes that have not acknowledged the revision or a later one.
func (f *fleet) inForce(revision uint64) api.InForce {
	progress := api.InForce{Revision: revision, Stale: f.registry.Status(time.Now()).Stale}
	for _, lease := range f.registry.Nodes() {
		progress.Nodes++
		if lease.GetRevision() >= revision {
			continue
		}
		progress.Lagging++
		if len(progress.LaggingNodes) < maxLaggingNames {
			progress.LaggingNodes = append(progress.LaggingNodes, lease.GetNodeId())
		}
	}
	progress.InForce = progress.Lagging == 0
	return progress
}

// rolloutTerms returns the limits of the rollouts that are started through this member.
func (c *Control) rolloutTerms() document.RolloutTerms {
	permille := max(1, int(c.settings.RolloutShare*1000))
	return document.RolloutTerms{SharePermille: permille, Slack: c.settings.RolloutSlack}
}

// loadAPITLS returns the TLS configuration of the operators' API, or nil if the settings
// name no certificate.
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

// membershipChanger implements api.Membership on the replicated log.
type membershipChanger struct{ replicatedLog *replica.Replica }

// AddMember adds a learner, which is promoted to a voter once it has caught up.
func (m membershipChanger) AddMember(ctx context.Context, member replica.Member) error {
	return m.replicatedLog.AddMember(ctx, member.ID, member.Address)
}

// RemoveMember removes a voter or learner.
func (m membershipChanger) RemoveMember(ctx context.Context, id uint64) error {
	return m.replicatedLog.RemoveMember(ctx, id)
}

// apiHandler returns the handler of the operators' API, wrapped by Options.API if set.
func (c *Control) apiHandler() (http.Handler, error) {
	handler, err := api.New(api.Config{
		Proposer:   c.proposerFor(componentDocument),
		Documents:  c.documentMachine,
		Fleet:      (*fleet)(c),
		Membership: membershipChanger{c.replicatedLog},
		Burn:       slo.NewHandler(c.burnMachine, c.objectives, time.Now),
		Metrics:    c.metricsHandler(),
		Logger:     c.logger,

		RolloutTerms: c.rolloutTerms(),
	})
	if err != nil || c.options.API == nil {
		return handler, err
	}
	operations := api.NewOperations(c.proposerFor(componentDocument), c.documentMachine, time.Now, c.rolloutTerms())
	return c.options.API(operations, handler, c.logger), nil
}
