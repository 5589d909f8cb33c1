package replica

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/wal"
)

// TestLeaderKilled guards against losing or repeating commands when the leader dies
// under load, and against a member that does not catch up after its restart.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, 3, 0, 0)
	c.waitVoters(3)
	leader := c.leader()
	var mu sync.Mutex
	var group sync.WaitGroup
	var accepted, unknown []string
	for i, p := range c.members {
		group.Go(func() {
			a, u := p.propose(string(rune('a'+i)), 300, 8)
			mu.Lock()
			defer mu.Unlock()
			accepted, unknown = append(accepted, a...), append(unknown, u...)
		})
	}
	victim := c.members[leader]
	c.wait("some load", func() bool { return victim.Status().Applied > 60 })
	c.kill(leader)
	group.Wait()
	assert.Assert(t, len(accepted) >= 600, "the survivors went on until they had 300 each")
	c.requireApplied(accepted, unknown)
	c.restart(leader)
	c.requireApplied(accepted, unknown)
}

// TestLostFolders guards against accepted commands lost when members lose their
// folders one after the other, against a second cluster made by the first member
// of the list, and against a vote under an old ID. The log is long enough for the
// replacements to need a snapshot.
func TestLostFolders(t *testing.T) {
	c := newCluster(t, 3, 500, 0)
	c.waitVoters(3)
	accepted, unknown := c.members[1].propose("x", retainedEntries+2000, 128)
	for i := range c.members {
		c.replace(i)
		if i == 1 {
			c.wait("the replacement to be known", func() bool { return c.members[0].knows(c.members[1].ID()) })
			c.replace(i)
		}
		c.waitVoters(3)
		a, u := c.members[i].propose(string(rune('a'+i)), 50, 8)
		accepted, unknown = append(accepted, a...), append(unknown, u...)
	}
	c.requireApplied(accepted, unknown)
}

// TestRestartAfterCompaction guards against state lost with the compacted log.
func TestRestartAfterCompaction(t *testing.T) {
	c := newCluster(t, 1, 50, 0)
	c.waitVoters(1)
	accepted, _ := c.members[0].propose("x", 500, 4)
	c.kill(0)
	c.restart(0)
	c.requireApplied(accepted, nil)
}

// TestLostAnswerIsUnknown guards against a forwarded proposal that is sent again
// after its answer was lost.
func TestLostAnswerIsUnknown(t *testing.T) {
	c := newCluster(t, 3, 0, slowTick)
	c.waitVoters(3)
	follower := c.members[(c.leader()+1)%3]
	c.loseAnswers.Store(true)
	_, _, err := follower.Propose(context.Background(), []byte("once"))
	assert.ErrorIs(t, err, ErrUnknown)
	c.loseAnswers.Store(false)
	c.requireApplied([]string{"once"}, nil)
}

// TestGracefulClose guards against a stop that loses accepted commands, leaves
// proposals undecided, or waits for an election timeout instead of handing over.
func TestGracefulClose(t *testing.T) {
	c := newCluster(t, 3, 0, slowTick)
	c.waitVoters(3)
	leader := c.leader()
	leaving, other := c.members[leader], c.members[(leader+1)%3]
	term := leaving.Status().Term
	var accepted, unknown []string
	var group sync.WaitGroup
	group.Go(func() { accepted, unknown = other.propose("x", 400, 4) })
	c.wait("some load", func() bool { return leaving.Status().Applied > 60 })
	assert.NilError(t, leaving.Close())
	assert.Assert(t, leaving.Status().Leader != leaving.ID(), "leadership was not handed over")
	assert.Equal(t, leaving.Status().Term, term+1)
	leaving.close()
	c.members[leader] = nil
	group.Wait()
	assert.Equal(t, len(unknown), 0, "%v", unknown)
	assert.Equal(t, len(accepted), 400)
	c.requireApplied(accepted, nil)
}

// TestRemoveMember guards against a removed member that still counts.
func TestRemoveMember(t *testing.T) {
	c := newCluster(t, 3, 0, slowTick)
	c.waitVoters(3)
	leader := c.leader()
	removed := (leader + 1) % 3
	id := c.members[removed].ID()
	err := c.members[leader].RemoveMember(context.Background(), c.members[leader].ID())
	assert.ErrorIs(t, err, ErrNotLeader)
	c.wait("the leader to hand over", func() bool {
		leader = c.leader()
		return c.members[leader].RemoveMember(context.Background(), id) == nil
	})
	c.kill(removed)
	c.waitVoters(2)
	assert.Assert(t, !c.members[leader].knows(id))
	accepted, _ := c.members[leader].propose("x", 10, 2)
	assert.Equal(t, len(accepted), 10)
}

// TestFailedSyncStopsMember guards against a leader that goes on, or reports success,
// after a sync failed.
func TestFailedSyncStopsMember(t *testing.T) {
	c := newCluster(t, 3, 0, slowTick)
	c.waitVoters(3)
	leader := c.leader()
	failing, other := c.members[leader], c.members[(leader+1)%3]
	failing.failSync.Store(true)
	_, _, err := failing.Propose(context.Background(), []byte("lost"))
	assert.ErrorIs(t, err, ErrUnknown)
	<-failing.Failed()
	assert.ErrorIs(t, failing.Err(), wal.ErrFailed)
	_, _, err = failing.Propose(context.Background(), nil)
	assert.ErrorIs(t, err, ErrStopped)
	c.kill(leader)
	accepted, unknown := other.propose("x", 10, 2)
	c.requireApplied(accepted, append(unknown, "lost"))
}
