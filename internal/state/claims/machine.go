package claims

import (
	"container/heap"
	"sync/atomic"
	"unique"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// Machine is the replicated state machine of keyed requests. Apply, Snapshot and
// Restore are called by one goroutine; Stats may be called by any.
type Machine struct {
	records  map[digest]*record
	expiry   expiryHeap
	byNode   map[unique.Handle[string]]map[*record]struct{}
	released *releasedAttempts
	nowMs    int64
	used     int64
	capacity int64

	stats atomic.Pointer[Stats]
}

// Stats describes the load of a Machine.
type Stats struct {
	Records int
	// UsedBytes is the estimated memory of all records.
	UsedBytes int64
	// CapacityBytes is the bound that the latest claim carried.
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
	m.byNode = map[unique.Handle[string]]map[*record]struct{}{}
	m.released = newReleasedAttempts()
	m.nowMs, m.used, m.capacity = 0, 0, 0
	m.publishStats()
}

// Stats returns the current load.
func (m *Machine) Stats() Stats { return *m.stats.Load() }

func (m *Machine) publishStats() {
	m.stats.Store(&Stats{Records: len(m.records), UsedBytes: m.used, CapacityBytes: m.capacity})
}

// Apply carries out a command and returns the encoded result: a wire.ClaimResult
// for a claim and a wire.ClaimAck for every other command. A malformed command
// changes nothing.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	c, err := decode(data)
	if err != nil {
		return refuse(err.Error())
	}
	m.advance(c.atMs)
	result := m.dispatch(c)
	m.publishStats()
	return result
}

func (m *Machine) dispatch(c command) []byte {
	switch c.kind {
	case kindClaim:
		return m.applyClaim(c)
	case kindRecord:
		outcome := &wire.RecordOutcome{}
		if err := proto.Unmarshal(c.payload, outcome); err != nil {
			return refuse(err.Error())
		}
		return m.recordOutcome(outcome)
	case kindRelease:
		release := &wire.ReleaseClaim{}
		if err := proto.Unmarshal(c.payload, release); err != nil {
			return refuse(err.Error())
		}
		return m.release(release)
	case kindNodeLost:
		m.nodeLost(string(c.payload))
		return acknowledge()
	}
	return refuse("unknown kind of command")
}

func acknowledge() []byte { return marshal(&wire.ClaimAck{Ok: true}) }

func refuse(problem string) []byte { return marshal(&wire.ClaimAck{Error: problem}) }

// advance moves the clock, which never runs backwards, and drops expired records.
func (m *Machine) advance(atMs int64) {
	m.nowMs = max(m.nowMs, atMs)
	for len(m.expiry) > 0 && m.expiry[0].expiresMs <= m.nowMs {
		m.remove(m.expiry[0])
	}
	m.released.expire(m.nowMs)
}

func (m *Machine) applyClaim(c command) []byte {
	claim := &wire.Claim{}
	if err := proto.Unmarshal(c.payload, claim); err != nil || !wellFormed(claim) {
		return answer(wire.ClaimState_CLAIM_UNSPECIFIED)
	}
	m.capacity = c.capacity
	key := digestOf(claim.GetService(), claim.GetKey())
	if r, found := m.records[key]; found {
		return m.claimAgain(r, claim)
	}
	if m.released.has(attemptDigest(key, claim.GetAttemptId())) {
		return answer(wire.ClaimState_CLAIM_UNAVAILABLE)
	}
	r := newRecord(key, claim, c, m.nowMs)
	if m.used+r.bytes() > m.capacity {
		return answer(wire.ClaimState_CLAIM_UNAVAILABLE)
	}
	m.add(r)
	return answer(wire.ClaimState_CLAIM_GRANTED)
}

func wellFormed(claim *wire.Claim) bool {
	return claim.GetKey() != "" && len(claim.GetKey()) <= MaxKeyBytes &&
		claim.GetService() != "" && len(claim.GetService()) <= maxIDBytes &&
		len(claim.GetAttemptId()) > 0 && len(claim.GetAttemptId()) <= maxIDBytes &&
		len(claim.GetNodeId()) <= maxIDBytes
}

func answer(state wire.ClaimState) []byte { return marshal(&wire.ClaimResult{State: state}) }

func attemptDigest(key digest, attempt []byte) digest {
	return digestOf(string(key[:]), string(attempt))
}

