package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/quota"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// quotaReplyTimeout bounds the wait for the owner's answer to a report, and the opening
	// of a stream to it.
	quotaReplyTimeout = time.Second
	// quotaRetryDelay is the delay before a stream to the owner is opened again.
	quotaRetryDelay = 100 * time.Millisecond
)

// errNotOwner ends a stream with quota reports to a member that does not lead.
var errNotOwner = errors.New("control: this member does not own the quotas")

// quotaService sums the quota reports of the nodes of a member and sends them to the owner
// of the quotas. The owner is the leader of the replicated log; its own reports take no
// stream.
type quotaService struct {
	id        string
	bound     quota.Bound
	status    func() replica.Status
	view      func() *document.View
	dial      func(ctx context.Context, address string) (frameStream, error)
	collector *quota.Collector
	logger    log.Logger

	mu sync.Mutex
	// allocator is that of the term in which this member leads, nil in others.
	allocator *quota.Allocator
	term      uint64
	// limits are those of the organisations with a rate in limitsRevision.
	limits         map[string]quota.Limit
	limitsRevision uint64
}

// frameStream is a stream of messages to another member.
type frameStream interface {
	SendAndFlush(message *wire.Envelope) error
	Receive() (*wire.Envelope, error)
	SetReadDeadline(t time.Time) error
	Close() error
}

// meshFrameStream is a frameStream over the mesh.
type meshFrameStream struct {
	*frame.Conn
	stream interface {
		SetReadDeadline(t time.Time) error
		Close() error
	}
}

// SetReadDeadline bounds the wait of Receive.
func (s meshFrameStream) SetReadDeadline(t time.Time) error { return s.stream.SetReadDeadline(t) }

// Close closes the stream.
func (s meshFrameStream) Close() error { return s.stream.Close() }

func (c *Control) newQuotaService() *quotaService {
	start := uint64(time.Now().UnixNano()) //nolint:gosec // positive since 1970
	s := c.settings
	window := time.Duration(s.QuotaWindowS * float64(time.Second))
	return &quotaService{
		id:     s.ID,
		bound:  quota.Bound{Window: window, Overage: s.QuotaOverage, Slack: s.QuotaSlack}.WithDefaults(),
		status: c.replicatedLog.Status,
		view:   c.documentMachine.View,
		dial: func(ctx context.Context, address string) (frameStream, error) {
			stream, err := c.meshClient.Open(ctx, address, mesh.Control)
			if err != nil {
				return nil, errors.Wrap(err, "control: connect to the owner of the quotas")
			}
			return meshFrameStream{frame.NewConn(stream), stream}, nil
		},
		collector: quota.NewCollector(s.ID, start, c.registry.IsElsewhere),
		logger:    c.logger,
	}
}

// updateLimits reads the limits of the current revision. It returns false while no
// organisation has a rate.
func (q *quotaService) updateLimits(now time.Time) bool {
	view := q.view()
	q.mu.Lock()
	defer q.mu.Unlock()
	if view.Revision == q.limitsRevision {
		return len(q.limits) > 0
	}
	q.limitsRevision, q.limits = view.Revision, map[string]quota.Limit{}
	for name, organisation := range view.Document.Organisations {
		if organisation.RatePerSecond > 0 {
			q.limits[name] = quota.Limit{Rate: organisation.RatePerSecond, Burst: organisation.Burst}
		}
	}
	if q.allocator != nil {
		q.allocator.SetLimits(now, q.limits)
	}
	return len(q.limits) > 0
}

// ownedAllocator returns the allocator if this member leads with a quorum, otherwise nil. A
// new term begins with a new one; a leader that loses its quorum for a moment keeps its own.
func (q *quotaService) ownedAllocator(now time.Time) *quota.Allocator {
	status := q.status()
	q.mu.Lock()
	defer q.mu.Unlock()
	if status.Leader != status.ID {
		q.allocator = nil
		return nil
	}
	if !status.QuorumContact {
		return nil
	}
	if q.allocator == nil || q.term != status.Term {
		q.allocator, q.term = quota.NewAllocator(q.bound), status.Term
		q.allocator.SetLimits(now, q.limits)
		_ = level.Info(q.logger).Log("msg", "owner of the quotas", "term", status.Term, "organisations", len(q.limits))
	}
	return q.allocator
}

