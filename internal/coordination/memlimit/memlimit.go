// Package memlimit counts the bytes that a process holds for its clients and decides who is
// refused or closed first when they reach a limit. It is pure: time is passed in, and the
// connections are closed by their owners.
package memlimit

import (
	"math"
	"sync"
	"time"
)

// Scope tells which limit an acquisition would have exceeded.
type Scope int

const (
	// ScopeAddress is the limit of the bytes held for one client address.
	ScopeAddress Scope = iota
	// ScopeTotal is the limit of the bytes held for all clients.
	ScopeTotal
	// ScopeConnections is the limit of the number of connections.
	ScopeConnections
)

// String returns the name of the scope in logs and metrics.
func (s Scope) String() string { return [...]string{"address", "total", "connections"}[s] }

// RefusedError reports that bytes were not acquired. Nothing is held for them.
type RefusedError struct {
	Scope Scope
	Bytes int64
}

// Error implements error.
func (e *RefusedError) Error() string { return "memory limit reached: " + e.Scope.String() }

// Limits are the limits of a ledger in bytes, connections and time. A limit of 0 is none,
// except for StallAfter and MinVictim.
type Limits struct {
	// Total limits the bytes held for all clients.
	Total int64
	// Reserve is the part of Total that only small holders may use.
	Reserve int64
	// Small is the largest number of bytes that a small holder holds.
	Small int64
	// Address limits the bytes held for one client address. It does not apply to small
	// holders, since many clients may share an address.
	Address int64
	// Connections limits the number of open accounts.
	Connections int
	// StallAfter is the time without progress after which a client is stalled.
	StallAfter time.Duration
	// MinVictim is the smallest number of bytes for which a client is closed.
	MinVictim int64
}

const (
	// progressBytes is the number of bytes that a client must send or read to have made
	// progress; a client that sends single bytes makes none.
	progressBytes = 1 << 10
	// scanInterval limits how often the accounts are searched in vain.
	scanInterval = 10 * time.Millisecond
	// victimFactor is how many times more than a small requester a client that is not stalled
	// must hold to be closed for it.
	victimFactor = 4
)

// Counts are totals since the start of the ledger, except Held and Connections.
type Counts struct {
	Held        int64
	Connections int
	Refused     [ScopeConnections + 1]uint64
	Closed      uint64
}

// Ledger counts the bytes held for the clients of one or more listeners. Its methods and those
// of its accounts may be called from any goroutine.
type Ledger struct {
	mu        sync.Mutex
	limits    Limits
	held      int64
	accounts  map[*Account]struct{}
	byAddress map[string]int64
	// closing are the bytes of the accounts that were chosen to be closed and are still open.
	closing      int64
	closingCount int
	nextScan     time.Time
	refused      [ScopeConnections + 1]uint64
	closed       uint64
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, accounts: map[*Account]struct{}{}, byAddress: map[string]int64{}}
}

// SetLimits replaces the limits. What is held already stays held.
func (l *Ledger) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// Counts returns the current counts.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Held: l.held, Connections: len(l.accounts), Refused: l.refused, Closed: l.closed}
}

// Account counts the bytes held for one connection.
type Account struct {
	ledger  *Ledger
	address string
	// closeConn starts to close the connection. It must not block or call the ledger.
	closeConn func()

	held       int64
	progressAt time.Time
	moved      int64
	// waiting is the number of requests for which the client waits for this process.
	waiting   int
	isClosing bool
	isEnded   bool
}

// Open opens an account for a connection that holds bytes from its start. address is that of the
// client without its port. closeConn is called at most once, when the client is chosen to be
// closed; it must not block. Open returns a *RefusedError when the connection is to be closed at
// once.
func (l *Ledger) Open(now time.Time, address string, bytes int64, closeConn func()) (*Account, error) {
	l.mu.Lock()
	a := &Account{ledger: l, address: address, closeConn: closeConn, progressAt: now}
	scope, ok := l.checkConnectionsLocked()
	if ok {
		scope, ok = l.checkLocked(a, bytes)
	}
	var victim *Account
	if !ok {
		victim = l.victimLocked(now, a, bytes, scope)
	}
	// A connection that replaces another one is accepted: the other one's bytes are about to be
	// released.
	if !ok && (victim == nil || l.closingCount > len(l.accounts)/2+1) {
		l.refused[scope]++
		l.mu.Unlock()
		closeVictim(victim)
		return nil, &RefusedError{Scope: scope, Bytes: bytes}
	}
	l.accounts[a] = struct{}{}
	l.addLocked(a, bytes)
	l.mu.Unlock()
	closeVictim(victim)
	return a, nil
}

// Acquire counts bytes before they are held. It returns a *RefusedError when they may not be
// held; the client that holds most and makes no progress is then being closed, so that a later
// attempt may succeed.
func (a *Account) Acquire(now time.Time, bytes int64) error {
	l := a.ledger
	l.mu.Lock()
	if a.isEnded || bytes <= 0 {
		l.mu.Unlock()
		return nil
	}
	scope, ok := l.checkLocked(a, bytes)
	if ok {
		l.addLocked(a, bytes)
		l.mu.Unlock()
		return nil
	}
	victim := l.victimLocked(now, a, bytes, scope)
	l.refused[scope]++
	l.mu.Unlock()
	closeVictim(victim)
	return &RefusedError{Scope: scope, Bytes: bytes}
}

