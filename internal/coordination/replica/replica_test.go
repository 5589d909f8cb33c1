package replica

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/wal"
)

// TestLeaderKilled guards against commands that are lost or applied twice when the leader
// is killed under load, and against a member that does not catch up after its restart.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, 3, 0, 0)
	c.waitForVoters(3)
	leader := c.leaderIndex()
	var mu sync.Mutex
	var group sync.WaitGroup
	var accepted, unknown []string
	for i, member := range c.members {
		group.Go(func() {
			a, u := member.propose(string(rune('a'+i)), 300, 8)
			mu.Lock()
			defer mu.Unlock()
			accepted, unknown = append(accepted, a...), append(unknown, u...)
		})
	}
	killedLeader := c.members[leader]
	c.waitFor("the leader to apply commands", func() bool { return killedLeader.Status().Applied > 60 })
	c.kill(leader)
	group.Wait()
	assert.Assert(t, len(accepted) >= 600, "the surviving members must accept 300 commands each")
	c.requireApplied(accepted, unknown)
	c.restart(leader)
	c.requireApplied(accepted, unknown)
}

// TestLostDataDirectories guards against the loss of accepted commands when the members
// lose their data directories one after the other, against a second cluster created by
// the first member of Bootstrap, and against a vote under an old member ID. The log is
// so long that the replacements need a snapshot.
func TestLostDataDirectories(t *testing.T) {
	c := newCluster(t, 3, 500, 0)
	c.waitForVoters(3)
	accepted, unknown := c.members[1].propose("x", retainedEntries+2000, 128)
	for i := range c.members {
		c.restartWithoutData(i)
		if i == 1 {
			c.waitFor("member 0 to learn of the replacement", func() bool { return c.members[0].hasMember(c.members[1].ID()) })
			c.restartWithoutData(i)
		}
		c.waitForVoters(3)
		a, u := c.members[i].propose(string(rune('a'+i)), 50, 8)
		accepted, unknown = append(accepted, a...), append(unknown, u...)
	}
	c.requireApplied(accepted, unknown)
}

// TestCorruptLogsAreReplaced guards against members that stay away until an operator replaces
// them when their logs can't be opened: two of them and one lost disk would leave a cluster of
// five without a quorum.
func TestCorruptLogsAreReplaced(t *testing.T) {
	c := newCluster(t, 5, 10_000, 0)
	c.waitForVoters(5)
	accepted, unknown := c.members[0].propose("x", 50, 8)
	oldIDs := []uint64{c.members[0].ID(), c.members[1].ID()}
	for i := range oldIDs {
		c.kill(i)
		c.corruptLog(i)
	}
	for i, oldID := range oldIDs {
		c.restart(i)
		assert.Assert(t, c.members[i].ID() != oldID, "a member with a corrupt log votes under its old ID")
	}
	c.waitForVoters(5)
	c.restartWithoutData(2)
	c.waitForVoters(5)
	a, u := c.members[1].propose("y", 50, 8)
	c.requireApplied(append(accepted, a...), append(unknown, u...))
}

// TestReplacedAtNewAddress guards against members that stay voters after they were replaced
// by members at new addresses. After two replacements the cluster would have seven voters,
// of which two are gone, and a loss of two more disks would leave it without a quorum.
func TestReplacedAtNewAddress(t *testing.T) {
	c := newCluster(t, 5, 0, 0)
	c.waitForVoters(5)
	accepted, unknown := c.members[0].propose("x", 50, 8)
	for lost := range 2 {
		c.kill(lost)
		added := c.addMember()
		c.waitForVoters(5)
		a, u := c.members[added].propose(string(rune('a'+lost)), 20, 4)
		accepted, unknown = append(accepted, a...), append(unknown, u...)
	}
	// All power goes, and two of the members lose their disks with it.
	for i := range c.members {
		c.kill(i)
	}
	for i := 2; i < len(c.members); i++ {
		if i < 4 {
			assert.NilError(t, os.RemoveAll(c.dataDir(i)))
		}
		c.restart(i)
	}
	c.waitForVoters(5)
	c.requireApplied(accepted, unknown)
}