// run exchanges reports and grants with the owner until ctx ends.
func (q *quotaService) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !q.updateLimits(time.Now()) {
			sleepFor(ctx, quotaRetryDelay)
			continue
		}
		q.collector.Connect()
		if q.ownedAllocator(time.Now()) != nil {
			q.runOwner(ctx)
			continue
		}
		if err := q.runMember(ctx); err != nil && ctx.Err() == nil {
			_ = level.Debug(q.logger).Log("msg", "exchange with the owner of the quotas ended", "err", err)
		}
		sleepFor(ctx, quotaRetryDelay)
	}
}

// runOwner hands the reports of this member to its own allocator while it leads.
func (q *quotaService) runOwner(ctx context.Context) {
	var owned *quota.Allocator
	for ctx.Err() == nil && q.updateLimits(time.Now()) {
		now := time.Now()
		allocator := q.ownedAllocator(now)
		if allocator == nil || owned != nil && owned != allocator {
			return
		}
		owned = allocator
		report := q.collector.Report(now)
		if report != nil {
			allocator.Observe(now, report)
			q.collector.Apply(now, allocator.Grant(now, report.GetSequence()))
		}
		sleepFor(ctx, quota.MemberDelay(report))
	}
}

// runMember sends the reports of this member to the leader and applies its grants, until the
// leader changes or the stream ends.
func (q *quotaService) runMember(ctx context.Context) error {
	status := q.status()
	address := leaderAddress(status)
	if address == "" || status.Leader == status.ID {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, quotaReplyTimeout)
	stream, err := q.dial(dialCtx, address)
	cancel()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	for ctx.Err() == nil && q.updateLimits(time.Now()) && q.status().Leader == status.Leader {
		report := q.collector.Report(time.Now())
		if err := q.exchange(stream, report); err != nil {
			return err
		}
		sleepFor(ctx, quota.MemberDelay(report))
	}
	return nil
}

// exchange sends one report and applies the answer.
func (q *quotaService) exchange(stream frameStream, report *wire.QuotaReport) error {
	if report == nil {
		return nil
	}
	if err := stream.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: report}}); err != nil {
		return errors.Wrap(err, "control: send quota report")
	}
	if err := stream.SetReadDeadline(time.Now().Add(quotaReplyTimeout)); err != nil {
		return errors.Wrap(err, "control: bound the wait for a quota grant")
	}
	message, err := stream.Receive()
	if err != nil {
		return errors.Wrap(err, "control: receive quota grant")
	}
	if message.GetQuotaGrant() == nil {
		return errors.WithMessage(frame.ErrUnexpected, "owner of the quotas sent no grant")
	}
	q.collector.Apply(time.Now(), message.GetQuotaGrant())
	return nil
}

func leaderAddress(status replica.Status) string {
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return member.Address
		}
	}
	return ""
}

// messageConn receives and sends messages; *frame.Conn implements it.
type messageConn interface {
	SendAndFlush(message *wire.Envelope) error
	Receive() (*wire.Envelope, error)
}

// serveStream answers the reports of another member while this one is the owner.
func (q *quotaService) serveStream(first *wire.Envelope, conn messageConn) error {
	for message := first; ; {
		report := message.GetQuotaReport()
		if report == nil {
			return errors.WithMessage(frame.ErrUnexpected, "stream with quota reports carries a message of another type")
		}
		now := time.Now()
		q.updateLimits(now)
		allocator := q.ownedAllocator(now)
		if allocator == nil {
			return errNotOwner
		}
		allocator.Observe(now, report)
		grant := allocator.Grant(now, report.GetSequence())
		if err := conn.SendAndFlush(&wire.Envelope{Body: &wire.Envelope_QuotaGrant{QuotaGrant: grant}}); err != nil {
			return errors.Wrap(err, "control: send quota grant")
		}
		var err error
		if message, err = conn.Receive(); err != nil {
			return errors.Wrap(err, "control: receive quota report")
		}
	}
}

// sleepFor waits for d or until ctx ends.
func sleepFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
