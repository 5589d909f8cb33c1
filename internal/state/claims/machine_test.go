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
	timeout   = 20 * time.Second
	retention = 100 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// attempt is one attempt at a key and what its node knows about it.
type attempt struct {
	key, id, node string
	granted       bool
	grantedAt     time.Time
	released      bool
	releasedAt    time.Time
}

// machinePair applies the same commands to two machines, of which only one is restarted
// from its snapshot between commands.
type machinePair struct {
	t             *rapid.T
	restarted     *Machine
	uninterrupted *Machine
	now           time.Time
	// latest is the latest proposal time of all commands; now may be earlier, as the
	// clocks of members differ.
	latest   time.Time
	attempts []*attempt
	// recordedBody holds the body of the first response recorded for a key, and
	// recordedGrantAt the time at which its claim was granted.
	recordedBody    map[string]string
	recordedGrantAt map[string]time.Time
}

func (p *machinePair) apply(command []byte, err error) []byte {
	assert.NilError(p.t, err)
	if p.now.After(p.latest) {
		p.latest = p.now
	}
	result := p.restarted.Apply(0, command)
	assert.Assert(p.t, bytes.Equal(result, p.uninterrupted.Apply(0, command)), "the result differs after a restart")
	return result
}

func (p *machinePair) claim(a *attempt, capacityBytes int64) wire.ClaimState {
	terms := Terms{ProposedAt: p.now, Timeout: timeout, Retention: retention, CapacityBytes: capacityBytes}
	claim := &wire.Claim{Service: "s", Key: a.key, Fingerprint: []byte("f"), AttemptId: []byte(a.id), NodeId: a.node}
	recordsBefore := len(p.restarted.records)
	result, err := DecodeClaimResult(p.apply(EncodeClaim(claim, terms)))
	assert.NilError(p.t, err)
	if len(p.restarted.records) > recordsBefore {
		assert.Assert(p.t, p.restarted.usedBytes <= capacityBytes, "a record was added although it exceeds the capacity")
	}
	if result.State == wire.ClaimState_CLAIM_GRANTED {
		p.checkGrant(a)
	}
	if result.State == wire.ClaimState_CLAIM_COMPLETED {
		// A response that exceeds the capacity is recorded without its body.
		// TestClaimStateTransitions checks which body sizes are truncated.
		complete := !result.Response.Truncated
		assert.Assert(p.t, !complete || string(result.Response.Body) == p.recordedBody[a.key])
	}
	return result.State
}

// checkGrant fails if the attempt released its claim within releasedRetention, if
// another attempt was granted the key within the retention time and has not released
// it, or if an outcome was recorded for a grant within the retention time.
func (p *machinePair) checkGrant(a *attempt) {
	if a.released {
		assert.Assert(p.t, p.latest.Sub(a.releasedAt) >= releasedRetention, "a released attempt was granted")
	}
	for _, other := range p.attempts {
		if other == a || other.key != a.key || !other.granted || other.released {
			continue
		}
		assert.Assert(p.t, p.latest.Sub(other.grantedAt) >= retention, "two attempts were granted key %s", a.key)
	}
	if at, ok := p.recordedGrantAt[a.key]; ok {
		assert.Assert(p.t, p.latest.Sub(at) >= retention, "the key was granted after a recorded outcome")
		delete(p.recordedBody, a.key)
		delete(p.recordedGrantAt, a.key)
	}
	a.granted = true
	a.grantedAt = p.latest
}

func (p *machinePair) isAccepted(result []byte) bool {
	ack, err := DecodeAck(result)
	assert.NilError(p.t, err)
	return ack.Ok
}

