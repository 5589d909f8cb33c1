package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// maxExplainedQuotes bounds the instances that an explanation asks for quotes.
	maxExplainedQuotes = 64
	// explainedRetryAfter is the typical delay without an upstream; see overload.RetryDelay.
	explainedRetryAfter = time.Second
)

var errUnknownOrganisation = errors.New("no such organisation")

// handleExplain responds with what the node would do with a request now. It changes nothing
// that a later request depends on.
func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	asked := &httpapi.ExplainRequest{}
	if !decodeBody(w, r, asked) {
		return
	}
	c, err := n.describedCall(asked)
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Error: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.explain(r.Context(), c, asked))
}

// describedCall returns the call of a described request, without a service. Its errors do not
// contain the key.
func (n *Node) describedCall(asked *httpapi.ExplainRequest) (*call, error) {
	if asked.Key != "" && asked.Organisation != "" {
		return nil, errors.New("organisation: must not be set together with key")
	}
	target, err := url.ParseRequestURI(asked.Path)
	if err != nil || asked.Host == "" {
		return nil, errors.New("host and path: must be those of a request")
	}
	method := asked.Method
	if method == "" {
		method = http.MethodGet
	}
	r := &http.Request{Method: method, Host: asked.Host, RequestURI: asked.Path, URL: target, Header: http.Header{}}
	if asked.Key != "" && n.dialect.APIKey != "" {
		r.Header.Set(n.dialect.APIKey, asked.Key)
	}
	view := n.directory.View()
	return &call{request: r, view: view, limits: limitsWithDefaults(view.Doc), started: time.Now()}, nil
}

// explain runs the decisions of a request up to the choice of an instance.
func (n *Node) explain(ctx context.Context, c *call, asked *httpapi.ExplainRequest) *httpapi.Explanation {
	e := &httpapi.Explanation{Node: n.settings.ID, Zone: n.settings.Zone, Revision: c.view.Revision}
	if asked.Zone != "" {
		e.Zone = asked.Zone
	}
	if err := n.selectService(c, n.splitter.peekService); err != nil {
		e.Refusal = explainRejection(err)
		return e
	}
	e.AddressedBy, e.Route, e.Service = c.addressing.String(), c.routeName(), c.service
	e.Split = splitOf(c)
	if err := n.authenticateDescribed(c, asked.Organisation); err != nil {
		e.Refusal = explainRejection(err)
		return e
	}
	c.priority = c.ownPriority()
	e.Organisation, e.Priority = c.organisation, c.priority
	n.explainQuota(c, e)
	n.explainCandidates(ctx, c, e)
	return e
}

// explainQuota adds the state of the quota of the call's organisation, and the refusal of a
// call that is over it. It takes nothing from the quota.
func (n *Node) explainQuota(c *call, e *httpapi.Explanation) {
	configured, ok := c.view.Organisations.Get(c.organisation)
	if !c.hasKey || !ok || configured.RatePerSecond <= 0 {
		return
	}
	decision := n.entryQuotas.meter.Peek(time.Now(), c.organisation, configured.RatePerSecond, configured.Burst)
	e.Quota = &httpapi.ExplainedQuota{
		RequestsPerSecond: configured.RatePerSecond, Burst: configured.Burst, Share: decision.Share,
		GrantAgeMs: decision.GrantAge.Milliseconds(), Detached: decision.Detached,
	}
	if decision.GrantAge < 0 {
		e.Quota.GrantAgeMs = -1
	}
	if !decision.Admitted {
		e.Refusal = &httpapi.ExplainedRefusal{
			Status: http.StatusTooManyRequests, Error: "the organisation has used up its quota",
			Reason:            httpapi.ReasonName(wire.RefusalReason_REFUSAL_QUOTA),
			RetryAfterSeconds: decision.RetryAfter.Seconds(),
		}
	}
}

// authenticateDescribed sets the organisation of a described call: that of its key, or the
// named one.
func (n *Node) authenticateDescribed(c *call, name string) error {
	if name == "" {
		return n.authenticate(c)
	}
	if _, ok := c.view.Organisations.Get(name); !ok {
		return errUnknownOrganisation
	}
	if c.route == nil || !c.route.Public {
		c.organisation, c.hasKey = name, true
	}
	return nil
}

