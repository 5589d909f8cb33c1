package node

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// hedge is a first attempt with a second one that starts when the first is slow. The
// first response wins; the other attempt is cancelled.
type hedge struct {
	node      *Node
	call      *call
	primary   *wire.Instance
	ctx       context.Context
	secondary context.Context
	// cancelPrimary ends the first attempt when the second one wins.
	cancelPrimary context.CancelFunc
	result        chan attemptResult // of the second attempt, exactly one

	mu      sync.Mutex
	decided bool
}

// hedgedAttempt makes the first attempt of a repeatable call and hedges it once after
// the delay, when the budget and another instance allow it.
func (n *Node) hedgedAttempt(ctx context.Context, c *call, instance *wire.Instance, delay time.Duration) attemptResult {
	primaryCtx, cancelPrimary := context.WithCancel(ctx)
	secondaryCtx, cancelSecondary := context.WithCancel(ctx)
	h := &hedge{
		node:          n,
		call:          c,
		primary:       instance,
		ctx:           ctx,
		secondary:     secondaryCtx,
		cancelPrimary: cancelPrimary,
		result:        make(chan attemptResult, 1),
	}
	timer := time.AfterFunc(delay, h.launch)
	result := n.attempt(primaryCtx, c, instance, 1)
	if timer.Stop() {
		cancelSecondary()
		return ownContext(result, cancelPrimary)
	}
	if result.outcome == outcomeAnswered && h.decide() {
		cancelSecondary()
		return ownContext(result, cancelPrimary)
	}
	second := <-h.result
	if second.outcome != outcomeAnswered {
		cancelSecondary()
		return ownContext(second.followedBy(result), cancelPrimary)
	}
	if result.outcome == outcomeAnswered {
		result.attempt.finish(balance.Outcome{Result: balance.ResultCancelled})
	}
	cancelPrimary()
	return ownContext(second, cancelSecondary)
}

// ownContext makes the end of the attempt release its context.
func ownContext(result attemptResult, cancel context.CancelFunc) attemptResult {
	if result.outcome != outcomeAnswered {
		cancel()
		return result
	}
	result.attempt.cancel = cancel
	return result
}

// decide returns true for the first attempt that has a response.
func (h *hedge) decide() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.decided
	h.decided = true
	return first
}

func (h *hedge) launch() {
	result := h.second()
	if result.outcome == outcomeAnswered {
		if h.decide() {
			h.cancelPrimary()
		} else {
			result.attempt.finish(balance.Outcome{Result: balance.ResultCancelled})
			result = attemptResult{}
		}
	}
	h.result <- result
}

func (h *hedge) second() attemptResult {
	n, c := h.node, h.call
	if n.peers.heardSince(h.primary.GetId(), c.started) {
		// The upstream works; this request is slow by itself and would be elsewhere.
		return attemptResult{}
	}
	instance, candidate, ok := n.place(h.secondary, c, 1, map[string]bool{h.primary.GetId(): true})
	if !ok {
		return attemptResult{}
	}
	if !n.peers.mayHedge(c.service, c.limits, time.Since(c.started), &candidate) {
		n.peers.done(instance, balance.Outcome{Result: balance.ResultCancelled}, nil)
		return attemptResult{}
	}
	n.metrics.hedges.Inc()
	c.hedged.Store(true)
	return n.attempt(h.secondary, c, instance, 1)
}
