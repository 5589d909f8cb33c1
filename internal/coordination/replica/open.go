package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math/big"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/raft"
	"github.com/chicorylever/chicorylever/internal/state/wal"
)

// Replica is a member of the replicated log. It implements Proposer.
//
// One goroutine, the event loop, owns the consensus core. Other goroutines write the
// log, apply entries, save snapshots and send to each peer. They communicate through
// bounded channels:
//
//   - inbox (messages from peers): if full, the message is dropped; Raft sends it again.
//   - proposals, reads, loopCalls: if full, the caller waits until its context ends.
//   - logWrites, applyRequests, snapshotSaves: at most one item is in progress; the core
//     keeps the rest.
//   - outbox of a peer: if full, the message is dropped.
type Replica struct {
	options Options
	// joinAddresses are the addresses from Options.JoinAddresses or SetJoinAddresses.
	joinAddresses atomic.Pointer[[]string]
	logger        log.Logger
	store         *wal.Log
	// logGeneration counts the logs of this member: each corrupt one was replaced by the next.
	logGeneration int
	id            uint64

	identityMu sync.Mutex
	identity   wal.Identity

	inbox          chan raft.Message
	proposals      chan *proposal
	reads          chan *readRequest
	loopCalls      chan func()
	logWrites      chan raft.Ready
	logWritesDone  chan raft.Ready
	applyRequests  chan applyRequest
	applyResults   chan applyResult
	snapshotSaves  chan raft.Snapshot
	snapshotsSaved chan raft.SnapshotMeta

	// initialState carries the initial state of a cluster that this member created.
	initialState chan raft.State

	// loop is for functions passed to runInLoop, which run in the loop's goroutine.
	loop         *loop
	status       atomic.Pointer[Status]
	appliedIndex watermark

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	closing    atomic.Bool
	// pendingForwards counts the forwarded requests that have no response yet.
	pendingForwards atomic.Int64
	// lastForward is when the last forwarded request arrived, in Unix nanoseconds.
	lastForward atomic.Int64
	closeOnce   sync.Once
	closeErr    error

	failOnce sync.Once
	failErr  error
	// failed is closed when an error, failErr, has stopped the member.
	failed chan struct{}
}

// Open starts the member whose data is in DataDir. In an empty directory it creates a
// random member ID; the member then creates or joins a cluster in the background (see
// formCluster). A member whose log is corrupt joins its cluster again with a new ID and an
// empty log. Open returns ErrInvalidOptions, an error of package wal, or the error
// of the state machine's Restore.
func Open(options Options) (*Replica, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	store, contents, err := wal.OpenNewest(wal.Options{Dir: options.DataDir, FS: options.fs})
	if err != nil {
		return nil, errors.WithMessage(err, "replica: open log")
	}
	logReplacedLog(options.Logger, contents)
	r, err := startReplica(options, store, contents)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return r, nil
}

// logReplacedLog logs the corruption that made this start replace the member's log.
func logReplacedLog(logger log.Logger, contents wal.Contents) {
	if corruption := contents.Corruption; corruption != nil {
		_ = level.Error(logger).Log("msg", "log is corrupt; the member joins its cluster again with a new ID and an empty log",
			"file", corruption.File, "offset", corruption.Offset, "reason", corruption.Reason, "generation", contents.Generation)
	}
}

func startReplica(options Options, store *wal.Log, contents wal.Contents) (*Replica, error) {
	r := newReplica(options, store)
	r.logGeneration = contents.Generation
	if err := r.loadIdentity(contents); err != nil {
		return nil, err
	}
	if contents.Snapshot.Meta.Index > 0 {
		if err := options.StateMachine.Restore(contents.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "replica: restore state machine from snapshot")
		}
	}
	if r.identity.ClusterID == 0 && len(contents.Entries) > 0 {
		// A crash interrupted the creation of the cluster after its first entry was written.
		clusterID, err := randomID()
		if err != nil {
			return nil, err
		}
		if !r.bindToCluster(clusterID) {
			return nil, errors.WithMessage(r.Err(), "replica: record cluster ID")
		}
	}
	core, err := raft.New(coreConfig(r.id), contents.State())
	if err != nil {
		return nil, errors.WithMessage(err, "replica: start consensus core")
	}
	r.appliedIndex.advance(contents.Snapshot.Meta.Index)
	l := newLoop(r, core)
	r.loop = l
	l.publishStatus()
	r.startGoroutine(l.run)
	r.startGoroutine(r.writeLoop)
	r.startGoroutine(r.applyLoop)
	r.startGoroutine(r.saveLoop)
	if len(r.Status().Members) == 0 {
		r.startGoroutine(r.formCluster)
	}
	r.startGoroutine(r.rejoinWhenRemoved)
	return r, nil
}

