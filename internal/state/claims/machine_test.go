package claims

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	timeout = 20 * time.Second
	keep    = 100 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// attempt is a node's view of one attempt at a key.
type attempt struct {
	key, id, node string
	granted       bool
	grantedAt     time.Time
	released      bool
	releasedAt    time.Time
}

// cluster applies the same commands to a machine that is restarted at any point
// and to one that never is.
type cluster struct {
	t       *rapid.T
	machine *Machine
	steady  *Machine
	now     time.Time
	// latest is the latest time of any command; other members' clocks may be behind.
	latest   time.Time
	attempts []*attempt
	// recorded holds the first response recorded for a key and its time.
	recorded   map[string]string
	recordedAt map[string]time.Time
}

func (c *cluster) apply(command []byte, err error) []byte {
	assert.NilError(c.t, err)
	if c.now.After(c.latest) {
		c.latest = c.now
	}
	result := c.machine.Apply(0, command)
	assert.Assert(c.t, bytes.Equal(result, c.steady.Apply(0, command)), "a restart changed a result")
	return result
}

func (c *cluster) claim(a *attempt, capacity int64) wire.ClaimState {
	terms := Terms{At: c.now, Timeout: timeout, Keep: keep, Capacity: capacity}
	claim := &wire.Claim{Service: "s", Key: a.key, Fingerprint: []byte("f"), AttemptId: []byte(a.id), NodeId: a.node}
	records := len(c.machine.records)
	result, err := DecodeClaimResult(c.apply(EncodeClaim(claim, terms)))
	assert.NilError(c.t, err)
	if len(c.machine.records) > records {
		assert.Assert(c.t, c.machine.used <= capacity, "a record was added beyond the capacity")
	}
	if result.State == wire.ClaimState_CLAIM_GRANTED {
		c.checkGrant(a)
	}
	if result.State == wire.ClaimState_CLAIM_COMPLETED {
		// Without capacity only the status is recorded; TestStates checks when.
		complete := !result.Response.Truncated
		assert.Assert(c.t, !complete || string(result.Response.Body) == c.recorded[a.key])
	}
	return result.State
}

// checkGrant fails when another attempt was granted the key within the retention
// time and has not released it, or when the attempt has already ended.
func (c *cluster) checkGrant(a *attempt) {
	if a.released {
		assert.Assert(c.t, c.latest.Sub(a.releasedAt) >= releaseMemory, "a released attempt was granted")
	}
	for _, other := range c.attempts {
		if other == a || other.key != a.key || !other.granted || other.released {
			continue
		}
		assert.Assert(c.t, c.latest.Sub(other.grantedAt) >= keep, "two attempts were granted %s", a.key)
	}
	if at, ok := c.recordedAt[a.key]; ok {
		assert.Assert(c.t, c.latest.Sub(at) >= keep, "granted after a recorded outcome")
		delete(c.recorded, a.key)
		delete(c.recordedAt, a.key)
	}
	a.granted = true
	a.grantedAt = c.latest
}

func (c *cluster) ack(result []byte) bool {
	ack, err := DecodeAck(result)
	assert.NilError(c.t, err)
	return ack.Ok
}

func (c *cluster) record(a *attempt) {
	if !a.granted || a.released {
		return
	}
	body := fmt.Sprintf("%s at %s", a.id, c.now)
	outcome := &wire.RecordOutcome{Service: "s", Key: a.key, AttemptId: []byte(a.id)}
	withResponse := rapid.Bool().Draw(c.t, "response")
	if withResponse {
		outcome.Response = &wire.RecordedResponse{Status: 200, Body: []byte(body)}
	}
	accepted := c.ack(c.apply(EncodeRecord(outcome, c.now)))
	if _, already := c.recorded[a.key]; accepted && withResponse && !already {
		c.recorded[a.key] = body
		c.recordedAt[a.key] = a.grantedAt
	}
}

// release may follow a claim whose answer was lost or that was never applied, but
// not a recorded outcome.
func (c *cluster) release(a *attempt) {
	release := &wire.ReleaseClaim{Service: "s", Key: a.key, AttemptId: []byte(a.id)}
	if c.ack(c.apply(EncodeRelease(release, c.now))) && !a.released {
		_, recorded := c.recorded[a.key]
		assert.Assert(c.t, !recorded || c.latest.Sub(c.recordedAt[a.key]) >= keep, "released after an outcome")
		a.released = true
		a.releasedAt = c.latest
	}
}

func (c *cluster) restart() {
	snapshot, err := c.machine.Snapshot()
	assert.NilError(c.t, err)
	c.machine = NewMachine()
	assert.NilError(c.t, c.machine.Restore(snapshot))
	assert.Equal(c.t, c.machine.Stats(), c.steady.Stats())
}

// TestOneGrantForEachKey guards against a key granted to two attempts that have
// not released it, in any order of claims, resends, releases, outcomes, lost
// nodes, expiry, refusals for lack of capacity, and restarts from a snapshot.
func TestOneGrantForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{
			t: t, machine: NewMachine(), steady: NewMachine(), now: start,
			recorded: map[string]string{}, recordedAt: map[string]time.Time{},
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			key := rapid.SampledFrom([]string{"k1", "k1", "k2"}).Draw(t, "key")
			node := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")
			c.attempts = append(c.attempts, &attempt{key: key, id: id, node: node})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.step(rapid.SampledFrom(c.attempts).Draw(t, "attempt"))
		}
	})
}

