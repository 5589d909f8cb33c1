package membership

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// updateBatchDelay is how long changes are collected before they are sent, so that
	// a burst of changes is sent as one message.
	updateBatchDelay = 50 * time.Millisecond
	// maxUpdateInterval is the longest time between two updates. Without changes an
	// empty update is sent, so that the sender detects a broken stream.
	maxUpdateInterval = 2 * time.Second
	// fullUpdateInterval is the time between two updates with all leases of a member, which
	// restore leases that a receiver has missed or lost. They take 2 KB/s at 1,280 nodes.
	fullUpdateInterval = time.Minute
	// reconnectBackoffMin and reconnectBackoffMax bound the exponential backoff between two
	// attempts to connect to a member. The first delays are short because members that start
	// together begin to listen at different times, and until they have exchanged leases each
	// member lists only the upstreams of the nodes that are connected to it.
	reconnectBackoffMin = 50 * time.Millisecond
	reconnectBackoffMax = time.Second
)

// Dialer opens a stream to a control member.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Exchange sends the leases of the nodes that are connected to this member to the other
// control members and merges the updates that they send into the registry.
type Exchange struct {
	registry      *Registry
	member        string
	epoch         uint64
	dial          Dialer
	peerAddresses func() []string
	logger        log.Logger

	mu sync.Mutex
	// latestStreamIDs holds for each member the number of the last stream that it opened.
	latestStreamIDs map[string]uint64
}

// NewExchange returns an exchange that is not yet running. The epoch must increase
// with each start of the member. peerAddresses returns the current addresses of the
// other members.
func NewExchange(registry *Registry, member string, epoch uint64, dial Dialer, peerAddresses func() []string, logger log.Logger) *Exchange {
	return &Exchange{
		registry: registry, member: member, epoch: epoch, dial: dial, peerAddresses: peerAddresses, logger: logger,
		latestStreamIDs: map[string]uint64{},
	}
}

// Run maintains a stream to each of the other members until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	cancelSenders := map[string]context.CancelFunc{}
	ticker := time.NewTicker(reconnectBackoffMax)
	defer ticker.Stop()
	for {
		current := map[string]bool{}
		for _, address := range e.peerAddresses() {
			current[address] = true
			if cancelSenders[address] == nil {
				senderCtx, cancel := context.WithCancel(ctx)
				cancelSenders[address] = cancel
				group.Go(func() { e.maintainStream(senderCtx, address) })
			}
		}
		for address, cancel := range cancelSenders {
			if !current[address] {
				cancel()
				delete(cancelSenders, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maintainStream keeps a stream to a member open and reconnects with backoff until ctx ends.
func (e *Exchange) maintainStream(ctx context.Context, address string) {
	backoff := reconnectBackoffMin
	for ctx.Err() == nil {
		connected, err := e.sendUpdates(ctx, address)
		if ctx.Err() != nil {
			return
		}
		_ = level.Debug(e.logger).Log("msg", "registry stream to member failed; retrying after backoff", "member", address, "err", err)
		if connected {
			backoff = reconnectBackoffMin
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, reconnectBackoffMax)
	}
}

// sendUpdates opens a stream to a member and sends updates until the stream fails or ctx
// ends. It reports whether the stream was opened.
func (e *Exchange) sendUpdates(ctx context.Context, address string) (connected bool, err error) {
	stream, err := e.dial(ctx, address)
	if err != nil {
		return false, errors.Wrap(err, "membership: connect to member")
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	conn := frame.NewConn(stream)
	version, lastFull := uint64(0), time.Now()
	for ctx.Err() == nil {
		if time.Since(lastFull) >= fullUpdateInterval {
			version, lastFull = 0, time.Now()
		}
		update, nextVersion, changed := e.registry.UpdateSince(version)
		update.Member, update.Epoch = e.member, e.epoch
		if err := conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_RegistryUpdate{RegistryUpdate: update}}); err != nil {
			return true, errors.Wrap(err, "membership: send registry update")
		}
		version = nextVersion
		timer := time.NewTimer(maxUpdateInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
			sleep(ctx, updateBatchDelay)
		}
		timer.Stop()
	}
	return true, ctx.Err()
}

// ServeStream merges the updates of another member until the stream ends. first is
// the message that opened the stream and contains the first update.
func (e *Exchange) ServeStream(first *wire.Envelope, conn *frame.Conn) error {
	member := first.GetRegistryUpdate().GetMember()
	if member == "" || member == e.member {
		return errors.WithMessage(frame.ErrUnexpected, "registry update does not name another member")
	}
	e.mu.Lock()
	e.latestStreamIDs[member]++
	streamID := e.latestStreamIDs[member]
	e.mu.Unlock()
	defer e.streamEnded(member, streamID)
	for message := first; ; {
		update := message.GetRegistryUpdate()
		if update.GetMember() != member {
			return errors.WithMessage(frame.ErrUnexpected, "registry stream carries a message of another type or member")
		}
		e.registry.Merge(time.Now(), update)
		var err error
		if message, err = conn.Receive(); err != nil {
			return errors.Wrap(err, "membership: receive registry update")
		}
	}
}

// streamEnded tells the registry that a member is lost, unless the member has opened a
// newer stream.
func (e *Exchange) streamEnded(member string, streamID uint64) {
	e.mu.Lock()
	latest := e.latestStreamIDs[member] == streamID
	e.mu.Unlock()
	if latest {
		e.registry.MemberLost(time.Now(), member)
		_ = level.Warn(e.logger).Log("msg", "registry stream from member lost; its leases expire unless a member renews them", "member", member)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
