package node

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
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

	mu        sync.Mutex
	hasWinner bool
}

// hedgedAttempt makes the first attempt of a repeatable call. After the delay it sends
// one hedge to another instance, if there is one and the hedge budget allows it.
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
	if result.outcome == outcomeAnswered {
		if h.tryWin() {
			h.cancelPrimary()
		} else {
			result.attempt.finish(balance.Outcome{Result: balance.ResultCancelled})
			result = attemptResult{}
		}
	}
	h.secondaryResult <- result
}

func (h *hedge) runSecondary() attemptResult {
	n, c := h.node, h.call
	if n.balancer.hasRespondedSince(h.primary.GetId(), c.started) {
		// The upstream is responding to other requests: this request is slow by itself
		// and would be slow at another instance too.
		return attemptResult{}
	}
	instance, candidate, ok := n.selectHedgeInstance(h.secondaryCtx, c, h.primary.GetId())
	if !ok {
		return attemptResult{}
	}
	if !n.balancer.takeHedge(c.service, c.limits, time.Since(c.started), &candidate) {
		n.balancer.endAttempt(instance, balance.Outcome{Result: balance.ResultCancelled}, nil)
		return attemptResult{}
	}
	n.metrics.hedges.Inc()
	c.hedged.Store(true)
	return n.tryInstance(h.secondaryCtx, c, instance, 1)
}
