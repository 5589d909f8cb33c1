package distribute

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// QuotaReporter supplies the quota reports of a node. Its methods are called from one
// goroutine.
type QuotaReporter interface {
	// Connect is called before the first report on a new stream.
	Connect(now time.Time)
	// Report returns the next report, or nil if there is nothing to send.
	Report(now time.Time) *wire.QuotaReport
	// Apply takes the answer to a report.
	Apply(now time.Time, grant *wire.QuotaGrant)
}

// SetQuotas makes the node send quota reports. It must be called before Run.
func (c *Client) SetQuotas(quotas QuotaReporter) { c.quotas = quotas }

func (s *session) connectQuotas() {
	if s.client.quotas != nil {
		s.client.quotas.Connect(time.Now())
	}
}

// sendQuotaReport sends the next quota report if there is one. Before the first state the
// node does not know whether the member understands it.
func (s *session) sendQuotaReport(now time.Time) error {
	if s.client.quotas == nil || !s.hasState {
		return nil
	}
	report := s.client.quotas.Report(now)
	if report == nil {
		return nil
	}
	return s.conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: report}})
}

func (s *session) applyQuotaGrant(grant *wire.QuotaGrant) {
	if s.client.quotas != nil {
		s.client.quotas.Apply(time.Now(), grant)
	}
}

// QuotaCollector takes the quota reports of the nodes of a member. Its methods must not
// block.
type QuotaCollector interface {
	Observe(now time.Time, report *wire.QuotaReport)
	// Grant returns the answer to the report of a node with the sequence.
	Grant(now time.Time, node string, sequence uint64) *wire.QuotaGrant
	// Stopped is called when a node stops gracefully.
	Stopped(node string)
}

// SetQuotas sets what takes the quota reports of the nodes. It must be called before
// ServeStream.
func (s *Server) SetQuotas(quotas QuotaCollector) { s.quotas = quotas }

// handleQuotaReport passes on the report of a node, which is answered by the writer of the
// subscription. Only the sequence of the last report is kept until then.
func (s *Server) handleQuotaReport(sub *subscription, report *wire.QuotaReport) error {
	if report.GetSender() != sub.node() {
		return errors.WithMessage(frame.ErrUnexpected, "quota report of another node than the one that subscribed")
	}
	if s.quotas == nil {
		return nil
	}
	s.quotas.Observe(time.Now(), report)
	sub.mu.Lock()
	sub.grantSequence, sub.grantDue = report.GetSequence(), true
	sub.mu.Unlock()
	sub.signalWriter()
	return nil
}

func (s *subscription) node() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodeID
}

// sendGrant answers the last quota report.
func (s *subscription) sendGrant() error {
	s.mu.Lock()
	due, node, sequence := s.grantDue, s.nodeID, s.grantSequence
	s.grantDue = false
	s.mu.Unlock()
	if !due {
		return nil
	}
	grant := s.server.quotas.Grant(time.Now(), node, sequence)
	return s.conn.Send(&wire.Envelope{Body: &wire.Envelope_QuotaGrant{QuotaGrant: grant}})
}