func explainRejection(err error) *httpapi.ExplainedRefusal {
	refusal := &httpapi.ExplainedRefusal{Status: http.StatusBadRequest, Error: err.Error()}
	var refused *keyError
	switch {
	case errors.As(err, &refused):
		refusal.Status, refusal.Reason = http.StatusUnauthorized, refused.reason
	case errors.Is(err, errNoRoute):
		refusal.Status, refusal.Reason = http.StatusNotFound, httpapi.ReasonNoRoute
	case errors.Is(err, errNoService):
		refusal.Status = http.StatusServiceUnavailable
		refusal.Reason = httpapi.ReasonName(wire.RefusalReason_REFUSAL_NO_UPSTREAM)
	}
	return refusal
}

func splitOf(c *call) map[string]int {
	if c.route == nil {
		return nil
	}
	split := map[string]int{}
	for _, backend := range c.route.Backends {
		split[backend.Service] = backend.Weight
	}
	return split
}

// explainCandidates adds the instances of the service, with their quotes, and the choice.
func (n *Node) explainCandidates(ctx context.Context, c *call, e *httpapi.Explanation) {
	sample := n.balancer.describeCandidates(c.view, c.service)
	if n.quotes != nil {
		n.collectAllQuotes(ctx, c, sample[:min(len(sample), maxExplainedQuotes)])
	}
	quotes := quotesOf(sample)
	serviceTime := meanServiceTime(quotes)
	now := time.Now()
	for i := range sample {
		explained := n.explainCandidate(now, c, &sample[i])
		if quotes[i] != nil {
			quotes[i].NetworkCost = networkCost(c, sample[i].instance.GetZone(), e.Zone)
			explained.ScoreMs = milliseconds(quotes[i].Expected(serviceTime))
			if explained.Ejected || !isChoosable(sample[i].candidate.State) {
				quotes[i] = nil
			}
		}
		e.Candidates = append(e.Candidates, explained)
	}
	if e.Refusal != nil {
		return
	}
	if best := balance.Best(quotes, serviceTime); best >= 0 {
		e.Chosen = sample[best].instance.GetId()
		return
	}
	e.Refusal = &httpapi.ExplainedRefusal{
		Status: http.StatusServiceUnavailable, Error: "no upstream offers to take the request",
		Reason: httpapi.ReasonName(wire.RefusalReason_REFUSAL_NO_UPSTREAM), RetryAfterSeconds: explainedRetryAfter.Seconds(),
	}
}

func isChoosable(state balance.State) bool {
	return state == balance.StateWarm || state == balance.StateCold
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// explainCandidate describes an instance by its quote, or by the last report without one.
func (n *Node) explainCandidate(now time.Time, c *call, described *quoteCandidate) httpapi.ExplainedCandidate {
	candidate, quote := &described.candidate, described.quote
	explained := httpapi.ExplainedCandidate{
		Instance: candidate.ID, Zone: candidate.Zone, ZoneState: string(c.view.Doc.Zones[candidate.Zone].State),
		State: balanceStateName(candidate.State), Cold: candidate.State == balance.StateCold, OwnInFlight: candidate.InFlight,
		Ejected: n.balancer.isEjected(now, candidate.ID), ReportAgeMs: -1,
		Running: candidate.Report.InFlight, Queued: candidate.Report.Queued, Limit: candidate.Report.Limit,
	}
	if candidate.Report.Limit > 0 {
		explained.ReportAgeMs = candidate.ReportAge.Milliseconds()
	}
	if quote != nil {
		explained.Answered, explained.ReportAgeMs, explained.Open, explained.Cold = true, 0, quote.Open, quote.Cold
		explained.Running, explained.Queued, explained.Limit = quote.Running, quote.Queued, quote.Limit
		explained.Slowdown, explained.WaitMs = quote.Slowdown, milliseconds(quote.QueueWait)
	}
	return explained
}

func balanceStateName(state balance.State) string {
	switch state {
	case balance.StateWarm:
		return "warm"
	case balance.StateCold:
		return "cold"
	case balance.StateZoneOut:
		return "zone-out"
	default:
		return "closed"
	}
}

// networkCost returns the cost of a call from the entry zone to the zone of an instance.
func networkCost(c *call, zone, entryZone string) time.Duration {
	if zone == entryZone {
		return 0
	}
	return crossZoneRoundTrip + c.crossZoneCost()
}
