package node

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/datagram"
)

const (
	// quoteSampleSize is the number of instances that are asked for a quote for each
	// attempt.
	quoteSampleSize = 4
	// quoteTimeout bounds the wait for the quotes: a round trip to another zone and a
	// probe of the upstream.
	quoteTimeout = 8 * time.Millisecond
	// smallBodySameZoneCount and largeBodySameZoneCount are the numbers of sampled instances
	// in the entry node's zone, the latter for bodies of at least largeBodyBytes.
	smallBodySameZoneCount = 2
	largeBodySameZoneCount = 3
	largeBodyBytes         = 16 << 10
	// crossZoneBytesPerSecond is the number of body bytes whose transfer to another zone
	// is considered as costly as a second of waiting in the entry node's zone, since
	// traffic between zones is paid for.
	crossZoneBytesPerSecond = 1 << 20
	// defaultServiceTime is the service time assumed for a request when no quote states one.
	defaultServiceTime = 100 * time.Millisecond
)

// quoteCandidate is a candidate that is asked for a quote.
type quoteCandidate struct {
	instance  *wire.Instance
	candidate balance.Candidate
	quote     *balance.Quote // nil while there is none
}

// selectInstance chooses the instance for an attempt by the quotes of the nodes beside
// some upstreams, and counts an attempt in flight to it. Load changes within
// milliseconds, so that the reports in earlier responses are of little use. Without
// quotes they are used nevertheless.
//
// During a rollout of the service the first attempt of a call is for the version that a random
// draw chooses, a later one for the version of repeats.
func (n *Node) selectInstance(ctx context.Context, c *call, attemptNumber int, tried map[string]bool) (*wire.Instance, bool) {
	v := n.selectionView(c)
	selection := n.selectVersions(v, c, attemptNumber == 1)
	instance, _, sample, ok := n.selectByQuotes(ctx, c, v, tried, selection)
	if !ok && !c.versionRefused {
		if fallback, isAllowed := selection.fallback(); isAllowed {
			instance, _, sample, ok = n.selectByQuotes(ctx, c, v, tried, fallback)
		}
	}
	if !ok && selection.needsQuote {
		selection.needsQuote = false
		instance, _, sample, ok = n.selectByQuotes(ctx, c, v, tried, selection)
	}
	if ok {
		n.logSelection(c, attemptNumber, instance, sample)
		c.firstQuote = primaryOf(instance, sample)
	}
	return instance, ok
}

// primaryOf returns what a sample says about the chosen instance. A sample of one was not
// asked.
func primaryOf(chosen *wire.Instance, sample []quoteCandidate) retry.Primary {
	for i := range sample {
		if sample[i].instance == chosen && len(sample) > 1 {
			return retry.Primary{Asked: true, Quote: sample[i].quote}
		}
	}
	return retry.Primary{}
}

func (n *Node) selectByQuotes(ctx context.Context, c *call, v *directory.View, tried map[string]bool, selection versionSelection) (*wire.Instance, balance.Candidate, []quoteCandidate, bool) {
	service := c.service
	if n.quotes == nil {
		instance, candidate, ok := n.balancer.pickInstance(v, service, tried, selection)
		return instance, candidate, nil, ok
	}
	sample := n.balancer.sampleCandidates(v, service, tried, selection, c.sameZoneCount())
	if len(sample) == 1 {
		n.balancer.startAttempt(&sample[0])
		return sample[0].instance, sample[0].candidate, sample, true
	}
	n.collectByZone(ctx, c, sample)
	quotes := quotesOf(sample)
	best := balance.Best(quotes, meanServiceTime(quotes))
	if best < 0 && selection.needsQuote {
		return nil, balance.Candidate{}, nil, false
	}
	if best < 0 {
		instance, candidate, ok := n.balancer.pickInstance(v, service, tried, selection)
		return instance, candidate, sample, ok
	}
	n.balancer.startAttempt(&sample[best])
	return sample[best].instance, sample[best].candidate, sample, true
}

