package claims

import (
	"container/heap"
	"sync/atomic"
	"unique"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Machine is the replicated state machine of keyed requests. Apply, Snapshot and
// Restore must be called from one goroutine; Stats is safe for concurrent use.
type Machine struct {
	records map[digest]*record
	expiry  expiryHeap
	// inProgressByNode indexes the records in progress by the node that holds the claim.
	inProgressByNode map[unique.Handle[string]]map[*record]struct{}
	released         *releasedAttempts
	// nowMs is the latest proposal time of the applied commands, in Unix milliseconds.
	nowMs int64
	// usedBytes is the estimated memory of all records.
	usedBytes int64
	// capacityBytes is the capacity from the latest claim.
	capacityBytes int64

	stats atomic.Pointer[Stats]
}

// Stats is the memory use of a Machine.
type Stats struct {
	Records int
	// UsedBytes is the estimated memory of all records.
	UsedBytes int64
	// CapacityBytes is the limit for UsedBytes from the latest claim.
	CapacityBytes int64
}

// NewMachine returns a machine without records.
func NewMachine() *Machine {
	m := &Machine{}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.records = map[digest]*record{}
	m.expiry = nil
	m.inProgressByNode = map[unique.Handle[string]]map[*record]struct{}{}
	m.released = newReleasedAttempts()
	m.nowMs, m.usedBytes, m.capacityBytes = 0, 0, 0
	m.publishStats()
}

// Stats returns the memory use after the latest applied command.
func (m *Machine) Stats() Stats { return *m.stats.Load() }

func (m *Machine) publishStats() {
	m.stats.Store(&Stats{Records: len(m.records), UsedBytes: m.usedBytes, CapacityBytes: m.capacityBytes})
}

// Apply applies a command and returns the encoded result: a wire.ClaimResult
// for a claim and a wire.ClaimAck for every other command. A command that is shorter
// than its header changes nothing; one with an unknown kind or a malformed payload
// only advances the clock.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	c, err := decodeCommand(data)
	if err != nil {
		return rejectedAck(err.Error())
	}
	m.advanceClock(c.proposedAtMs)
	result := m.applyCommand(c)
	m.publishStats()
	return result
}

func (m *Machine) applyCommand(c command) []byte {
	switch c.kind {
	case kindClaim:
		return m.applyClaim(c)
	case kindRecordOutcome:
		outcome := &wire.RecordOutcome{}
		if err := proto.Unmarshal(c.payload, outcome); err != nil {
			return rejectedAck(err.Error())
		}
		return m.applyOutcome(outcome)
	case kindRelease:
		release := &wire.ReleaseClaim{}
		if err := proto.Unmarshal(c.payload, release); err != nil {
			return rejectedAck(err.Error())
		}
		return m.applyRelease(release)
	case kindNodeLost:
		m.applyNodeLost(string(c.payload))
		return acceptedAck()
	}
	return rejectedAck("unknown kind of command")
}

func acceptedAck() []byte { return mustMarshal(&wire.ClaimAck{Ok: true}) }

func rejectedAck(problem string) []byte { return mustMarshal(&wire.ClaimAck{Error: problem}) }

// advanceClock sets the clock to a later proposal time, ignores an earlier one, and
// removes expired records and released attempts.
func (m *Machine) advanceClock(proposedAtMs int64) {
	m.nowMs = max(m.nowMs, proposedAtMs)
	for len(m.expiry) > 0 && m.expiry[0].expiresAtMs <= m.nowMs {
		m.remove(m.expiry[0])
	}
	m.released.removeExpired(m.nowMs)
}

func (m *Machine) applyClaim(c command) []byte {
	claim := &wire.Claim{}
	if err := proto.Unmarshal(c.payload, claim); err != nil || !isValidClaim(claim) {
		return claimResult(wire.ClaimState_CLAIM_UNSPECIFIED)
	}
	m.capacityBytes = c.capacityBytes
	keyDigest := digestOf(claim.GetService(), claim.GetKey())
	if r, found := m.records[keyDigest]; found {
		return m.claimExisting(r, claim)
	}
	if m.released.contains(attemptDigest(keyDigest, claim.GetAttemptId())) {
		return claimResult(wire.ClaimState_CLAIM_UNAVAILABLE)
	}
	r := newRecord(keyDigest, claim, c, m.nowMs)
	if m.usedBytes+r.sizeBytes() > m.capacityBytes {
		return claimResult(wire.ClaimState_CLAIM_UNAVAILABLE)
	}
	m.add(r)
	return claimResult(wire.ClaimState_CLAIM_GRANTED)
}

func isValidClaim(claim *wire.Claim) bool {
	return claim.GetKey() != "" && len(claim.GetKey()) <= MaxKeyBytes &&
		claim.GetService() != "" && len(claim.GetService()) <= maxIDBytes &&
		len(claim.GetAttemptId()) > 0 && len(claim.GetAttemptId()) <= maxIDBytes &&
		len(claim.GetNodeId()) <= maxIDBytes
}

func claimResult(state wire.ClaimState) []byte { return mustMarshal(&wire.ClaimResult{State: state}) }

// attemptDigest identifies an attempt at a key.
func attemptDigest(keyDigest digest, attemptID []byte) digest {
	return digestOf(string(keyDigest[:]), string(attemptID))
}

