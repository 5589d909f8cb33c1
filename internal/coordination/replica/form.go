package replica

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/state/wal"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// formCluster creates or joins a cluster. It runs while this member's log holds no
// configuration.
//
// Only the member with the first address of Bootstrap creates a cluster. It asks all
// others for their random member IDs and whether they belong to a cluster. Only if
// every one responds, and none belongs to a cluster, it writes the initial
// configuration, with all of them as voters, and starts the log. A member whose data
// directory was lost therefore cannot create a second cluster while any other member
// keeps its own: it learns of the existing cluster, or waits for the members that do
// not respond. A command is accepted only once it is durable on a quorum, and so on at
// least one member besides the creator.
//
// A member that has not created a cluster asks the addresses of Bootstrap and Join to
// add it as a learner. The leader does nothing if the member is in the configuration
// already.
func (r *Replica) formCluster() {
	for r.ctx.Err() == nil && len(r.Status().Members) == 0 {
		if r.isCreator() && r.createCluster() {
			return
		}
		r.requestJoin()
		select {
		case <-r.ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
}

func (r *Replica) isCreator() bool {
	bootstrap := r.options.Bootstrap
	return len(bootstrap) > 0 && bootstrap[0] == r.options.Address && r.clusterID() == 0
}

// SetJoinAddresses replaces Options.JoinAddresses, the addresses of the members that this
// one asks to be added while it belongs to no cluster.
func (r *Replica) SetJoinAddresses(addresses []string) { r.joinAddresses.Store(&addresses) }

// createCluster writes the initial configuration. It returns false if that was not safe,
// because another member did not respond or belongs to a cluster, or if it failed.
func (r *Replica) createCluster() bool {
	configuration := raft.Configuration{Members: []raft.Member{{ID: r.id, Address: r.options.Address}}}
	for _, address := range r.withoutSelf(r.options.Bootstrap) {
		response, err := r.exchangeIdentity(address, payloadIdentityRequest)
		if err != nil || response.clusterID != 0 {
			return false
		}
		configuration.Members = append(configuration.Members, raft.Member{ID: response.memberID, Address: address})
	}
	slices.SortFunc(configuration.Members, func(a, b raft.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return r.runInLoop(r.ctx, func() { r.writeInitialLog(configuration) }) && r.clusterID() != 0
}

// writeInitialLog writes the cluster's first entry before the cluster ID. After a crash
// between the two no other member knows the ID, and the next start generates another.
func (r *Replica) writeInitialLog(configuration raft.Configuration) {
	clusterID, err := randomID()
	if err != nil {
		r.fail(err)
		return
	}
	r.identityMu.Lock()
	defer r.identityMu.Unlock()
	if r.identity.ClusterID != 0 {
		// A member of a running cluster has added this one in the meantime.
		return
	}
	entry := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryConfig, Data: raft.EncodeConfiguration(configuration)}
	hardState := raft.HardState{Term: 1}
	if err := r.store.Append(&hardState, []raft.Entry{entry}); err != nil {
		r.fail(errors.WithMessage(err, "replica: write first entry of new cluster"))
		return
	}
	if err := r.saveIdentity(wal.Identity{MemberID: r.id, ClusterID: clusterID}); err != nil {
		r.fail(err)
		return
	}
	r.initialState <- raft.State{HardState: hardState, Entries: []raft.Entry{entry}}
}

// requestJoin asks the known members to add this one. If a response names the leader,
// it repeats the request there.
func (r *Replica) requestJoin() {
	for _, address := range r.joinTargets() {
		response, err := r.exchangeIdentity(address, payloadJoinRequest)
		if err != nil || response.address == "" || response.address == address {
			continue
		}
		_, err = r.exchangeIdentity(response.address, payloadJoinRequest)
		if err == nil {
			return
		}
	}
}

// joinTargets returns the addresses of all members that this one knows of, without
// duplicates.
func (r *Replica) joinTargets() []string {
	addresses := append(slices.Clone(r.options.Bootstrap), *r.joinAddresses.Load()...)
	for _, m := range r.Status().Members {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return r.withoutSelf(slices.Compact(addresses))
}

// rejoinWhenRemoved asks to be added again while no leader is in contact with this member.
// A member that was replaced during an absence learns nothing of it from its own log, and
// the others ignore its elections. It becomes a learner, ready to replace another voter.
func (r *Replica) rejoinWhenRemoved() {
	lastContact := time.Now()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(joinRetryInterval):
		}
		s := r.Status()
		if s.QuorumContact || len(s.Members) == 0 {
			lastContact = time.Now()
			continue
		}
		if time.Since(lastContact) >= rejoinDelay {
			r.requestJoin()
		}
	}
}

func (r *Replica) withoutSelf(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == r.options.Address })
}

// exchangeIdentity sends this member's identity as a request of the given kind and
// returns the response.
func (r *Replica) exchangeIdentity(address string, kind byte) (identityMessage, error) {
	ctx, cancel := context.WithTimeout(r.ctx, joinRequestTimeout)
	defer cancel()
	stream, err := r.options.Mesh.Open(ctx, address, mesh.Small)
	if err != nil {
		return identityMessage{}, err
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	conn := frame.NewConn(stream)
	request := identityMessage{memberID: r.id, clusterID: r.clusterID(), address: r.options.Address}
	if err := conn.SendAndFlush(raftEnvelope(r.id, 0, request.encode(kind))); err != nil {
		return identityMessage{}, err
	}
	envelope, err := conn.Receive()
	if err != nil {
		return identityMessage{}, err
	}
	payload := envelope.GetRaft().GetPayload()
	if len(payload) == 0 || payload[0] != payloadIdentityResponse {
		return identityMessage{}, errMalformedPayload
	}
	return decodeIdentityMessage(payload)
}

// serveIdentityExchange responds to a member that creates or joins a cluster.
func (r *Replica) serveIdentityExchange(ctx context.Context, payload []byte, conn *frame.Conn) error {
	request, err := decodeIdentityMessage(payload)
	if err != nil {
		return err
	}
	clusterID := r.clusterID()
	if request.clusterID != 0 && request.clusterID != clusterID {
		return ErrOtherCluster
	}
	switch {
	case clusterID == 0:
	case payload[0] == payloadJoinRequest:
		r.addLearner(ctx, request)
	case payload[0] == payloadStopNotice:
		r.runInLoop(ctx, func() { r.loop.markStopping(request.memberID) })
	}
	response := identityMessage{memberID: r.id, clusterID: clusterID}
	if leader, ok := r.leader(); ok {
		response.address = leader.Address
	}
	return conn.SendAndFlush(raftEnvelope(r.id, request.memberID, response.encode(payloadIdentityResponse)))
}

// addLearner adds a joining member to the configuration if this member leads. A learner
// with the same address lost its data before it was promoted; it is removed at once, so
// that repeated data loss does not accumulate learners. A voter with the same address
// is removed as planMemberChange decides.
func (r *Replica) addLearner(ctx context.Context, request identityMessage) {
	s := r.Status()
	isMember := slices.ContainsFunc(s.Members, func(m Member) bool { return m.ID == request.memberID })
	if s.Leader != r.id || isMember || request.memberID == 0 || request.address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinRequestTimeout)
	defer cancel()
	for _, m := range s.Members {
		if !m.Learner || m.Address != request.address {
			continue
		}
		if err := r.RemoveMember(ctx, m.ID); err != nil {
			return
		}
	}
	err := r.AddMember(ctx, request.memberID, request.address)
	_ = level.Info(r.logger).Log("msg", "processed the join request of a member", "member", request.memberID, "address", request.address, "err", err)
}
