package node

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/coordination/retry"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// hedge is a first attempt and a second one that starts when the first is slow. The first
// response is used; the other attempt is cancelled.
type hedge struct {
	node         *Node
	call         *call
	primary      *wire.Instance
	ctx          context.Context
	secondaryCtx context.Context
	// cancelPrimary ends the first attempt when the second one gets a response first.
	cancelPrimary   context.CancelFunc
	secondaryResult chan attemptResult // of the second attempt, exactly one
	// primaryEnded is closed when the first attempt has ended without a response. From then
	// on a retry replaces the hedge, unless it has been sent.
	primaryEnded chan struct{}
	// sentAt is the time at which the first attempt was sent, secondarySentAt that of the
	// second one, zero without one.
	sentAt, secondarySentAt time.Time

	mu        sync.Mutex
	hasWinner bool
}

// hedgedAttempt makes the first attempt of a repeatable call. After the delay it asks the
// node beside the upstream again, and sends one hedge to another instance when the policy
// allows it.
func (n *Node) hedgedAttempt(ctx context.Context, c *call, instance *wire.Instance, delay time.Duration) attemptResult {
	primaryCtx, cancelPrimary := context.WithCancel(ctx)
	secondaryCtx, cancelSecondary := context.WithCancel(ctx)
	h := &hedge{
		node:            n,
		call:            c,
		primary:         instance,
		ctx:             ctx,
		secondaryCtx:    secondaryCtx,
		cancelPrimary:   cancelPrimary,
		secondaryResult: make(chan attemptResult, 1),
		primaryEnded:    make(chan struct{}),
		sentAt:          time.Now(),
	}
	c.hold.Demand(time.Now(), memlimit.BodyCopies*int64(len(c.body)))
	timer := time.AfterFunc(delay, h.startSecondary)
	primaryResult := n.tryInstance(primaryCtx, c, instance, 1)
	if timer.Stop() {
		cancelSecondary()
		return attachCancel(primaryResult, cancelPrimary)
	}
	if primaryResult.outcome == outcomeAnswered && h.tryWin() {
		cancelSecondary()
		return attachCancel(primaryResult, cancelPrimary)
	}
	close(h.primaryEnded)
	secondaryResult := <-h.secondaryResult
	if secondaryResult.outcome != outcomeAnswered {
		cancelSecondary()
		return attachCancel(secondaryResult.combinedWith(primaryResult), cancelPrimary)
	}
	if primaryResult.outcome == outcomeAnswered {
		primaryResult.attempt.finish(balance.Outcome{Result: balance.ResultCancelled})
	}
	cancelPrimary()
	return attachCancel(secondaryResult, cancelSecondary)
}

// attachCancel makes the end of an attempt with a response cancel its context, and
// cancels the context at once without a response.
func attachCancel(result attemptResult, cancel context.CancelFunc) attemptResult {
	if result.outcome != outcomeAnswered {
		cancel()
		return result
	}
	result.attempt.cancel = cancel
	return result
}

// tryWin returns true for the first attempt that gets a response.
func (h *hedge) tryWin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.hasWinner
	h.hasWinner = true
	return first
}

func (h *hedge) startSecondary() {
	result := h.runSecondary()
	won := false
	if result.outcome == outcomeAnswered {
		if won = h.tryWin(); won {
			h.cancelPrimary()
		} else {
			result.attempt.finish(balance.Outcome{Result: balance.ResultCancelled})
			result = attemptResult{}
		}
	}
	if !h.secondarySentAt.IsZero() {
		h.recordEnd(won)
	}
	h.secondaryResult <- result
}

