package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/wal"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// waitTimeout bounds the wait for an event that must occur. No test measures how long
// one takes.
const waitTimeout = 60 * time.Second

var errInjectedSync = errors.New("injected sync failure")

// countingMachine is a state machine that counts how often each command was applied. Each
// command takes applyDelay in nanoseconds.
type countingMachine struct {
	applyDelay atomic.Int64

	mu     sync.Mutex
	counts map[string]int
}

func (c *countingMachine) Apply(index uint64, command []byte) []byte {
	time.Sleep(time.Duration(c.applyDelay.Load()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(command)]++
	return fmt.Appendf(nil, "%d", index)
}

func (c *countingMachine) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(c.counts)
}

func (c *countingMachine) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = nil
	return json.Unmarshal(snapshot, &c.counts)
}

func (c *countingMachine) count(command string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[command]
}

// testMember is a control member with its mesh client and server.
type testMember struct {
	*Replica
	machine        *countingMachine
	client         *mesh.Client
	server         *mesh.Server
	closeTransport func()
	// failSync makes all further file syncs of the member fail.
	failSync atomic.Bool
}

type failingFS struct {
	wal.OS
	syncFails *atomic.Bool
}

func (f failingFS) Create(path string) (wal.File, error) {
	file, err := f.OS.Create(path)
	return failingFile{file, f.syncFails}, err
}

type failingFile struct {
	wal.File
	syncFails *atomic.Bool
}

func (f failingFile) Sync() error {
	if f.syncFails.Load() {
		return errInjectedSync
	}
	return f.File.Sync()
}

type cluster struct {
	t                       testing.TB
	dir                     string
	addresses               []string
	members                 []*testMember
	snapshotIntervalEntries uint64
	tickInterval            time.Duration
	// dropResponses makes members process forwarded proposals and discard the responses.
	dropResponses atomic.Bool
}

// slowTickInterval makes the shortest election timeout 2 s, so that tests that depend
// on a single leader see no election even when the machine stalls for a second.
const slowTickInterval = 200 * time.Millisecond

func newCluster(t testing.TB, size int, snapshotIntervalEntries uint64, tickInterval time.Duration) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), snapshotIntervalEntries: snapshotIntervalEntries, tickInterval: tickInterval, members: make([]*testMember, size)}
	listeners := make([]net.Listener, size)
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = listener
		c.addresses = append(c.addresses, listener.Addr().String())
	}
	for i := range size {
		c.startMember(i, listeners[i])
	}
	t.Cleanup(func() {
		for i := range c.members {
			c.kill(i)
		}
	})
	return c
}

func (c *cluster) dataDir(i int) string {
	return filepath.Join(c.dir, fmt.Sprint(i))
}

func (c *cluster) startMember(i int, listener net.Listener) {
	c.startMemberWith(i, listener, Options{Bootstrap: c.addresses})
}

// startMemberWith starts a member with the addresses of Bootstrap or JoinAddresses from options.
func (c *cluster) startMemberWith(i int, listener net.Listener, options Options) {
	config := mesh.DefaultConfig()
	member := &testMember{machine: &countingMachine{counts: map[string]int{}}, client: mesh.NewClient(config)}
	options.DataDir, options.Address = c.dataDir(i), c.addresses[i]
	options.StateMachine, options.Mesh = member.machine, member.client
	options.SnapshotIntervalEntries, options.TickInterval = c.snapshotIntervalEntries, c.tickInterval
	options.fs = failingFS{syncFails: &member.failSync}
	replica, err := Open(options)
	assert.NilError(c.t, err)
	member.Replica = replica
	ctx, cancel := context.WithCancel(context.Background())
	member.server = mesh.NewServer(config, func(ctx context.Context, stream net.Conn) {
		conn := frame.NewConn(stream)
		first, err := conn.Receive()
		if err != nil {
			return
		}
		if _, ok := first.GetBody().(*wire.Envelope_ForwardProposal); ok && c.dropResponses.Load() {
			conn = frame.NewConn(struct {
				io.Reader
				io.Writer
			}{&bytes.Buffer{}, io.Discard})
		}
		_ = replica.ServeStream(ctx, first, conn)
	})
	go func() { _ = member.server.Serve(ctx, listener) }()
	member.closeTransport = func() {
		cancel()
		_ = listener.Close()
		member.client.Close()
		member.server.Close()
	}
	c.members[i] = member
}

