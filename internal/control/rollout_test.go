package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// fakeRolloutLog is a replicated log of members that each apply every command at once.
type fakeRolloutLog struct {
	machines []*document.Machine
	leader   uint64
	// err is the error of every proposal; commands count those that were applied.
	err      error
	commands int
}

// fakeRolloutMember is the proposer of one member.
type fakeRolloutMember struct {
	*fakeRolloutLog
	id uint64
}

func (l *fakeRolloutLog) Propose(_ context.Context, command []byte) (result []byte, index uint64, err error) {
	if l.err != nil {
		return nil, 0, l.err
	}
	l.commands++
	for _, machine := range l.machines {
		result = machine.Apply(uint64(l.commands), command) //nolint:gosec // not negative
	}
	return result, 0, nil
}

func (l *fakeRolloutLog) ReadIndex(context.Context) (uint64, error) { return 0, l.err }

func (m fakeRolloutMember) Status() replica.Status { return replica.Status{ID: m.id, Leader: m.leader} }

// rolloutFleet is two members with their drivers, an instance of each version and their nodes,
// which acknowledge each revision after a second.
type rolloutFleet struct {
	t       *testing.T
	log     *fakeRolloutLog
	drivers []*rolloutDriver
	now     time.Time
	// badEvery makes each n-th response of the target version fail.
	badEvery uint64
	// silent nodes send no heartbeats.
	silent  map[string]bool
	served  map[string]uint64
	applied uint64
	seq     uint64
}

func newRolloutFleet(t *testing.T, durationMs int64) *rolloutFleet {
	f := &rolloutFleet{t: t, log: &fakeRolloutLog{leader: 1}, now: time.Unix(1000, 0), silent: map[string]bool{}, served: map[string]uint64{}}
	for id := range uint64(2) {
		machine := document.NewMachine()
		machine.SetRolloutPolicy(rollout.Advance)
		f.log.machines = append(f.log.machines, machine)
		f.drivers = append(f.drivers, newRolloutDriver(machine, membership.NewRegistry(), fakeRolloutMember{f.log, id + 1}, 5*time.Second, log.NewNopLogger()))
	}
	f.apply(document.EncodeBootstrap([]byte(`{"teams":{"t":{"admin":true}},"services":{"s":{"owner":"t","timeout_ms":100}}}`), f.now))
	f.apply(document.EncodeRolloutStart(document.RolloutStart{Team: "t", Service: "s", TargetVersion: "v2", DurationMs: durationMs,
		Terms: document.RolloutTerms{SharePermille: 100, Slack: 50}}))
	return f
}

func (f *rolloutFleet) apply(command []byte, err error) {
	assert.NilError(f.t, err)
	_, _, err = f.log.Propose(f.t.Context(), command)
	assert.NilError(f.t, err)
}

func (f *rolloutFleet) rollout() document.Rollout {
	return f.log.machines[1].View().Document.Rollouts["s"]
}

// run lets the given members run. The nodes are connected to the first of them.
func (f *rolloutFleet) run(duration time.Duration, members ...int) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(rolloutTickInterval) {
		if f.now.UnixMilli()%500 == 0 {
			f.heartbeats(members)
		}
		for _, i := range members {
			f.drivers[i].tick(f.t.Context(), f.now)
		}
	}
}

// heartbeats sends those of the nodes: 200 requests in 500 ms, by the share that they know.
func (f *rolloutFleet) heartbeats(members []int) {
	f.seq++
	share := uint64(f.rollout().SharePermille) //nolint:gosec // not negative
	for _, version := range []string{"", "v2"} {
		requests := 200 * (1000 - share) / 1000
		if version == "v2" {
			requests = 200 * share / 1000
		}
		f.served[version] += requests
		if f.silent["node"+version] {
			continue
		}
		var failed uint64
		if version == "v2" && f.badEvery > 0 {
			failed = f.served[version] / f.badEvery
		}
		heartbeat := &wire.Heartbeat{
			NodeId: "node" + version, NodeStart: 1, Sequence: f.seq, Revision: f.applied,
			Instance: &wire.Instance{Id: "i" + version, Service: "s", State: wire.InstanceState_INSTANCE_WARM, SoftwareVersion: version, NodeId: "node" + version, NodeAddress: "address" + version},
			Evidence: []*wire.VersionEvidence{{Service: "s", Rollout: 2, SoftwareVersion: version, Route: "r", Failed: failed, Succeeded: f.served[version] - failed}},
		}
		for _, i := range members {
			f.drivers[i].registry.Renew(f.now, heartbeat)
		}
		f.drivers[members[0]].observe(heartbeat)
	}
	f.applied = f.log.machines[1].View().Revision
}

// TestDriverCompletes guards against a good version that is not completed by a deadline of 5 s,
// although the nodes acknowledge slowly or one of them is out of contact, against evidence of a
// member that does not lead and is lost, and against more than about two commands a second.
func TestDriverCompletes(t *testing.T) {
	for _, silent := range []string{"", "node-old"} {
		f := newRolloutFleet(t, 5000)
		if silent != "" {
			for i := range f.drivers {
				f.drivers[i].registry.Renew(f.now, &wire.Heartbeat{NodeId: silent, NodeStart: 1, Sequence: 1, Revision: 1})
			}
		}
		f.run(4900*time.Millisecond, 1, 0) // the nodes are connected to member 2, member 1 leads
		assert.Equal(t, f.rollout().State, document.RolloutCompleted, "%+v", f.rollout())
		assert.Assert(t, f.log.commands < 40, "%d commands", f.log.commands)
		assert.Assert(t, f.log.machines[1].View().Revision < 10, "a revision for evidence")
		assert.Equal(t, f.rollout(), f.log.machines[0].View().Document.Rollouts["s"])
	}
}

// TestLeaderLost guards against a rollout that starts over, loses evidence or goes on for ever when
// the leader is lost between the start and an advance: the next leader, whose clock starts then,
// continues.
func TestLeaderLost(t *testing.T) {
	for _, lostAfter := range []time.Duration{0, 2 * time.Second} {
		good := newRolloutFleet(t, 20_000)
		good.run(lostAfter, 0)
		good.log.leader = 2
		// The clock of the second member starts with the last recorded time.
		good.run(20*time.Second-lostAfter+maxRolloutReportInterval, 1)
		assert.Equal(t, good.rollout().State, document.RolloutCompleted, "%+v", good.rollout())

		bad := newRolloutFleet(t, 20_000)
		bad.badEvery = 4
		bad.run(lostAfter, 0)
		bad.log.leader = 2
		bad.run(8*time.Second, 1)
		assert.Equal(t, bad.rollout().State, document.RolloutRolledBack, "%+v", bad.rollout())
	}
}

// TestLogUnavailable guards against a step without a commit while the store is full or the log has
// no quorum, and against evidence that is lost with a failed proposal.
func TestLogUnavailable(t *testing.T) {
	f := newRolloutFleet(t, 30_000)
	f.badEvery = 4
	f.run(time.Second, 0, 1)
	before := f.log.machines[0].View()
	f.log.err = errors.Wrap(replica.ErrOutcomeUnknown, "store full")
	f.run(3*time.Second, 0, 1)
	assert.Assert(t, f.log.machines[0].View() == before)
	f.log.err = nil
	// The nodes are silent from now on, so that the evidence of the outage is not sent again.
	f.silent["node"], f.silent["nodev2"] = true, true
	f.run(1500*time.Millisecond, 0, 1)
	assert.Equal(t, f.rollout().State, document.RolloutRolledBack, "%+v", f.rollout())
}
