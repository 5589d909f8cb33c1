package memlimit

import (
	"context"
	"sync/atomic"
	"time"
)

type contextKey struct{}

// WithAccount returns a context that carries the account of the client's connection.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account in ctx, nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// Hold counts the bytes held for one request, which are released together at its end. A nil
// hold, and one without an account, counts nothing.
type Hold struct {
	account *Account
	bytes   atomic.Int64
}

// NewHold returns a hold on the account, which may be nil.
func NewHold(a *Account) *Hold { return &Hold{account: a} }

// Acquire counts bytes before they are held; see Account.Acquire.
func (h *Hold) Acquire(now time.Time, bytes int64) error {
	if h == nil || h.account == nil {
		return nil
	}
	if err := h.account.Acquire(now, bytes); err != nil {
		return err
	}
	h.bytes.Add(bytes)
	return nil
}

// Release releases all that the request holds.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	if bytes := h.bytes.Swap(0); bytes > 0 {
		h.account.Release(bytes)
	}
}

// TryAcquire counts bytes that are useful but not needed; see Account.TryAcquire.
func (h *Hold) TryAcquire(bytes int64) bool {
	if h == nil || h.account == nil {
		return true
	}
	if !h.account.TryAcquire(bytes) {
		return false
	}
	h.bytes.Add(bytes)
	return true
}

// Demand counts bytes that can't be refused any more. When there is no room for them, a client is
// closed as for Acquire.
func (h *Hold) Demand(now time.Time, bytes int64) {
	if h.Acquire(now, bytes) != nil {
		h.Force(bytes)
	}
}

// Force counts bytes that are held already and can't be refused.
func (h *Hold) Force(bytes int64) {
	if h != nil && h.account != nil {
		h.account.Force(bytes)
		h.bytes.Add(bytes)
	}
}