// collectByZone asks the candidates in the entry node's zone first, and the others only when
// none of them is ideal. The sample begins with the candidates of that zone.
func (n *Node) collectByZone(ctx context.Context, c *call, sample []quoteCandidate) {
	sameZone := 0
	for sameZone < len(sample) && sample[sameZone].instance.GetZone() == n.settings.Zone {
		sameZone++
	}
	if sameZone > 0 {
		n.collectQuotes(ctx, c, sample[:sameZone])
	}
	if sameZone < len(sample) && !balance.HasIdeal(quotesOf(sample[:sameZone])) {
		n.collectQuotes(ctx, c, sample[sameZone:])
	}
}

// quotesOf returns the quotes of a sample; those that did not arrive are nil.
func quotesOf(sample []quoteCandidate) []*balance.Quote {
	quotes := make([]*balance.Quote, len(sample))
	for i := range sample {
		quotes[i] = sample[i].quote
	}
	return quotes
}

// meanServiceTime returns the mean of the quoted service times.
func meanServiceTime(quotes []*balance.Quote) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, quote := range quotes {
		if quote != nil && quote.ServiceTime > 0 {
			sum += quote.ServiceTime
			count++
		}
	}
	if count == 0 {
		return defaultServiceTime
	}
	return sum / count
}

// collectQuotes requests the quotes of a sample and waits until all have arrived, one of
// them is ideal, or quoteTimeout has passed.
func (n *Node) collectQuotes(ctx context.Context, c *call, sample []quoteCandidate) {
	n.collectUntil(ctx, c, sample, func(quote *balance.Quote) bool { return quote.IsIdeal() && quote.NetworkCost == 0 })
}

// collectAllQuotes requests the quotes of a sample and waits until all have arrived or
// quoteTimeout has passed.
func (n *Node) collectAllQuotes(ctx context.Context, c *call, sample []quoteCandidate) {
	n.collectUntil(ctx, c, sample, func(*balance.Quote) bool { return false })
}

