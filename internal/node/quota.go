package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/organisation"
	"github.com/chicorylever/chicorylever/internal/coordination/quota"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/settings"
)

// quotas keeps this entry's part of the quotas of organisations.
type quotas struct {
	node     *Node
	meter    *quota.Meter
	refusals *quotaRefusals

	// Only the goroutine of the subscription uses the fields below.
	// sessions counts the streams to control; each has a higher start than the one before.
	sessions uint64
	// checkedIndex is the index for which hasRates holds.
	checkedIndex *organisation.Index
	hasRates     bool
}

func newQuotas(n *Node, s *settings.Node) *quotas {
	bound := quota.Bound{
		Window:  time.Duration(s.QuotaWindowS * float64(time.Second)),
		Overage: s.QuotaOverage,
		Slack:   s.QuotaSlack,
	}
	return &quotas{
		node:     n,
		meter:    quota.NewMeter(s.ID, bound, rand.Float64),
		refusals: newQuotaRefusals(n.logger),
	}
}

// Connect implements distribute.QuotaReporter.
func (q *quotas) Connect(now time.Time) {
	q.sessions++
	q.meter.Connect(now, q.node.startedAtNs+q.sessions)
}

// Report implements distribute.QuotaReporter. It returns nil while no organisation has a
// rate: members of an earlier version, whose documents have no rates, would end the stream.
func (q *quotas) Report(now time.Time) *wire.QuotaReport {
	view := q.node.directory.View()
	if view.Organisations != q.checkedIndex {
		q.checkedIndex, q.hasRates = view.Organisations, false
		for _, configured := range view.Doc.Organisations {
			q.hasRates = q.hasRates || configured.RatePerSecond > 0
		}
	}
	if !q.hasRates {
		return nil
	}
	return q.meter.Report(now)
}

// Apply implements distribute.QuotaReporter.
func (q *quotas) Apply(now time.Time, grant *wire.QuotaGrant) {
	q.refusals.grants.Inc()
	q.meter.Apply(now, grant)
}

// admit counts a call of an organisation with a rate against its quota. If the call is over
// the quota, admit responds to it and returns false. Nested calls carry no key and are not
// counted, nor are requests on public routes.
func (q *quotas) admit(w http.ResponseWriter, c *call) bool {
	if !c.hasKey {
		return true
	}
	configured, ok := c.view.Organisations.Get(c.organisation)
	if !ok || configured.RatePerSecond <= 0 {
		return true
	}
	now := time.Now()
	decision := q.meter.Admit(now, c.organisation, configured.RatePerSecond, configured.Burst)
	if decision.Admitted {
		c.usesQuota = true
		return true
	}
	q.refusals.record(now, c.organisation, configured.RatePerSecond, decision)
	q.node.writeRetryAfter(w, decision.RetryAfter)
	writeError(w, http.StatusTooManyRequests, httpapi.ErrorBody{
		Error:   "the organisation has used up its quota",
		Outcome: httpapi.OutcomeNotRun,
		Reason:  httpapi.ReasonName(wire.RefusalReason_REFUSAL_QUOTA),
	})
	return false
}

// finish returns the credit of a call that ended without having run.
func (q *quotas) finish(c *call, result callResult) {
	ranNowhere := result == callNotRun || result == callRefused || c.sentAttempts+c.refusedAttempts == 0
	if c.usesQuota && ranNowhere {
		q.meter.Return(time.Now(), c.organisation)
	}
}