// runSecondary sends the second attempt as soon as the policy allows it. It returns the zero
// value without a second attempt.
func (h *hedge) runSecondary() attemptResult {
	n, c := h.node, h.call
	primary, ok := h.awaitSlowPrimary()
	if !ok {
		return attemptResult{}
	}
	target, ok := n.selectHedgeTarget(h.secondaryCtx, c, h.primary.GetId())
	if !ok {
		n.metrics.hedgeVerdicts[retry.HedgeTargetBusy].Inc()
		return attemptResult{}
	}
	verdict := retry.HedgeTooEarly
	if !h.isPrimaryOver() {
		verdict = n.balancer.takeHedge(c.service, c.limits, retry.Hedge{
			Repeatable: c.isRepeatable(), Waited: time.Since(h.sentAt), Primary: primary,
			Target: &target.candidate, TargetQuote: target.quote, Quotes: target.quotes,
		})
	}
	n.metrics.hedgeVerdicts[verdict].Inc()
	if verdict != retry.HedgeSend {
		n.balancer.endAttempt(target.instance, balance.Outcome{Result: balance.ResultCancelled}, nil)
		return attemptResult{}
	}
	n.metrics.hedges.Inc()
	c.hedged.Store(true)
	h.secondarySentAt = time.Now()
	n.logHedge(h, target, primary)
	return n.tryInstance(h.secondaryCtx, c, target.instance, 1)
}

// awaitSlowPrimary waits until the upstream of the first attempt has taken longer than the
// policy allows for what its node says of it. It returns false when the first attempt ends
// before.
func (h *hedge) awaitSlowPrimary() (retry.Primary, bool) {
	for {
		primary := h.node.askPrimary(h.secondaryCtx, h.call, h.primary, h.sentAt)
		delay := h.node.balancer.hedgeDelay(h.call.service, h.call.limits, primary)
		if delay == 0 || h.isPrimaryOver() {
			return primary, false
		}
		remaining := delay - time.Since(h.sentAt)
		if remaining <= 0 {
			return primary, true
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-h.primaryEnded:
		case <-h.secondaryCtx.Done():
		}
		timer.Stop()
	}
}

// isPrimaryOver reports whether the first attempt has ended, with a response or without one.
func (h *hedge) isPrimaryOver() bool {
	select {
	case <-h.primaryEnded:
		return true
	case <-h.secondaryCtx.Done():
		return true
	default:
		return false
	}
}

// recordEnd counts a second attempt that has ended. The work of the attempt that was not used
// is counted from its start to now, as the entry node sees it; the node beside its upstream
// counts what has run there.
func (h *hedge) recordEnd(won bool) {
	wasted := time.Since(h.secondarySentAt)
	if won {
		wasted = time.Since(h.sentAt)
		h.node.metrics.hedgesWon.Inc()
	}
	h.node.metrics.hedgeWastedSeconds.Add(wasted.Seconds())
}

// askPrimary asks the node beside the upstream of the first attempt for its state.
func (n *Node) askPrimary(ctx context.Context, c *call, instance *wire.Instance, sentAt time.Time) retry.Primary {
	sample := []quoteCandidate{{instance: instance}}
	if n.quotes != nil {
		n.collectQuotes(ctx, c, sample)
	}
	return c.firstQuote.AfterSending(n.quotes != nil, sample[0].quote, n.balancer.hasRespondedSince(instance.GetId(), sentAt))
}

// hedgeTarget is the instance for a second attempt, with its quote and those of the others
// that were asked; nil where there is none.
type hedgeTarget struct {
	quoteCandidate
	quotes []*balance.Quote
}

// selectHedgeTarget chooses another instance than the first attempt's and counts an attempt in
// flight to it. During a rollout it is none of the target version.
func (n *Node) selectHedgeTarget(ctx context.Context, c *call, primary string) (hedgeTarget, bool) {
	v := n.selectionView(c)
	selection, ok := n.selectHedgeVersions(v, c.service)
	if !ok {
		return hedgeTarget{}, false
	}
	instance, candidate, sample, ok := n.selectByQuotes(ctx, c, v, map[string]bool{primary: true}, selection)
	if !ok {
		return hedgeTarget{}, false
	}
	target := hedgeTarget{quoteCandidate: quoteCandidate{instance: instance, candidate: candidate}, quotes: quotesOf(sample)}
	for i := range sample {
		if sample[i].instance == instance {
			target.quote = sample[i].quote
		}
	}
	return target, true
}