func newRecord(key digest, claim *wire.Claim, c command, nowMs int64) *record {
	deadline := nowMs + c.timeoutMs
	return &record{
		key:         key,
		fingerprint: digestOf(string(claim.GetFingerprint())),
		attempt:     string(claim.GetAttemptId()),
		node:        unique.Make(claim.GetNodeId()),
		deadlineMs:  deadline,
		expiresMs:   deadline + c.keepMs,
		state:       inProgress,
	}
}

func (m *Machine) claimAgain(r *record, claim *wire.Claim) []byte {
	if r.fingerprint != digestOf(string(claim.GetFingerprint())) {
		return answer(wire.ClaimState_CLAIM_MISMATCH)
	}
	if r.state == inProgress && m.nowMs >= r.deadlineMs {
		m.setState(r, lost)
	}
	switch r.state {
	case completed:
		return answerWithResponse(r)
	case inProgress:
		if r.attempt == string(claim.GetAttemptId()) && r.node.Value() == claim.GetNodeId() {
			return answer(wire.ClaimState_CLAIM_GRANTED)
		}
		return answer(wire.ClaimState_CLAIM_IN_PROGRESS)
	default:
		return answer(wire.ClaimState_CLAIM_OUTCOME_UNKNOWN)
	}
}

func answerWithResponse(r *record) []byte {
	response := &wire.RecordedResponse{}
	if err := proto.Unmarshal(r.response, response); err != nil {
		panic(err) // the machine encoded it, and Restore checked it
	}
	return marshal(&wire.ClaimResult{State: wire.ClaimState_CLAIM_COMPLETED, Response: response})
}

func (m *Machine) recordOutcome(outcome *wire.RecordOutcome) []byte {
	r, found := m.records[digestOf(outcome.GetService(), outcome.GetKey())]
	if !found {
		return refuse("no record of the claim")
	}
	if r.attempt != string(outcome.GetAttemptId()) {
		return refuse("another attempt holds the claim")
	}
	if !r.isHeldBy(outcome.GetNodeId()) {
		return refuse("another node holds the claim")
	}
	if r.state == completed {
		return acknowledge()
	}
	if outcome.GetResponse() == nil {
		m.setState(r, unknown)
		return acknowledge()
	}
	m.complete(r, outcome.GetResponse())
	return acknowledge()
}

// isHeldBy returns whether the node was granted the claim. Commands written before
// messages named their node have an empty one and are told apart by the attempt only.
func (r *record) isHeldBy(node string) bool {
	return node == "" || r.node.Value() == node
}

// complete records only the status when the response does not fit into the capacity.
func (m *Machine) complete(r *record, response *wire.RecordedResponse) {
	encoded := encodeResponse(response)
	if m.used+int64(len(encoded)) > m.capacity {
		encoded = marshal(statusOnly(response))
	}
	m.used -= r.bytes()
	r.response = encoded
	m.used += r.bytes()
	m.setState(r, completed)
}

func (m *Machine) release(release *wire.ReleaseClaim) []byte {
	key := digestOf(release.GetService(), release.GetKey())
	id := attemptDigest(key, release.GetAttemptId())
	r, found := m.records[key]
	if found && r.attempt != string(release.GetAttemptId()) {
		m.rememberReleased(id)
		return refuse("another attempt holds the claim")
	}
	if found && !r.isHeldBy(release.GetNodeId()) {
		return refuse("another node holds the claim")
	}
	if found && (r.state == completed || r.state == unknown) {
		return refuse("the holder dispatched the request")
	}
	if found {
		m.remove(r)
	}
	m.rememberReleased(id)
	return acknowledge()
}

func (m *Machine) rememberReleased(id digest) {
	m.released.add(id, m.nowMs+releaseMemory.Milliseconds())
}

func (m *Machine) nodeLost(node string) {
	for r := range m.byNode[unique.Make(node)] {
		m.setState(r, lost)
	}
}

func (m *Machine) add(r *record) {
	m.records[r.key] = r
	m.used += r.bytes()
	heap.Push(&m.expiry, r)
	if r.state == inProgress {
		m.index(r)
	}
}

func (m *Machine) remove(r *record) {
	delete(m.records, r.key)
	m.used -= r.bytes()
	heap.Remove(&m.expiry, r.position)
	m.unindex(r)
}

func (m *Machine) setState(r *record, next state) {
	r.state = next
	m.unindex(r)
}

func (m *Machine) index(r *record) {
	if m.byNode[r.node] == nil {
		m.byNode[r.node] = map[*record]struct{}{}
	}
	m.byNode[r.node][r] = struct{}{}
}

func (m *Machine) unindex(r *record) {
	delete(m.byNode[r.node], r)
	if len(m.byNode[r.node]) == 0 {
		delete(m.byNode, r.node)
	}
}