// kill stops a member without a graceful stop.
func (c *cluster) kill(i int) {
	member := c.members[i]
	if member == nil {
		return
	}
	c.members[i] = nil
	assert.NilError(c.t, member.shutDown())
	member.closeTransport()
}

func (c *cluster) restart(i int) {
	listener, err := net.Listen("tcp", c.addresses[i])
	assert.NilError(c.t, err)
	c.startMember(i, listener)
}

// addMember starts a member with an empty data directory at a new address, which joins
// the cluster, and returns its index.
func (c *cluster) addMember() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	join := slices.Clone(c.addresses)
	c.addresses = append(c.addresses, listener.Addr().String())
	c.members = append(c.members, nil)
	i := len(c.members) - 1
	c.startMemberWith(i, listener, Options{JoinAddresses: join})
	return i
}

// restartWithoutData stops a member, deletes its data directory and starts it again
// with the same settings.
func (c *cluster) restartWithoutData(i int) {
	oldID := c.members[i].ID()
	c.kill(i)
	assert.NilError(c.t, os.RemoveAll(c.dataDir(i)))
	c.restart(i)
	assert.Assert(c.t, c.members[i].ID() != oldID)
}

// corruptLog changes a byte of the first record of a stopped member's newest segment.
func (c *cluster) corruptLog(i int) {
	segments, err := filepath.Glob(filepath.Join(c.dataDir(i), "*.wal"))
	assert.NilError(c.t, err)
	path := slices.Max(segments)
	data, err := os.ReadFile(path)
	assert.NilError(c.t, err)
	data[len(data)/4] ^= 1
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
}

func (c *cluster) waitFor(event string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			for _, member := range c.members {
				if member != nil {
					c.t.Logf("%+v", member.Status())
				}
			}
			c.t.Fatalf("timed out waiting for %s", event)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *testMember) hasMember(id uint64) bool {
	return slices.ContainsFunc(m.Status().Members, func(other Member) bool { return other.ID == id })
}

// waitForVoters waits until each running member knows a leader and a configuration of
// the given number of voters and no learners, which includes the member itself.
func (c *cluster) waitForVoters(voters int) {
	c.t.Helper()
	c.waitFor("voters", func() bool {
		for _, member := range c.members {
			if member == nil {
				continue
			}
			s := member.Status()
			if s.Leader == 0 || len(s.Members) != voters || !member.hasMember(member.ID()) {
				return false
			}
			for _, m := range s.Members {
				if m.Learner {
					return false
				}
			}
		}
		return true
	})
}

func (c *cluster) leaderIndex() int {
	leader := -1
	c.waitFor("a leader", func() bool {
		for i, member := range c.members {
			if member != nil && member.Status().Leader == member.ID() {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// propose sends commands to a member from several goroutines until count of them are
// accepted or the member stops. After an error it continues with a new command.
func (m *testMember) propose(prefix string, count, proposers int) (accepted, unknown []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range proposers {
		group.Go(func() {
			attempt := 0
			for n := worker; n < count; {
				command := fmt.Sprintf("%s-%d-%d", prefix, n, attempt)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				_, _, err := m.Propose(ctx, []byte(command))
				cancel()
				mu.Lock()
				if err == nil {
					accepted = append(accepted, command)
					n += proposers
				} else {
					unknown = append(unknown, command)
				}
				mu.Unlock()
				if m.ctx.Err() != nil {
					return
				}
				attempt++
			}
		})
	}
	group.Wait()
	return accepted, unknown
}

// requireApplied makes a linearizable read on each running member and checks that it
// applied each accepted command exactly once and each other command at most once.
func (c *cluster) requireApplied(accepted, unknown []string) {
	c.t.Helper()
	for _, member := range c.members {
		if member == nil {
			continue
		}
		c.waitFor("a linearizable read", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			_, err := member.ReadIndex(ctx)
			return err == nil
		})
		for _, command := range accepted {
			assert.Equal(c.t, member.machine.count(command), 1, command)
		}
		for _, command := range unknown {
			assert.Assert(c.t, member.machine.count(command) <= 1, "%s was applied more than once", command)
		}
	}
}
