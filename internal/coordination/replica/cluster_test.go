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

// waitTimeout bounds waiting for something that must happen; no test measures time.
const waitTimeout = 60 * time.Second

var errInjectedSync = errors.New("injected failure of sync")

// countingMachine is a state machine that counts how often each command was applied.
type countingMachine struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *countingMachine) Apply(index uint64, command []byte) []byte {
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

// testMember is a control member with its mesh listener.
type testMember struct {
	*Replica
	machine        *countingMachine
	client         *mesh.Client
	server         *mesh.Server
	closeTransport func()
	// failSync makes all further syncs of files fail.
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
	failed *atomic.Bool
}

func (f failingFile) Sync() error {
	if f.failed.Load() {
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
	// dropResponses makes members serve forwarded proposals without answering.
	dropResponses atomic.Bool
}

// slowTickInterval keeps elections away from tests whose verdict depends on one leader, even
// when the machine stalls for a second.
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
	config := mesh.DefaultConfig()
	p := &testMember{machine: &countingMachine{counts: map[string]int{}}, client: mesh.NewClient(config)}
	replica, err := Open(Options{
		DataDir: c.dataDir(i), Address: c.addresses[i], Bootstrap: c.addresses,
		Machine: p.machine, Mesh: p.client, SnapshotIntervalEntries: c.snapshotIntervalEntries, TickInterval: c.tickInterval,
		fs: failingFS{syncFails: &p.failSync},
	})
	assert.NilError(c.t, err)
	p.Replica = replica
	ctx, cancel := context.WithCancel(context.Background())
	p.server = mesh.NewServer(config, func(ctx context.Context, stream net.Conn) {
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
	go func() { _ = p.server.Serve(ctx, listener) }()
	p.closeTransport = func() {
		cancel()
		_ = listener.Close()
		p.client.Close()
		p.server.Close()
	}
	c.members[i] = p
}

// kill ends a member without a graceful stop.
func (c *cluster) kill(i int) {
	p := c.members[i]
	if p == nil {
		return
	}
	c.members[i] = nil
	assert.NilError(c.t, p.shutDown())
	p.closeTransport()
}

func (c *cluster) restart(i int) {
	listener, err := net.Listen("tcp", c.addresses[i])
	assert.NilError(c.t, err)
	c.startMember(i, listener)
}

// restartWithoutData loses a member's folder and starts it again with the same settings.
func (c *cluster) restartWithoutData(i int) {
	oldID := c.members[i].ID()
	c.kill(i)
	assert.NilError(c.t, os.RemoveAll(c.dataDir(i)))
	c.restart(i)
	assert.Assert(c.t, c.members[i].ID() != oldID)
}

func (c *cluster) waitFor(event string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			for _, p := range c.members {
				if p != nil {
					c.t.Logf("%+v", p.Status())
				}
			}
			c.t.Fatalf("waited in vain for %s", event)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *testMember) hasMember(id uint64) bool {
	return slices.ContainsFunc(p.Status().Members, func(m Member) bool { return m.ID == id })
}

// waitForVoters waits until all running members know a leader and the same voters,
// which are the running members.
func (c *cluster) waitForVoters(voters int) {
	c.t.Helper()
	c.waitFor("voters", func() bool {
		for _, p := range c.members {
			if p == nil {
				continue
			}
			s := p.Status()
			if s.Leader == 0 || len(s.Members) != voters || !p.hasMember(p.ID()) {
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
		for i, p := range c.members {
			if p != nil && p.Status().Leader == p.ID() {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// propose sends commands from several goroutines through a member until as many as
// wanted are accepted or the member stops. An unknown outcome is followed by another command.
func (p *testMember) propose(prefix string, count, proposers int) (accepted, unknown []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range proposers {
		group.Go(func() {
			attempt := 0
			for n := worker; n < count; {
				command := fmt.Sprintf("%s-%d-%d", prefix, n, attempt)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				_, _, err := p.Propose(ctx, []byte(command))
				cancel()
				mu.Lock()
				if err == nil {
					accepted = append(accepted, command)
					n += proposers
				} else {
					unknown = append(unknown, command)
				}
				mu.Unlock()
				if p.ctx.Err() != nil {
					return
				}
				attempt++
			}
		})
	}
	group.Wait()
	return accepted, unknown
}

// requireApplied confirms a read on each running member and checks its state.
func (c *cluster) requireApplied(accepted, unknown []string) {
	c.t.Helper()
	for _, p := range c.members {
		if p == nil {
			continue
		}
		c.waitFor("a confirmed read", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			_, err := p.Confirm(ctx)
			return err == nil
		})
		for _, command := range accepted {
			assert.Equal(c.t, p.machine.count(command), 1, command)
		}
		for _, command := range unknown {
			assert.Assert(c.t, p.machine.count(command) <= 1, "%s was applied twice", command)
		}
	}
}
