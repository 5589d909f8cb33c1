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
	// updateBatchDelay collects changes, so that a burst costs one message.
	updateBatchDelay = 50 * time.Millisecond
	// maxUpdateInterval is the longest time between two updates; an empty update
	// shows the sender that the stream still works.
	maxUpdateInterval = 2 * time.Second
	// fullUpdateInterval is the time between two updates with all leases of a member, which
	// repair whatever a receiver has missed. They take 2 KB/s at 1,280 nodes.
	fullUpdateInterval = time.Minute
	// reconnectBackoffMin and exchangeRetryMax bound the pause between two attempts to reach a
	// member. The first ones are short: members that start together listen one after another,
	// and until they have exchanged leases each lists the upstreams of its own nodes only.
	reconnectBackoffMin = 50 * time.Millisecond
	reconnectBackoffMax = time.Second
)

// Dialer opens a stream to a control member.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Exchange sends the leases of this member to the other members and takes theirs.
type Exchange struct {
	registry      *Registry
	member        string
	epoch         uint64
	dial          Dialer
	peerAddresses func() []string
	logger        log.Logger

	mu              sync.Mutex
	latestStreamIDs map[string]uint64
}

// NewExchange returns an exchange that is not yet running. The epoch must grow
// with each start of the member. Peers returns the addresses of the other members
// at the time of the call.
func NewExchange(registry *Registry, member string, epoch uint64, dial Dialer, peerAddresses func() []string, logger log.Logger) *Exchange {
	return &Exchange{
		registry: registry, member: member, epoch: epoch, dial: dial, peerAddresses: peerAddresses, logger: logger,
		latestStreamIDs: map[string]uint64{},
	}
}

// Run keeps a stream to each of the other members until ctx ends.
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

func (e *Exchange) maintainStream(ctx context.Context, address string) {
	backoff := reconnectBackoffMin
	for ctx.Err() == nil {
		connected, err := e.sendUpdates(ctx, address)
		if ctx.Err() != nil {
			return
		}
		_ = level.Debug(e.logger).Log("msg", "registry stream ended", "member", address, "err", err)
		if connected {
			backoff = reconnectBackoffMin
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, reconnectBackoffMax)
	}
}

// sendUpdates keeps one stream to a member. It reports whether the stream was opened.
func (e *Exchange) sendUpdates(ctx context.Context, address string) (connected bool, err error) {
	stream, err := e.dial(ctx, address)
	if err != nil {
		return false, errors.Wrap(err, "membership: connect")
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
		update, next, changed := e.registry.UpdateSince(version)
		update.Member, update.Epoch = e.member, e.epoch
		if err := conn.SendNow(&wire.Envelope{Body: &wire.Envelope_RegistryUpdate{RegistryUpdate: update}}); err != nil {
			return true, errors.Wrap(err, "membership: send update")
		}
		version = next
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

// ServeStream takes the updates of another member until the stream ends. The
// first message is its first update.
func (e *Exchange) ServeStream(first *wire.Envelope, conn *frame.Conn) error {
	member := first.GetRegistryUpdate().GetMember()
	if member == "" || member == e.member {
		return errors.WithMessage(frame.ErrUnexpected, "registry update of no other member")
	}
	e.mu.Lock()
	e.latestStreamIDs[member]++
	streamID := e.latestStreamIDs[member]
	e.mu.Unlock()
	defer e.streamEnded(member, streamID)
	for message := first; ; {
		update := message.GetRegistryUpdate()
		if update.GetMember() != member {
			return errors.WithMessage(frame.ErrUnexpected, "on a registry stream")
		}
		e.registry.Merge(time.Now(), update)
		var err error
		if message, err = conn.Receive(); err != nil {
			return errors.Wrap(err, "membership: receive update")
		}
	}
}

// streamEnded reports a lost member unless it has opened a newer stream.
func (e *Exchange) streamEnded(member string, streamID uint64) {
	e.mu.Lock()
	latest := e.latestStreamIDs[member] == streamID
	e.mu.Unlock()
	if latest {
		e.registry.MemberLost(time.Now(), member)
		_ = level.Warn(e.logger).Log("msg", "registry of a member lost", "member", member)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
