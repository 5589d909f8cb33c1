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

// patience bounds waiting for something that must happen; no test measures time.
const patience = 60 * time.Second

var errSync = errors.New("injected failure of sync")

// counter is a state machine that counts how often each command was applied.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counter) Apply(index uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(command)]++
	return fmt.Appendf(nil, "%d", index)
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(c.counts)
}

func (c *counter) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = nil
	return json.Unmarshal(snapshot, &c.counts)
}

func (c *counter) count(command string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[command]
}

// process is a control member with its mesh listener.
type process struct {
	*Replica
	machine *counter
	client  *mesh.Client
	server  *mesh.Server
	close   func()
	// failSync makes all further syncs of files fail.
	failSync atomic.Bool
}

type failingFS struct {
	wal.OS
	failed *atomic.Bool
}

func (f failingFS) Create(path string) (wal.File, error) {
	file, err := f.OS.Create(path)
	return failingFile{file, f.failed}, err
}

type failingFile struct {
	wal.File
	failed *atomic.Bool
}

func (f failingFile) Sync() error {
	if f.failed.Load() {
		return errSync
	}
	return f.File.Sync()
}

type cluster struct {
	t             testing.TB
	dir           string
	addresses     []string
	members       []*process
	snapshotEvery uint64
	tick          time.Duration
	// loseAnswers makes members serve forwarded proposals without answering.
	loseAnswers atomic.Bool
}

// slowTick keeps elections away from tests whose verdict depends on one leader, even
// when the machine stalls for a second.
const slowTick = 200 * time.Millisecond

func newCluster(t testing.TB, size int, snapshotEvery uint64, tick time.Duration) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), snapshotEvery: snapshotEvery, tick: tick, members: make([]*process, size)}
	listeners := make([]net.Listener, size)
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = listener
		c.addresses = append(c.addresses, listener.Addr().String())
	}
	for i := range size {
		c.start(i, listeners[i])
	}
	t.Cleanup(func() {
		for i := range c.members {
			c.kill(i)
		}
	})
	return c
}

func (c *cluster) folder(i int) string {
	return filepath.Join(c.dir, fmt.Sprint(i))
}

func (c *cluster) start(i int, listener net.Listener) {
	config := mesh.DefaultConfig()
	p := &process{machine: &counter{counts: map[string]int{}}, client: mesh.NewClient(config)}
	replica, err := Open(Options{
		DataDir: c.folder(i), Address: c.addresses[i], Bootstrap: c.addresses,
		Machine: p.machine, Mesh: p.client, SnapshotIntervalEntries: c.snapshotEvery, TickInterval: c.tick,
		fs: failingFS{failed: &p.failSync},
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
		if _, ok := first.GetBody().(*wire.Envelope_ForwardProposal); ok && c.loseAnswers.Load() {
			conn = frame.NewConn(struct {
				io.Reader
				io.Writer
			}{&bytes.Buffer{}, io.Discard})
		}
		_ = replica.ServeStream(ctx, first, conn)
	})
	go func() { _ = p.server.Serve(ctx, listener) }()
	p.close = func() {
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
	p.close()
}

func (c *cluster) restart(i int) {
	listener, err := net.Listen("tcp", c.addresses[i])
	assert.NilError(c.t, err)
	c.start(i, listener)
}

// replace loses a member's folder and starts it again with the same settings.
func (c *cluster) replace(i int) {
	old := c.members[i].ID()
	c.kill(i)
	assert.NilError(c.t, os.RemoveAll(c.folder(i)))
	c.restart(i)
	assert.Assert(c.t, c.members[i].ID() != old)
}

func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			for _, p := range c.members {
				if p != nil {
					c.t.Logf("%+v", p.Status())
				}
			}
			c.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *process) knows(id uint64) bool {
	return slices.ContainsFunc(p.Status().Members, func(m Member) bool { return m.ID == id })
}

// waitVoters waits until all running members know a leader and the same voters,
// which are the running members.
func (c *cluster) waitVoters(voters int) {
	c.t.Helper()
	c.wait("voters", func() bool {
		for _, p := range c.members {
			if p == nil {
				continue
			}
			s := p.Status()
			if s.Leader == 0 || len(s.Members) != voters || !p.knows(p.ID()) {
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

func (c *cluster) leader() int {
	found := -1
	c.wait("a leader", func() bool {
		for i, p := range c.members {
			if p != nil && p.Status().Leader == p.ID() {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// propose sends commands from several goroutines through a member until as many as
// wanted are accepted or the member stops. An unknown outcome is followed by another command.
func (p *process) propose(prefix string, count, proposers int) (accepted, unknown []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range proposers {
		group.Go(func() {
			attempt := 0
			for n := worker; n < count; {
				command := fmt.Sprintf("%s-%d-%d", prefix, n, attempt)
				ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		c.wait("a confirmed read", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
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