// TestPlannedReplacement guards against a replaced member that stays a voter when its
// successor was there before it stopped, and against two members replaced at once.
func TestPlannedReplacement(t *testing.T) {
	c := newCluster(t, 5, 0, 0)
	c.waitForVoters(5)
	accepted, unknown := c.members[0].propose("x", 20, 4)
	first, second := c.addMember(), c.addMember()
	c.waitFor("two learners", func() bool {
		s := c.members[c.leaderIndex()].Status()
		return len(s.Members) == 7 && s.VoterCount() == 5
	})
	stopped := []int{c.leaderIndex()}
	stopped = append(stopped, (stopped[0]+1)%5)
	for _, i := range stopped {
		member := c.members[i]
		c.members[i] = nil
		assert.NilError(t, member.Close())
		member.closeTransport()
	}
	c.waitForVoters(5)
	for _, i := range []int{first, second} {
		assert.Assert(t, c.members[i].hasMember(c.members[i].ID()))
	}
	c.requireApplied(accepted, unknown)
}

// TestReplacedMemberReturns guards against a member that was replaced during an absence and
// never learns of it: it has to join again, without disturbing the leader, and replaces the
// next member that is lost.
func TestReplacedMemberReturns(t *testing.T) {
	c := newCluster(t, 5, 0, 0)
	c.waitForVoters(5)
	absent := 0
	absentID := c.members[absent].ID()
	c.kill(absent)
	c.addMember()
	c.waitForVoters(5)
	leader := c.leaderIndex()
	term := c.members[leader].Status().Term
	c.restart(absent)
	c.waitFor("the returned member as a learner", func() bool { return c.members[leader].hasMember(absentID) })
	assert.Equal(t, c.members[leader].Status().Term, term)
	assert.Equal(t, c.members[leader].Status().VoterCount(), 5)
	lost := (leader + 1) % 5
	if lost == absent {
		lost++
	}
	c.kill(lost)
	c.waitForVoters(5)
	assert.Equal(t, c.members[absent].ID(), absentID)
}

// TestRestartAfterCompaction guards against the loss of state along with the compacted
// part of the log.
func TestRestartAfterCompaction(t *testing.T) {
	c := newCluster(t, 1, 50, 0)
	c.waitForVoters(1)
	accepted, _ := c.members[0].propose("x", 500, 4)
	c.kill(0)
	c.restart(0)
	c.requireApplied(accepted, nil)
}

// TestLostResponseIsUnknown guards against a forwarded proposal that is sent again
// after its response was lost.
func TestLostResponseIsUnknown(t *testing.T) {
	c := newCluster(t, 3, 0, slowTickInterval)
	c.waitForVoters(3)
	follower := c.members[(c.leaderIndex()+1)%3]
	c.dropResponses.Store(true)
	_, _, err := follower.Propose(context.Background(), []byte("once"))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	c.dropResponses.Store(false)
	c.requireApplied([]string{"once"}, nil)
}

// TestGracefulClose guards against a graceful stop that loses accepted commands, leaves
// proposals with an unknown outcome, or makes the others wait for an election timeout
// because the leadership was not transferred.
func TestGracefulClose(t *testing.T) {
	c := newCluster(t, 3, 0, slowTickInterval)
	c.waitForVoters(3)
	leader := c.leaderIndex()
	oldLeader, follower := c.members[leader], c.members[(leader+1)%3]
	term := oldLeader.Status().Term
	var accepted, unknown []string
	var group sync.WaitGroup
	group.Go(func() { accepted, unknown = follower.propose("x", 400, 4) })
	c.waitFor("the leader to apply commands", func() bool { return oldLeader.Status().Applied > 60 })
	assert.NilError(t, oldLeader.Close())
	assert.Assert(t, oldLeader.Status().Leader != oldLeader.ID(), "leadership was not transferred")
	assert.Equal(t, oldLeader.Status().Term, term+1)
	oldLeader.closeTransport()
	c.members[leader] = nil
	group.Wait()
	assert.Equal(t, len(unknown), 0, "%v", unknown)
	assert.Equal(t, len(accepted), 400)
	c.requireApplied(accepted, nil)
}