func newReplica(options Options, store *wal.Log) *Replica {
	r := &Replica{
		options:        options,
		logger:         options.Logger,
		store:          store,
		inbox:          make(chan raft.Message, 1024),
		proposals:      make(chan *proposal, maxBatchItems),
		reads:          make(chan *readRequest, maxBatchItems),
		loopCalls:      make(chan func(), 16),
		logWrites:      make(chan raft.Ready, 1),
		logWritesDone:  make(chan raft.Ready, 1),
		applyRequests:  make(chan applyRequest, 1),
		applyResults:   make(chan applyResult, 1),
		snapshotSaves:  make(chan raft.Snapshot, 1),
		snapshotsSaved: make(chan raft.SnapshotMeta, 1),
		initialState:   make(chan raft.State, 1),
		failed:         make(chan struct{}),
	}
	r.SetJoinAddresses(options.JoinAddresses)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

func coreConfig(id uint64) raft.Config {
	return raft.Config{
		ID:                   id,
		ElectionTicks:        electionTimeoutTicks,
		InitialElectionTicks: firstElectionTimeoutTicks,
		HeartbeatTicks:       heartbeatIntervalTicks,
		SnapshotTicks:        snapshotRetryTicks,
		MaxAppendBytes:       maxAppendBytes,
		MaxInFlightAppends:   maxInFlightAppends,
		RetainedEntries:      retainedEntries,
		Random:               randomBelow,
	}
}

func randomBelow(n int) int {
	v, err := rand.Int(rand.Reader, big.NewInt(int64(n)))
	if err != nil {
		return 0
	}
	return int(v.Int64())
}

// loadIdentity takes the identity from the data directory or creates one with a random member
// ID. An ID is never reused: a member that lost its data directory returns with a new ID. One
// whose log was corrupt stays bound to its cluster, so that it can't create another.
func (r *Replica) loadIdentity(contents wal.Contents) error {
	if contents.Identity != nil {
		r.identity = *contents.Identity
		r.id = r.identity.MemberID
		return nil
	}
	id, err := randomID()
	if err != nil {
		return err
	}
	r.id = id
	return r.saveIdentity(wal.Identity{MemberID: id, ClusterID: contents.PreviousClusterID})
}

func (r *Replica) saveIdentity(identity wal.Identity) error {
	if err := r.store.SaveIdentity(identity); err != nil {
		return errors.WithMessage(err, "replica: save identity")
	}
	r.identity = identity
	return nil
}

// clusterID returns 0 while this member belongs to no cluster.
func (r *Replica) clusterID() uint64 {
	r.identityMu.Lock()
	defer r.identityMu.Unlock()
	return r.identity.ClusterID
}

// bindToCluster permanently records the cluster that this member belongs to. It returns
// false if the member belongs to another cluster, the ID is 0, or saving it failed.
func (r *Replica) bindToCluster(clusterID uint64) bool {
	r.identityMu.Lock()
	defer r.identityMu.Unlock()
	if r.identity.ClusterID != 0 || clusterID == 0 {
		return r.identity.ClusterID == clusterID && clusterID != 0
	}
	identity := wal.Identity{MemberID: r.id, ClusterID: clusterID}
	if err := r.saveIdentity(identity); err != nil {
		r.fail(err)
		return false
	}
	return true
}

func randomID() (uint64, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, errors.Wrap(err, "replica: generate random ID")
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id, nil
		}
	}
}

func (r *Replica) startGoroutine(f func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f()
	}()
}
