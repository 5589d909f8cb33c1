package node

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/admission"
	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/transport/datagram"
)

const (
	// quoteCount is the number of upstreams that are asked for each attempt.
	quoteCount = 4
	// quoteWait bounds the wait for their answers: a round trip to another zone and a
	// look at the upstream.
	quoteWait = 8 * time.Millisecond
	// homeCount of them are in the entry's zone for a body of largeBodyBytes, others one.
	homeCount      = 3
	largeBodyBytes = 16 << 10
	// crossZoneRate is the bytes of a body that are worth a second of waiting in the
	// entry's zone, since bytes between zones are paid for.
	crossZoneRate = 1 << 20
	// defaultWork is the work of a request of a service of which nothing is known.
	defaultWork = 100 * time.Millisecond
)

// asked is a candidate that is asked for a quote.
type asked struct {
	instance  *wire.Instance
	candidate balance.Candidate
	quote     *balance.Quote // nil while there is none
}

// place chooses the instance for an attempt by asking the nodes beside some upstreams,
// and counts an attempt in flight to it. Load changes within milliseconds, so that what
// earlier responses told is of little use. Without answers it falls back on that.
func (n *Node) place(ctx context.Context, c *call, number int, tried map[string]bool) (*wire.Instance, balance.Candidate, bool) {
	instance, candidate, sample, ok := n.choose(ctx, c, tried)
	if ok {
		n.logPlaced(c, number, instance, sample)
	}
	return instance, candidate, ok
}

func (n *Node) choose(ctx context.Context, c *call, tried map[string]bool) (*wire.Instance, balance.Candidate, []asked, bool) {
	v, service := c.view, c.service
	if n.quotes == nil {
		instance, candidate, ok := n.peers.pick(v, service, tried)
		return instance, candidate, nil, ok
	}
	sample := n.peers.sample(v, service, tried, c.homeDraws())
	if len(sample) == 1 {
		n.peers.commit(&sample[0])
		return sample[0].instance, sample[0].candidate, sample, true
	}
	n.collectQuotes(ctx, c, sample)
	quotes := make([]*balance.Quote, len(sample))
	for i := range sample {
		quotes[i] = sample[i].quote
	}
	best := balance.Best(quotes, usualWork(quotes))
	if best < 0 {
		instance, candidate, ok := n.peers.pick(v, service, tried)
		return instance, candidate, sample, ok
	}
	n.peers.commit(&sample[best])
	return sample[best].instance, sample[best].candidate, sample, true
}

// usualWork returns the mean of the quoted work.
func usualWork(quotes []*balance.Quote) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, quote := range quotes {
		if quote != nil && quote.Work > 0 {
			sum += quote.Work
			count++
		}
	}
	if count == 0 {
		return defaultWork
	}
	return sum / count
}

