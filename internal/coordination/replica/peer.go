package replica

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// maxOutboxMessages bounds the messages that are queued for sending to one peer.
	maxOutboxMessages = 256
	// maxLearnedAddresses bounds the stored addresses of members outside the configuration.
	maxLearnedAddresses = 32
	// sendTimeout bounds one batch of writes to a peer.
	sendTimeout = 2 * time.Second
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 5 * time.Minute
	// reconnectDelay is the pause after a failed or closed connection, which bounds the
	// cost of an unreachable peer.
	reconnectDelay = 100 * time.Millisecond
)

// peer sends messages to another member. One goroutine sends ordinary messages; another
// sends snapshots, each on a connection of its own.
type peer struct {
	r         *Replica
	id        uint64
	address   string
	outbox    chan raft.Message
	snapshots chan raft.Message
	ctx       context.Context
	stop      context.CancelFunc
	// reportSnapshotFailure reports to the core that a snapshot could not be sent.
	reportSnapshotFailure func()
}

// send queues messages for the peers they are addressed to. It drops those to members
// without a known address.
func (l *loop) send(messages []raft.Message) {
	for _, m := range messages {
		p := l.peerFor(m.To)
		if p == nil {
			continue
		}
		queue := p.outbox
		if m.Kind == raft.MsgSnapshot {
			queue = p.snapshots
		}
		select {
		case queue <- m:
		default:
			// The queue is full. The core sends again what is still needed.
		}
	}
}

// peerFor returns the peer for a member and starts its goroutines if necessary. It
// returns nil for a member without a known address.
func (l *loop) peerFor(id uint64) *peer {
	p := l.peers[id]
	if p != nil {
		return p
	}
	address := l.addressOf(id)
	if address == "" {
		return nil
	}
	p = &peer{
		r:         l.r,
		id:        id,
		address:   address,
		outbox:    make(chan raft.Message, maxOutboxMessages),
		snapshots: make(chan raft.Message, 1),
	}
	p.ctx, p.stop = context.WithCancel(l.r.ctx)
	p.reportSnapshotFailure = func() {
		l.r.runInLoop(p.ctx, func() { l.core.ReportSnapshotFailure(id) })
	}
	l.peers[id] = p
	l.r.startGoroutine(p.sendLoop)
	l.r.startGoroutine(p.snapshotLoop)
	return p
}

// addressOf returns a member's address, or "" if it is unknown.
func (l *loop) addressOf(id uint64) string {
	if member, ok := l.core.Status().Configuration.Find(id); ok {
		return member.Address
	}
	return l.learnedAddresses[id]
}

// learnAddress stores the address of a member that is not in the configuration of this
// member's log yet.
func (l *loop) learnAddress(id uint64, address string) {
	if _, ok := l.core.Status().Configuration.Find(id); !ok && len(l.learnedAddresses) < maxLearnedAddresses {
		l.learnedAddresses[id] = address
	}
}

// stopUnusedPeers stops the peers whose member was removed or changed its address. It
// also deletes learned addresses of members that are in the configuration now.
func (l *loop) stopUnusedPeers() {
	for _, m := range l.core.Status().Configuration.Members {
		delete(l.learnedAddresses, m.ID)
	}
	for id, p := range l.peers {
		if l.addressOf(id) != p.address {
			p.stop()
			delete(l.peers, id)
		}
	}
}

func (p *peer) sendLoop() {
	for p.ctx.Err() == nil {
		stream, err := p.r.options.Mesh.Open(p.ctx, p.address, mesh.Small)
		if err == nil {
			p.sendMessages(stream)
		}
		p.waitToReconnect()
	}
}

// waitToReconnect waits for reconnectDelay, then drops the queued messages, which would
// be out of date on a new connection.
func (p *peer) waitToReconnect() {
	select {
	case <-p.ctx.Done():
	case <-time.After(reconnectDelay):
	}
	for {
		select {
		case <-p.outbox:
		default:
			return
		}
	}
}

// sendMessages sends queued messages until the stream fails or the peer closes it.
func (p *peer) sendMessages(stream net.Conn) {
	defer func() { _ = stream.Close() }()
	conn := p.newConn(stream)
	hello := identityMessage{memberID: p.r.id, address: p.r.options.Address}
	if conn.Send(raftEnvelope(p.r.id, p.id, hello.encode(payloadHello))) != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		// The peer never sends on this stream, so any return means that the stream has ended.
		_, _ = conn.Receive()
		close(closed)
	}()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-closed:
			return
		case m := <-p.outbox:
			if p.sendBatch(stream, conn, m) != nil {
				return
			}
		}
	}
}

// sendBatch sends a message and those queued after it, then flushes the stream.
func (p *peer) sendBatch(stream net.Conn, conn *frame.Conn, m raft.Message) error {
	if err := stream.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	for {
		if err := sendParts(conn, p.r.id, m.To, raft.EncodeMessage(m)); err != nil {
			return err
		}
		select {
		case m = <-p.outbox:
			continue
		default:
		}
		return conn.Flush()
	}
}

func (p *peer) newConn(stream net.Conn) *frame.Conn {
	conn := frame.NewConn(stream)
	conn.BindAttempt(encodeClusterID(p.r.clusterID()))
	return conn
}

func (p *peer) snapshotLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-p.snapshots:
			if err := p.sendSnapshot(m); err != nil {
				_ = level.Warn(p.r.logger).Log("msg", "failed to send a snapshot to a member", "member", m.To, "err", err)
				p.waitToReconnect()
				p.reportSnapshotFailure()
			}
		}
	}
}

// sendSnapshot sends this member's newest snapshot. The peer acknowledges the snapshot
// with a message to the core once it is durable there.
func (p *peer) sendSnapshot(m raft.Message) error {
	snapshot, err := p.r.store.LoadSnapshot()
	if err != nil {
		return err
	}
	m.Snapshot = &snapshot
	ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
	defer cancel()
	stream, err := p.r.options.Mesh.Open(ctx, p.address, mesh.Bulk)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	conn := p.newConn(stream)
	if err := sendParts(conn, p.r.id, m.To, raft.EncodeMessage(m)); err != nil {
		return err
	}
	return conn.Flush()
}