func (p *machinePair) record(a *attempt) {
	if !a.granted || a.released {
		return
	}
	body := fmt.Sprintf("%s at %s", a.id, p.now)
	outcome := &wire.RecordOutcome{Service: "s", Key: a.key, AttemptId: []byte(a.id)}
	withResponse := rapid.Bool().Draw(p.t, "response")
	if withResponse {
		outcome.Response = &wire.RecordedResponse{Status: 200, Body: []byte(body)}
	}
	accepted := p.isAccepted(p.apply(EncodeRecordOutcome(outcome, p.now)))
	if _, alreadyRecorded := p.recordedBody[a.key]; accepted && withResponse && !alreadyRecorded {
		p.recordedBody[a.key] = body
		p.recordedGrantAt[a.key] = a.grantedAt
	}
}

// release releases the claim of an attempt. It may follow a claim whose result was lost
// or that was never applied, but must be rejected after a recorded outcome.
func (p *machinePair) release(a *attempt) {
	release := &wire.ReleaseClaim{Service: "s", Key: a.key, AttemptId: []byte(a.id)}
	if p.isAccepted(p.apply(EncodeRelease(release, p.now))) && !a.released {
		_, recorded := p.recordedBody[a.key]
		assert.Assert(p.t, !recorded || p.latest.Sub(p.recordedGrantAt[a.key]) >= retention, "a claim was released after a recorded outcome")
		a.released = true
		a.releasedAt = p.latest
	}
}

func (p *machinePair) restart() {
	snapshot, err := p.restarted.Snapshot()
	assert.NilError(p.t, err)
	p.restarted = NewMachine()
	assert.NilError(p.t, p.restarted.Restore(snapshot))
	assert.Equal(p.t, p.restarted.Stats(), p.uninterrupted.Stats())
}

// TestKeyHasOneHolder guards against a key that is granted to a second attempt while
// the first has not released it, in any order of claims, repeated claims, releases,
// outcomes, lost nodes, expiry, claims refused for lack of capacity, and restarts from
// a snapshot.
func TestKeyHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &machinePair{
			t: t, restarted: NewMachine(), uninterrupted: NewMachine(), now: start,
			recordedBody: map[string]string{}, recordedGrantAt: map[string]time.Time{},
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			key := rapid.SampledFrom([]string{"k1", "k1", "k2"}).Draw(t, "key")
			node := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")
			p.attempts = append(p.attempts, &attempt{key: key, id: id, node: node})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.applyRandomAction(rapid.SampledFrom(p.attempts).Draw(t, "attempt"))
		}
	})
}

func (p *machinePair) applyRandomAction(a *attempt) {
	switch rapid.IntRange(0, 9).Draw(p.t, "action") {
	case 0:
		p.restart()
	case 1:
		p.now = p.now.Add(time.Duration(rapid.IntRange(-80, 90).Draw(p.t, "seconds")) * time.Second)
	case 2:
		p.apply(EncodeNodeLost(a.node, p.now), nil)
	case 3, 4:
		p.record(a)
	case 5:
		p.release(a)
	case 6:
		p.claim(a, fixedRecordBytes+8)
	default:
		p.claim(a, 1<<20)
	}
}