// collectQuotes asks for the quotes of a sample and waits until all have arrived, one of
// them cannot be bettered, or quoteWait has passed.
func (n *Node) collectQuotes(ctx context.Context, c *call, sample []asked) {
	answers := make(chan datagram.Answer, len(sample))
	numbers := make(map[uint64]int, len(sample))
	defer func() {
		for number := range numbers {
			n.quotes.Forget(number)
		}
	}()
	for i := range sample {
		number, ok := n.ask(sample[i].instance, c, answers, uint64(i))
		if ok {
			numbers[number] = i
		}
	}
	timer := time.NewTimer(quoteWait)
	defer timer.Stop()
	for len(numbers) > 0 {
		select {
		case answer := <-answers:
			i := numbers[answer.Question]
			delete(numbers, answer.Question)
			sample[i].quote = n.readQuote(c, &sample[i], answer.Payload)
			if quote := sample[i].quote; quote != nil && quote.IsIdeal() && quote.Path == 0 {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ownQuestion marks the numbers of questions that this node answers itself.
const ownQuestion = 1 << 63

func (n *Node) ask(instance *wire.Instance, c *call, answers chan<- datagram.Answer, index uint64) (uint64, bool) {
	question, err := proto.Marshal(&wire.QuoteRequest{
		Instance: instance.GetId(), Route: c.routeName(), Urgency: urgencyToWire(c.urgencyNow()),
		Priority: uint32(c.rank), //nolint:gosec // checked by the document
	})
	if err != nil {
		return 0, false
	}
	if instance.GetNodeId() == n.settings.ID {
		number := ownQuestion | index
		n.answerQuote(question, func(payload []byte) { answers <- datagram.Answer{Question: number, Payload: payload} })
		return number, true
	}
	to, err := netip.ParseAddrPort(instance.GetNodeAddress())
	if err != nil {
		return 0, false
	}
	number, err := n.quotes.Ask(to, question, answers)
	return number, err == nil
}

// readQuote returns nil for an answer that cannot be read.
func (n *Node) readQuote(c *call, a *asked, payload []byte) *balance.Quote {
	quote := &wire.Quote{}
	if proto.Unmarshal(payload, quote) != nil {
		return nil
	}
	n.directory.ObserveRevision(a.instance.GetNodeAddress(), quote.GetRevision())
	load := quote.GetLoad()
	read := &balance.Quote{
		Open:     quote.GetOpen(),
		Running:  int(load.GetInFlight()),
		Queued:   int(load.GetQueued()),
		Limit:    int(load.GetLimit()),
		Slowdown: float64(load.GetSlowdownPercent()) / 100,
		Work:     time.Duration(load.GetWorkUs()) * time.Microsecond,                                            //nolint:gosec // a hint
		Wait:     time.Duration(min(quote.GetWaitUs(), uint64(maxTimeout/time.Microsecond))) * time.Microsecond, //nolint:gosec // bounded
		Cold:     load.GetState() == wire.InstanceState_INSTANCE_COLD,
	}
	if a.instance.GetZone() != n.settings.Zone {
		read.Path = crossZonePath + c.crossZoneCost()
	}
	return read
}

// homeDraws is the number of instances of the entry's zone that are asked first.
func (c *call) homeDraws() int {
	if c.length < largeBodyBytes {
		return 1
	}
	return homeCount
}

// crossZoneCost is the time that sending the body to another zone is worth.
func (c *call) crossZoneCost() time.Duration {
	return time.Duration(max(0, c.length)) * time.Second / crossZoneRate
}

// crossZonePath is the time to another zone and back.
const crossZonePath = 3 * time.Millisecond

// answerQuote answers a question about the upstream beside this node. When what is known
// is old, it looks at the upstream first.
func (n *Node) answerQuote(question []byte, reply func(answer []byte)) {
	request := &wire.QuoteRequest{}
	if proto.Unmarshal(question, request) != nil {
		return
	}
	n.upstream.freshen(n.healthPath(), func() {
		answer, err := proto.Marshal(n.quote(request))
		if err == nil {
			reply(answer)
		}
	})
}

func (n *Node) healthPath() string {
	a := n.upstream.announced()
	if a == nil {
		return ""
	}
	return n.directory.View().Doc.Services[a.Service].HealthPath
}

// quote tells how the upstream is now.
func (n *Node) quote(request *wire.QuoteRequest) *wire.Quote {
	n.syncZone()
	wait := n.upstream.gate.Wait(admission.Request{
		Urgency: urgencyFromWire(request.GetUrgency()),
		Rank:    int(request.GetPriority()),
		Work:    n.workOf(request.GetRoute()),
	})
	quote := &wire.Quote{WaitUs: uint64(wait.Microseconds()), Load: n.upstream.reportFor(request.GetRoute(), n.priorWork(request.GetRoute())), Revision: n.directory.View().Revision}
	quote.Open = quote.Load.GetState() != wire.InstanceState_INSTANCE_LEAVING && n.upstream.isOpen(request.GetInstance())
	return quote
}