// TestRemoveMember guards against a removed member that still counts towards the quorum.
func TestRemoveMember(t *testing.T) {
	c := newCluster(t, 3, 0, slowTickInterval)
	c.waitForVoters(3)
	leader := c.leaderIndex()
	removed := (leader + 1) % 3
	id := c.members[removed].ID()
	err := c.members[leader].RemoveMember(context.Background(), c.members[leader].ID())
	assert.ErrorIs(t, err, ErrNotLeader)
	c.waitFor("the leadership transfer and the removal by the new leader", func() bool {
		leader = c.leaderIndex()
		return c.members[leader].RemoveMember(context.Background(), id) == nil
	})
	c.kill(removed)
	c.waitForVoters(2)
	assert.Assert(t, !c.members[leader].hasMember(id))
	accepted, _ := c.members[leader].propose("x", 10, 2)
	assert.Equal(t, len(accepted), 10)
}

// TestFailedSyncStopsMember guards against a leader that continues, or reports success,
// after a failed file sync.
func TestFailedSyncStopsMember(t *testing.T) {
	c := newCluster(t, 3, 0, slowTickInterval)
	c.waitForVoters(3)
	leader := c.leaderIndex()
	failingLeader, follower := c.members[leader], c.members[(leader+1)%3]
	failingLeader.failSync.Store(true)
	_, _, err := failingLeader.Propose(context.Background(), []byte("lost"))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	<-failingLeader.Failed()
	assert.ErrorIs(t, failingLeader.Err(), wal.ErrFailed)
	_, _, err = failingLeader.Propose(context.Background(), nil)
	assert.ErrorIs(t, err, ErrStopped)
	c.kill(leader)
	accepted, unknown := follower.propose("x", 10, 2)
	c.requireApplied(accepted, append(unknown, "lost"))
}

// TestStopRefusesLateProposals guards against proposals with an unknown outcome at a graceful
// stop of the leader: a request that has passed the check for a stop just before it began
// reaches the event loop while the pending proposals are waited for, or after that.
func TestStopRefusesLateProposals(t *testing.T) {
	c := newCluster(t, 3, 0, slowTickInterval)
	c.waitForVoters(3)
	leader := c.members[c.leaderIndex()]
	stop := make(chan struct{})
	var group sync.WaitGroup
	var accepted, unknown atomic.Int32
	for range 4 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				o := leader.proposeLocally(context.Background(), &proposal{command: []byte("late")})
				switch {
				case o.err == nil:
					accepted.Add(1)
				case !errors.Is(o.err, ErrNotLeader):
					unknown.Add(1)
				}
			}
		})
	}
	c.waitFor("some commands to be accepted", func() bool { return accepted.Load() > 20 })
	leader.machine.applyDelay.Store(int64(20 * time.Millisecond)) // as on a busy VM
	leader.transferLeadership()
	close(stop)
	group.Wait()
	assert.Assert(t, leader.Status().Leader != leader.ID(), "leadership was not transferred")
	assert.Equal(t, unknown.Load(), int32(0))
}

// TestStoppedLeaderAnswersLateForwards guards against an unknown outcome of requests that members
// still forward to a stopped leader, because they have not learned of the new one yet.
func TestStoppedLeaderAnswersLateForwards(t *testing.T) {
	const interval = forwardQuietPeriod / 4
	c := newCluster(t, 3, 0, slowTickInterval)
	c.waitForVoters(3)
	leader := c.leaderIndex()
	oldLeader, follower := c.members[leader], c.members[(leader+1)%3]
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		assert.Check(t, oldLeader.Close())
	}()
	c.waitFor("the transfer", func() bool { return oldLeader.Status().Leader != oldLeader.ID() })
	for range 8 {
		o := follower.forward(context.Background(), c.addresses[leader], []byte("late"), false)
		assert.ErrorIs(t, o.err, ErrNotLeader)
		select {
		case <-closed:
			t.Fatal("the leader has stopped although requests arrive")
		case <-time.After(interval):
		}
	}
	<-closed
	oldLeader.closeTransport()
	c.members[leader] = nil
}