// TestClaimStateTransitions guards against an attempt that cannot repeat its claim after
// the result was lost, a claim that stays in progress after its deadline or after its
// node was lost, a late outcome that is rejected, an outcome or release accepted from
// another attempt or node, a key reused for a different request, and a record that is
// kept after its expiry.
func TestClaimStateTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &machinePair{t: t, restarted: NewMachine(), uninterrupted: NewMachine(), now: start, recordedBody: map[string]string{}}
		holder, other := &attempt{key: "k", id: "a", node: "n1"}, &attempt{key: "k", id: "b", node: "n2"}
		assert.Equal(t, p.claim(holder, 1<<20), wire.ClaimState_CLAIM_GRANTED)
		assert.Equal(t, p.claim(holder, 0), wire.ClaimState_CLAIM_GRANTED)
		assert.Equal(t, p.claim(other, 0), wire.ClaimState_CLAIM_IN_PROGRESS)
		mismatch := &wire.Claim{Service: "s", Key: "k", Fingerprint: []byte("g"), AttemptId: []byte("c")}
		result, err := DecodeClaimResult(p.apply(EncodeClaim(mismatch, Terms{ProposedAt: p.now})))
		assert.NilError(t, err)
		assert.Equal(t, result.State, wire.ClaimState_CLAIM_MISMATCH)
		if rapid.Bool().Draw(t, "node lost") {
			p.apply(EncodeNodeLost("n1", p.now), nil)
		} else {
			p.now = p.now.Add(timeout)
		}
		assert.Equal(t, p.claim(other, 0), wire.ClaimState_CLAIM_OUTCOME_UNKNOWN)
		bodyBytes := rapid.SampledFrom([]int{0, MaxRecordedBodyBytes, MaxRecordedBodyBytes + 1}).Draw(t, "size")
		body := make([]byte, bodyBytes)
		outcome := &wire.RecordOutcome{Service: "s", Key: "k", AttemptId: []byte("b"), Response: &wire.RecordedResponse{Status: 201, Body: body}}
		p.restarted.capacityBytes, p.uninterrupted.capacityBytes = 1<<20, 1<<20
		assert.Assert(t, !p.isAccepted(p.apply(EncodeRecordOutcome(outcome, p.now))), "the outcome of another attempt was recorded")
		outcome.AttemptId, outcome.NodeId = []byte("a"), "n2"
		assert.Assert(t, !p.isAccepted(p.apply(EncodeRecordOutcome(outcome, p.now))), "the outcome of another node was recorded")
		release := &wire.ReleaseClaim{Service: "s", Key: "k", AttemptId: []byte("a"), NodeId: "n2"}
		assert.Assert(t, !p.isAccepted(p.apply(EncodeRelease(release, p.now))), "the claim was released by another node")
		outcome.NodeId = "n1"
		assert.Assert(t, p.isAccepted(p.apply(EncodeRecordOutcome(outcome, p.now))))
		claim := &wire.Claim{Service: "s", Key: "k", Fingerprint: []byte("f"), AttemptId: []byte("b")}
		result, err = DecodeClaimResult(p.apply(EncodeClaim(claim, Terms{ProposedAt: p.now})))
		assert.NilError(t, err)
		assert.Equal(t, result.State, wire.ClaimState_CLAIM_COMPLETED)
		assert.Equal(t, result.Response.Status, uint32(201))
		assert.Equal(t, result.Response.Truncated, bodyBytes > MaxRecordedBodyBytes)
		assert.Assert(t, bodyBytes > MaxRecordedBodyBytes || len(result.Response.Body) == bodyBytes)
		p.now = start.Add(timeout + retention)
		p.apply(EncodeNodeLost("none", p.now), nil)
		assert.Equal(t, p.restarted.Stats().Records, 0)
		assert.Equal(t, p.restarted.usedBytes, int64(0))
	})
}

// TestRestoreRejectsTruncatedSnapshot guards against a truncated snapshot that is
// restored without an error or changes the state.
func TestRestoreRejectsTruncatedSnapshot(t *testing.T) {
	m := machineWithClaims(3)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	for length := range len(snapshot) {
		assert.ErrorIs(t, m.Restore(snapshot[:length]), ErrSnapshot)
	}
	assert.Equal(t, m.Stats().Records, 3)
}

// TestClockIsMonotonic guards against records that are kept for less than the retention
// time because the proposing member's clock is behind, also after a restart.
func TestClockIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &machinePair{t: t, restarted: NewMachine(), uninterrupted: NewMachine(), now: start.Add(time.Hour)}
		p.claim(&attempt{key: "first", id: "a"}, 1<<20)
		p.restart()
		p.now = start
		assert.Equal(t, p.claim(&attempt{key: "k", id: "a"}, 1<<20), wire.ClaimState_CLAIM_GRANTED)
		p.now = start.Add(time.Hour + retention)
		assert.Equal(t, p.claim(&attempt{key: "k", id: "b"}, 1<<20), wire.ClaimState_CLAIM_OUTCOME_UNKNOWN)
	})
}
