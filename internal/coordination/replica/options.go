package replica

import (
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/state/wal"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// defaultTickInterval is the default length of a tick, the time unit of the consensus
	// core. The durations below that derive from ticks assume it.
	defaultTickInterval = 50 * time.Millisecond
	// electionTimeoutTicks is the shortest election timeout. Timeouts are random between
	// 500 ms and 1 s.
	electionTimeoutTicks = 10
	// firstElectionTimeoutTicks, 150 ms, is the shortest first election timeout after a
	// start. It lets members that start together elect a leader within half a second.
	firstElectionTimeoutTicks = 3
	// heartbeatIntervalTicks is the interval between heartbeats. A follower can miss four
	// of them before its shortest election timeout.
	heartbeatIntervalTicks = 2
	// writeStallTicks is the time, 2 s, after which a leader steps down if a write to its
	// disk has not finished, because it could neither apply entries nor respond.
	writeStallTicks = 40
	// snapshotRetryTicks is the time, 30 s, after which an unacknowledged snapshot is sent again.
	snapshotRetryTicks = 600
	// maxAppendBytes bounds the total size of the entries in one message between members.
	maxAppendBytes = 512 << 10
	// maxInFlightAppends bounds the unacknowledged append messages to one member.
	maxInFlightAppends = 32
	// maxApplyBytes bounds the total size of the entries that the state machine applies
	// in one batch.
	maxApplyBytes = 1 << 20
	// MaxCommandBytes bounds the size of one command.
	MaxCommandBytes = 1 << 20

	// defaultSnapshotIntervalEntries is the default number of entries between two snapshots.
	defaultSnapshotIntervalEntries = 10_000
	// retainedEntries is the number of entries that stay in memory after a snapshot for
	// members that lag slightly, so that they need no snapshot.
	retainedEntries = 2_000

	// maxPendingRequests bounds the proposals that wait for a quorum and, separately, the
	// reads that do. Further ones wait in Propose or ReadIndex until their context ends.
	maxPendingRequests = 4096
	// maxPendingCommandBytes bounds the total size of the commands of the pending
	// proposals in the same way.
	maxPendingCommandBytes = 64 << 20
	// maxBatchItems bounds the queued proposals, or the queued messages from peers, that
	// are handled before the next write to the log. It is also the capacity of the
	// channels of proposals and reads.
	maxBatchItems = 512

	// leaderWaitTimeout bounds how long Propose and ReadIndex wait for a leader before they
	// return ErrNotLeader.
	leaderWaitTimeout = 3 * time.Second
	// leaderPollInterval is the interval at which Propose and ReadIndex check for a leader,
	// and at which a membership change is retried while an earlier one is uncommitted.
	leaderPollInterval = 20 * time.Millisecond
	// forwardTimeout bounds the processing of a forwarded request on the leader.
	forwardTimeout = 10 * time.Second
	// drainTimeout bounds each step of a graceful stop.
	drainTimeout = time.Second
	// forwardQuietPeriod is the time without a forwarded request after which a stopped leader
	// assumes that all members know the new one.
	forwardQuietPeriod = 100 * time.Millisecond
	// drainPollInterval is the interval at which a graceful stop checks for progress.
	drainPollInterval = 5 * time.Millisecond
	// joinRetryInterval is the delay between attempts to create or join a cluster.
	joinRetryInterval = 200 * time.Millisecond
	// joinRequestTimeout bounds one request to another member while this one creates or
	// joins a cluster, and the membership changes that a join request causes on the leader.
	joinRequestTimeout = time.Second
	// rejoinDelay is the time without contact to a leader after which a member asks to be
	// added again. An election takes less.
	rejoinDelay = 2 * time.Second
)

var (
	// ErrCommandTooLarge reports a command larger than MaxCommandBytes. The command has
	// not taken effect.
	ErrCommandTooLarge = errors.New("replica: command is too large")
	// ErrInvalidOptions reports Options that lack a required value.
	ErrInvalidOptions = errors.New("replica: invalid options")
)

// Options hold the settings of a member.
type Options struct {
	// DataDir is the directory of the log, the snapshots and the member's identity.
	DataDir string
	// Address is the mesh address at which other members reach this one.
	Address string
	// Bootstrap lists the mesh addresses of the initial members, including this one, in
	// the same order on each member. It is used only while this member belongs to no
	// cluster. The member with the first address creates the cluster once all others have
	// responded. A list of one address creates a cluster at once, so every member of a
	// larger cluster must list all addresses.
	Bootstrap []string
	// JoinAddresses lists mesh addresses of running members that this member asks to be
	// added to their cluster.
	JoinAddresses []string
	// TargetVoters is the number of voters that the cluster keeps, an odd number; further
	// members are learners that replace silent voters. Default 5.
	TargetVoters int
	// StateMachine is the replicated state machine.
	StateMachine StateMachine
	// Mesh opens streams to the other members.
	Mesh *mesh.Client
	// Logger receives log messages; nil discards them.
	Logger log.Logger
	// TickInterval is the time unit of timeouts: an election timeout is 10 to 20 ticks,
	// and heartbeats are 2 ticks apart. Default 50 ms.
	TickInterval time.Duration
	// SnapshotIntervalEntries is the number of entries between two snapshots; default 10,000.
	SnapshotIntervalEntries uint64

	// fs replaces the operating system's file system when it is not nil.
	fs wal.FS
}

func (o *Options) setDefaults() error {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.SnapshotIntervalEntries == 0 {
		o.SnapshotIntervalEntries = defaultSnapshotIntervalEntries
	}
	if o.TargetVoters == 0 {
		o.TargetVoters = defaultTargetVoters
	}
	switch {
	case o.TargetVoters < 0 || !isOdd(o.TargetVoters):
		return errors.WithMessage(ErrInvalidOptions, "TargetVoters is not a positive odd number")
	case o.DataDir == "":
		return errors.WithMessage(ErrInvalidOptions, "DataDir is empty")
	case o.Address == "":
		return errors.WithMessage(ErrInvalidOptions, "Address is empty")
	case o.StateMachine == nil || o.Mesh == nil:
		return errors.WithMessage(ErrInvalidOptions, "StateMachine and Mesh must be set")
	}
	return nil
}
