package replica

import (
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/state/wal"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

const (
	// defaultTickInterval is the unit of the consensus core's time.
	defaultTickInterval = 50 * time.Millisecond
	// electionTimeoutTicks makes election timeouts random between 500 ms and 1 s.
	electionTimeoutTicks = 10
	// firstElectionTimeoutTicks makes the first timeout after a start 150 ms at least, so that members
	// which start together have a leader within half a second.
	firstElectionTimeoutTicks = 3
	// heartbeatIntervalTicks lets a follower miss four heartbeats before its shortest timeout.
	heartbeatIntervalTicks = 2
	// writeStallTicks, 2 s, is the time after which a leader whose disk does not finish
	// a write steps down, because it could neither apply nor answer.
	writeStallTicks = 40
	// snapshotRetryTicks, 30 s, is the time after which an unacknowledged snapshot is sent again.
	snapshotRetryTicks = 600
	// maxAppendBytes bounds the entries of one message between members.
	maxAppendBytes = 512 << 10
	// maxInFlightAppends bounds the appends to one member that are not acknowledged.
	maxInFlightAppends = 32
	// maxApplyBytes bounds the entries that the state machine applies in one batch.
	maxApplyBytes = 1 << 20
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 1 << 20

	// defaultSnapshotIntervalEntries is the number of entries between two snapshots.
	defaultSnapshotIntervalEntries = 10_000
	// retainedEntries stay in memory after a snapshot for members that lag a little.
	retainedEntries = 2_000

	// maxPendingRequests bounds the proposals that wait for a quorum. Further ones wait in
	// Propose until their context ends.
	maxPendingRequests = 4096
	// maxPendingCommandBytes bounds the size of their commands in the same way.
	maxPendingCommandBytes = 64 << 20
	// maxBatchItems bounds the proposals taken from the queue for one write.
	maxBatchItems = 512

	// leaderWaitTimeout is how long Propose and Confirm wait for a leader to be elected
	// before they return ErrNotLeader.
	leaderWaitTimeout = 3 * time.Second
	// leaderPollInterval is the interval at which they look for one.
	leaderPollInterval = 20 * time.Millisecond
	// forwardTimeout bounds the work of the leader on a forwarded proposal.
	forwardTimeout = 10 * time.Second
	// drainTimeout bounds each step of a graceful stop.
	drainTimeout = time.Second
	// drainPollInterval is the interval at which it looks for progress.
	drainPollInterval = 5 * time.Millisecond
	// joinRetryInterval is the pause between attempts to create or join a cluster.
	joinRetryInterval = 200 * time.Millisecond
	// joinRequestTimeout bounds one question to another member while joining.
	joinRequestTimeout = time.Second
)

var (
	// ErrCommandTooLarge reports a command above MaxCommandBytes. It has not taken effect.
	ErrCommandTooLarge = errors.New("replica: command is too large")
	// ErrInvalidOptions reports options that do not fit together.
	ErrInvalidOptions = errors.New("replica: invalid options")
)

// Options hold the settings of a member.
type Options struct {
	// DataDir holds the log, snapshots and the member's identity.
	DataDir string
	// Address is the mesh address under which other members reach this one.
	Address string
	// Bootstrap names the mesh addresses of the first members, this one included,
	// in the same order on each. It is read only while this member belongs to no
	// cluster. The first address creates the cluster once all others answer; a list
	// of one address creates a cluster at once, so a larger cluster must list all.
	Bootstrap []string
	// Join names mesh addresses of running members for a member that joins them.
	Join []string
	// Machine is the replicated state.
	Machine StateMachine
	// Mesh opens streams to the other members.
	Mesh *mesh.Client
	// Logger defaults to none.
	Logger log.Logger
	// TickInterval is the unit of timeouts: an election timeout is 10 to 20 ticks and
	// a heartbeat is sent every 2. Default 50 ms.
	TickInterval time.Duration
	// SnapshotIntervalEntries is the number of entries between snapshots; default 10,000.
	SnapshotIntervalEntries uint64

	// fs replaces the operating system's filesystem when it is not nil.
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
	switch {
	case o.DataDir == "":
		return errors.WithMessage(ErrInvalidOptions, "DataDir is empty")
	case o.Address == "":
		return errors.WithMessage(ErrInvalidOptions, "Address is empty")
	case o.Machine == nil || o.Mesh == nil:
		return errors.WithMessage(ErrInvalidOptions, "Machine and Mesh must be set")
	}
	return nil
}