func newRecord(keyDigest digest, claim *wire.Claim, c command, nowMs int64) *record {
	deadlineMs := nowMs + c.timeoutMs
	return &record{
		keyDigest:   keyDigest,
		fingerprint: digestOf(string(claim.GetFingerprint())),
		attemptID:   string(claim.GetAttemptId()),
		nodeID:      unique.Make(claim.GetNodeId()),
		deadlineMs:  deadlineMs,
		expiresAtMs: deadlineMs + c.retentionMs,
		state:       stateInProgress,
	}
}

// claimExisting returns the result of a claim on a key that has a record. A repeated
// claim of the holder's attempt is granted again, as the first result may not have
// reached the holder.
func (m *Machine) claimExisting(r *record, claim *wire.Claim) []byte {
	if r.fingerprint != digestOf(string(claim.GetFingerprint())) {
		return claimResult(wire.ClaimState_CLAIM_MISMATCH)
	}
	if r.state == stateInProgress && m.nowMs >= r.deadlineMs {
		m.setState(r, stateLost)
	}
	switch r.state {
	case stateCompleted:
		return completedResult(r)
	case stateInProgress:
		if r.attemptID == string(claim.GetAttemptId()) && r.nodeID.Value() == claim.GetNodeId() {
			return claimResult(wire.ClaimState_CLAIM_GRANTED)
		}
		return claimResult(wire.ClaimState_CLAIM_IN_PROGRESS)
	default:
		return claimResult(wire.ClaimState_CLAIM_OUTCOME_UNKNOWN)
	}
}

func completedResult(r *record) []byte {
	response := &wire.RecordedResponse{}
	if err := proto.Unmarshal(r.response, response); err != nil {
		panic(err) // encodeResponse has encoded the response, or Restore has validated it
	}
	return mustMarshal(&wire.ClaimResult{State: wire.ClaimState_CLAIM_COMPLETED, Response: response})
}

func (m *Machine) applyOutcome(outcome *wire.RecordOutcome) []byte {
	r, found := m.records[digestOf(outcome.GetService(), outcome.GetKey())]
	if !found {
		return rejectedAck("no record of the claim")
	}
	if r.attemptID != string(outcome.GetAttemptId()) {
		return rejectedAck("another attempt holds the claim")
	}
	if !r.isHeldBy(outcome.GetNodeId()) {
		return rejectedAck("another node holds the claim")
	}
	if r.state == stateCompleted {
		return acceptedAck()
	}
	if outcome.GetResponse() == nil {
		m.setState(r, stateUnknown)
		return acceptedAck()
	}
	m.complete(r, outcome.GetResponse())
	return acceptedAck()
}

// isHeldBy reports whether the claim was granted to the node. An empty node ID matches
// any node: log entries from before the messages had a node ID are checked by attempt
// ID only.
func (r *record) isHeldBy(nodeID string) bool {
	return nodeID == "" || r.nodeID.Value() == nodeID
}

// complete records a response, or its status only if the response would exceed the
// capacity.
func (m *Machine) complete(r *record, response *wire.RecordedResponse) {
	encoded := encodeResponse(response)
	if m.usedBytes+int64(len(encoded)) > m.capacityBytes {
		encoded = mustMarshal(statusOnly(response))
	}
	m.usedBytes -= r.sizeBytes()
	r.response = encoded
	m.usedBytes += r.sizeBytes()
	m.setState(r, stateCompleted)
}

func (m *Machine) applyRelease(release *wire.ReleaseClaim) []byte {
	keyDigest := digestOf(release.GetService(), release.GetKey())
	id := attemptDigest(keyDigest, release.GetAttemptId())
	r, found := m.records[keyDigest]
	if found && r.attemptID != string(release.GetAttemptId()) {
		m.addReleased(id)
		return rejectedAck("another attempt holds the claim")
	}
	if found && !r.isHeldBy(release.GetNodeId()) {
		return rejectedAck("another node holds the claim")
	}
	if found && (r.state == stateCompleted || r.state == stateUnknown) {
		return rejectedAck("the holder dispatched the request")
	}
	if found {
		m.remove(r)
	}
	m.addReleased(id)
	return acceptedAck()
}

func (m *Machine) addReleased(id digest) {
	m.released.add(id, m.nowMs+releasedRetention.Milliseconds())
}

func (m *Machine) applyNodeLost(nodeID string) {
	for r := range m.inProgressByNode[unique.Make(nodeID)] {
		m.setState(r, stateLost)
	}
}

func (m *Machine) add(r *record) {
	m.records[r.keyDigest] = r
	m.usedBytes += r.sizeBytes()
	heap.Push(&m.expiry, r)
	if r.state == stateInProgress {
		m.addToNodeIndex(r)
	}
}

func (m *Machine) remove(r *record) {
	delete(m.records, r.keyDigest)
	m.usedBytes -= r.sizeBytes()
	heap.Remove(&m.expiry, r.heapIndex)
	m.removeFromNodeIndex(r)
}

// setState sets a state other than stateInProgress and removes the record from the
// node index.
func (m *Machine) setState(r *record, newState state) {
	r.state = newState
	m.removeFromNodeIndex(r)
}

func (m *Machine) addToNodeIndex(r *record) {
	if m.inProgressByNode[r.nodeID] == nil {
		m.inProgressByNode[r.nodeID] = map[*record]struct{}{}
	}
	m.inProgressByNode[r.nodeID][r] = struct{}{}
}

func (m *Machine) removeFromNodeIndex(r *record) {
	delete(m.inProgressByNode[r.nodeID], r)
	if len(m.inProgressByNode[r.nodeID]) == 0 {
		delete(m.inProgressByNode, r.nodeID)
	}
}