func (c *cluster) step(a *attempt) {
	switch rapid.IntRange(0, 9).Draw(c.t, "action") {
	case 0:
		c.restart()
	case 1:
		c.now = c.now.Add(time.Duration(rapid.IntRange(-80, 90).Draw(c.t, "seconds")) * time.Second)
	case 2:
		c.apply(EncodeNodeLost(a.node, c.now), nil)
	case 3, 4:
		c.record(a)
	case 5:
		c.release(a)
	case 6:
		c.claim(a, fixedRecordBytes+8)
	default:
		c.claim(a, 1<<20)
	}
}

// TestStates guards against a lost answer that blocks its own attempt, a claim
// that stays in progress after its deadline or its node, a late outcome that is
// dropped, a key that is reused for another request, and a record never dropped.
func TestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, machine: NewMachine(), steady: NewMachine(), now: start, recorded: map[string]string{}}
		holder, other := &attempt{key: "k", id: "a", node: "n1"}, &attempt{key: "k", id: "b", node: "n2"}
		assert.Equal(t, c.claim(holder, 1<<20), wire.ClaimState_CLAIM_GRANTED)
		assert.Equal(t, c.claim(holder, 0), wire.ClaimState_CLAIM_GRANTED)
		assert.Equal(t, c.claim(other, 0), wire.ClaimState_CLAIM_IN_PROGRESS)
		mismatch := &wire.Claim{Service: "s", Key: "k", Fingerprint: []byte("g"), AttemptId: []byte("c")}
		result, err := DecodeClaimResult(c.apply(EncodeClaim(mismatch, Terms{At: c.now})))
		assert.NilError(t, err)
		assert.Equal(t, result.State, wire.ClaimState_CLAIM_MISMATCH)
		if rapid.Bool().Draw(t, "node lost") {
			c.apply(EncodeNodeLost("n1", c.now), nil)
		} else {
			c.now = c.now.Add(timeout)
		}
		assert.Equal(t, c.claim(other, 0), wire.ClaimState_CLAIM_OUTCOME_UNKNOWN)
		size := rapid.SampledFrom([]int{0, MaxBodyBytes, MaxBodyBytes + 1}).Draw(t, "size")
		body := make([]byte, size)
		outcome := &wire.RecordOutcome{Service: "s", Key: "k", AttemptId: []byte("b"), Response: &wire.RecordedResponse{Status: 201, Body: body}}
		c.machine.capacity, c.steady.capacity = 1<<20, 1<<20
		assert.Assert(t, !c.ack(c.apply(EncodeRecord(outcome, c.now))), "recorded by another attempt")
		outcome.AttemptId, outcome.NodeId = []byte("a"), "n2"
		assert.Assert(t, !c.ack(c.apply(EncodeRecord(outcome, c.now))), "recorded by another node")
		release := &wire.ReleaseClaim{Service: "s", Key: "k", AttemptId: []byte("a"), NodeId: "n2"}
		assert.Assert(t, !c.ack(c.apply(EncodeRelease(release, c.now))), "released by another node")
		outcome.NodeId = "n1"
		assert.Assert(t, c.ack(c.apply(EncodeRecord(outcome, c.now))))
		claim := &wire.Claim{Service: "s", Key: "k", Fingerprint: []byte("f"), AttemptId: []byte("b")}
		result, err = DecodeClaimResult(c.apply(EncodeClaim(claim, Terms{At: c.now})))
		assert.NilError(t, err)
		assert.Equal(t, result.State, wire.ClaimState_CLAIM_COMPLETED)
		assert.Equal(t, result.Response.Status, uint32(201))
		assert.Equal(t, result.Response.Truncated, size > MaxBodyBytes)
		assert.Assert(t, size > MaxBodyBytes || len(result.Response.Body) == size)
		c.now = start.Add(timeout + keep)
		c.apply(EncodeNodeLost("none", c.now), nil)
		assert.Equal(t, c.machine.Stats().Records, 0)
		assert.Equal(t, c.machine.used, int64(0))
	})
}

// TestRestoreRefusesDamage guards against a snapshot that is cut short and still read.
func TestRestoreRefusesDamage(t *testing.T) {
	m := filled(3)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	for length := range len(snapshot) {
		assert.ErrorIs(t, m.Restore(snapshot[:length]), ErrSnapshot)
	}
	assert.Equal(t, m.Stats().Records, 3)
}

// TestClockNeverRunsBack guards against a member with a slow clock whose claims
// are kept for less than the retention time, also after a restart.
func TestClockNeverRunsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, machine: NewMachine(), steady: NewMachine(), now: start.Add(time.Hour)}
		c.claim(&attempt{key: "first", id: "a"}, 1<<20)
		c.restart()
		c.now = start
		assert.Equal(t, c.claim(&attempt{key: "k", id: "a"}, 1<<20), wire.ClaimState_CLAIM_GRANTED)
		c.now = start.Add(time.Hour + keep)
		assert.Equal(t, c.claim(&attempt{key: "k", id: "b"}, 1<<20), wire.ClaimState_CLAIM_OUTCOME_UNKNOWN)
	})
}