func (n *Node) collectUntil(ctx context.Context, c *call, sample []quoteCandidate, isEnough func(*balance.Quote) bool) {
	responses := make(chan datagram.Response, len(sample))
	pending := make(map[uint64]int, len(sample))
	defer func() {
		for requestID := range pending {
			n.quotes.Cancel(requestID)
		}
	}()
	for i := range sample {
		requestID, ok := n.requestQuote(sample[i].instance, c, responses, uint64(i))
		if ok {
			pending[requestID] = i
		}
	}
	timer := time.NewTimer(quoteTimeout)
	defer timer.Stop()
	for len(pending) > 0 {
		select {
		case response := <-responses:
			i := pending[response.RequestID]
			delete(pending, response.RequestID)
			sample[i].quote = n.decodeQuote(c, &sample[i], response.Payload)
			if quote := sample[i].quote; quote != nil && isEnough(quote) {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// localRequestBit is set in the IDs of quote requests that this node answers itself.
const localRequestBit = 1 << 63

func (n *Node) requestQuote(instance *wire.Instance, c *call, responses chan<- datagram.Response, index uint64) (uint64, bool) {
	payload, err := proto.Marshal(&wire.QuoteRequest{
		Instance: instance.GetId(), Route: c.routeName(), Urgency: urgencyToWire(c.currentUrgency()),
		Priority:     uint32(c.priority), //nolint:gosec // checked by the document
		Organisation: c.organisation,
	})
	if err != nil {
		return 0, false
	}
	if instance.GetNodeId() == n.settings.ID {
		requestID := localRequestBit | index
		n.answerQuote(payload, func(response []byte) { responses <- datagram.Response{RequestID: requestID, Payload: response} })
		return requestID, true
	}
	address, err := netip.ParseAddrPort(instance.GetNodeAddress())
	if err != nil {
		return 0, false
	}
	requestID, err := n.quotes.Send(address, payload, responses)
	return requestID, err == nil
}

// decodeQuote returns nil for a quote that cannot be decoded.
func (n *Node) decodeQuote(c *call, candidate *quoteCandidate, payload []byte) *balance.Quote {
	quote := &wire.Quote{}
	if proto.Unmarshal(payload, quote) != nil {
		return nil
	}
	n.directory.ObserveRevision(candidate.instance.GetNodeAddress(), quote.GetRevision())
	load := quote.GetLoad()
	decoded := &balance.Quote{
		Open:         quote.GetOpen(),
		Running:      int(load.GetInFlight()),
		Queued:       int(load.GetQueued()),
		Limit:        int(load.GetLimit()),
		Slowdown:     float64(load.GetSlowdownPercent()) / 100,
		ServiceTime:  time.Duration(load.GetWorkUs()) * time.Microsecond,                                            //nolint:gosec // an estimate
		QueueWait:    time.Duration(min(quote.GetWaitUs(), uint64(maxTimeout/time.Microsecond))) * time.Microsecond, //nolint:gosec // bounded
		FailureShare: float64(load.GetFailurePercent()) / 100,
		Cold:         load.GetState() == wire.InstanceState_INSTANCE_COLD,
	}
	if candidate.instance.GetZone() != n.settings.Zone {
		decoded.NetworkCost = crossZoneRoundTrip + c.crossZoneCost()
	}
	return decoded
}

// sameZoneCount returns the number of instances of the entry node's zone that are sampled
// first.
func (c *call) sameZoneCount() int {
	if c.bodyLength < largeBodyBytes {
		return smallBodySameZoneCount
	}
	return largeBodySameZoneCount
}

// crossZoneCost returns the waiting time that is as costly as sending the body to another
// zone.
func (c *call) crossZoneCost() time.Duration {
	return time.Duration(max(0, c.bodyLength)) * time.Second / crossZoneBytesPerSecond
}

// crossZoneRoundTrip is the round-trip time to another zone.
const crossZoneRoundTrip = 3 * time.Millisecond

// answerQuote answers a quote request for the upstream beside this node. When the last
// load report may be misleading, it probes the upstream first.
func (n *Node) answerQuote(payload []byte, reply func(response []byte)) {
	request := &wire.QuoteRequest{}
	if proto.Unmarshal(payload, request) != nil {
		return
	}
	n.upstream.refreshLoad(n.healthPath(), n.upstream.needsProbeForQuote, func() {
		response, err := proto.Marshal(n.currentQuote(request))
		if err == nil {
			reply(response)
		}
	})
}

func (n *Node) healthPath() string {
	a := n.upstream.currentAnnouncement()
	if a == nil {
		return ""
	}
	return n.directory.View().Doc.Services[a.Service].HealthPath
}

// currentQuote returns the current state of the upstream.
func (n *Node) currentQuote(request *wire.QuoteRequest) *wire.Quote {
	n.syncZone()
	wait := n.upstream.gate.Wait(admission.Request{
		Urgency:      urgencyFromWire(request.GetUrgency()),
		Priority:     int(request.GetPriority()),
		Organisation: request.GetOrganisation(),
		Weight:       n.organisationWeight(request.GetOrganisation()),
		Work:         n.expectedWork(request.GetRoute()),
	})
	quote := &wire.Quote{WaitUs: uint64(wait.Microseconds()), Load: n.upstream.loadReportForRoute(request.GetRoute(), n.priorWork(request.GetRoute())), Revision: n.directory.View().Revision}
	quote.Open = quote.Load.GetState() != wire.InstanceState_INSTANCE_LEAVING && n.upstream.isOpen(request.GetInstance()) &&
		n.upstreamVersionRefusal() == wire.RefusalReason_REFUSAL_UNSPECIFIED
	return quote
}