// Force counts bytes that are held already and can't be refused.
func (a *Account) Force(bytes int64) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if !a.isEnded {
		a.ledger.addLocked(a, bytes)
	}
}

// Release counts bytes that are no longer held.
func (a *Account) Release(bytes int64) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if !a.isEnded {
		a.ledger.addLocked(a, -min(bytes, a.held))
	}
}

// Held returns the bytes that are held.
func (a *Account) Held() int64 {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.held
}

// Moved records that the client has sent or read bytes.
func (a *Account) Moved(now time.Time, bytes int) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if a.moved += int64(bytes); a.moved >= progressBytes {
		a.moved, a.progressAt = 0, now
	}
}

// BeginWait records that the client waits for this process, EndWait that it no longer does. A
// waiting client is not stalled.
func (a *Account) BeginWait() { a.addWaiting(1) }

// EndWait undoes one BeginWait and counts as progress.
func (a *Account) EndWait(now time.Time) {
	a.addWaiting(-1)
	a.Moved(now, progressBytes)
}

func (a *Account) addWaiting(n int) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.waiting += n
}

// Close ends the account and releases all that it holds.
func (a *Account) Close() {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.isEnded {
		return
	}
	l.addLocked(a, -a.held)
	a.isEnded = true
	if a.isClosing {
		l.closingCount--
	}
	delete(l.accounts, a)
}

func (l *Ledger) addLocked(a *Account, bytes int64) {
	a.held += bytes
	l.held += bytes
	if a.isClosing {
		l.closing += bytes
	}
	if l.byAddress[a.address] += bytes; l.byAddress[a.address] == 0 {
		delete(l.byAddress, a.address)
	}
}

func (l *Ledger) checkConnectionsLocked() (Scope, bool) {
	return ScopeConnections, l.limits.Connections == 0 || len(l.accounts) < l.limits.Connections
}

// checkLocked reports whether an account may hold further bytes, or the limit that forbids it.
func (l *Ledger) checkLocked(a *Account, bytes int64) (Scope, bool) {
	limits := &l.limits
	total := orUnlimited(limits.Total)
	if a.held+bytes <= limits.Small {
		return ScopeTotal, l.held+bytes <= total
	}
	if l.byAddress[a.address]+bytes > orUnlimited(limits.Address) {
		return ScopeAddress, false
	}
	return ScopeTotal, l.held+bytes <= total-limits.Reserve
}

func orUnlimited(limit int64) int64 {
	if limit == 0 {
		return math.MaxInt64
	}
	return limit
}

// victimLocked chooses the account to close so that a may hold further bytes: the one that holds
// most among those that are stalled. For a small holder it may be one that is not stalled, if it
// holds several times as much. It returns nil when the accounts that are being closed suffice,
// or when there is none.
func (l *Ledger) victimLocked(now time.Time, a *Account, bytes int64, scope Scope) *Account {
	if l.closing >= bytes && scope != ScopeConnections || now.Before(l.nextScan) {
		return nil
	}
	isSmall := a.held+bytes <= l.limits.Small
	var victim *Account
	for other := range l.accounts {
		if other == a || other.isClosing || other.held < l.limits.MinVictim {
			continue
		}
		if scope == ScopeAddress && other.address != a.address {
			continue
		}
		stalled := other.waiting == 0 && now.Sub(other.progressAt) >= l.limits.StallAfter
		outweighs := isSmall && other.held >= victimFactor*max(a.held+bytes, 1)
		if !stalled && !outweighs {
			continue
		}
		if victim == nil || isBefore(other, victim) {
			victim = other
		}
	}
	if victim == nil {
		l.nextScan = now.Add(scanInterval)
		return nil
	}
	victim.isClosing = true
	l.closing += victim.held
	l.closingCount++
	l.closed++
	return victim
}

// isBefore reports whether a is closed before b: it holds more, or as much without progress for
// longer.
func isBefore(a, b *Account) bool {
	if a.held != b.held {
		return a.held > b.held
	}
	return a.progressAt.Before(b.progressAt)
}

func closeVictim(victim *Account) {
	if victim != nil {
		victim.closeConn()
	}
}

// TryAcquire counts bytes that are useful but not needed, such as those read ahead. It uses at most
// half of the limits, closes no client and counts no refusal.
func (a *Account) TryAcquire(bytes int64) bool {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.isEnded {
		return false
	}
	limits := &l.limits
	isFree := l.held+bytes <= (orUnlimited(limits.Total)-limits.Reserve)/2 &&
		l.byAddress[a.address]+bytes <= orUnlimited(limits.Address)/2
	if isFree {
		l.addLocked(a, bytes)
	}
	return isFree
}
