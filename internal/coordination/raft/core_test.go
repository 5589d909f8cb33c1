package raft

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// newLeader returns member 1 of three, which became leader of term 3 with the vote of
// member 2. Its log holds an entry of term 2 that is not known to be on a quorum.
func newLeader(t *testing.T) *Core {
	config := Configuration{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	core, err := New(Config{
		ID: 1, ElectionTicks: 5, HeartbeatTicks: 1, SnapshotTicks: 50, MaxAppendBytes: 1000, MaxInFlightAppends: 2,
		Random: func(int) int { return 0 },
	}, State{
		HardState: HardState{Term: 2, Commit: 1},
		Entries: []Entry{
			{Index: 1, Term: 1, Kind: EntryConfig, Data: EncodeConfiguration(config)},
			{Index: 2, Term: 2, Kind: EntryCommand},
		},
	})
	assert.NilError(t, err)
	for range 5 {
		core.Tick()
	}
	core.Step(Message{Kind: MsgPreVoteResponse, From: 2, To: 1, Term: 3})
	persist(core)
	core.Step(Message{Kind: MsgVoteResponse, From: 2, To: 1, Term: 3})
	persist(core)
	assert.Equal(t, core.Status().Role, Leader)
	return core
}

// persist completes every Ready and returns the messages and read results.
func persist(core *Core) (sent []Message, reads []ReadResult) {
	for r, ok := core.Ready(); ok; r, ok = core.Ready() {
		core.Persisted(r)
		sent = append(append(sent, r.Immediate...), r.Messages...)
		reads = append(reads, r.Reads...)
	}
	return sent, reads
}

// TestNewLeaderWaitsForCommitInItsTerm guards against committing an entry of an earlier
// term by counting its replicas (figure 8 of the Raft paper), and against reads and
// membership changes before the leader knows the commit index.
func TestNewLeaderWaitsForCommitInItsTerm(t *testing.T) {
	core := newLeader(t)
	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 2})
	assert.NilError(t, core.ReadIndex(7))
	_, err := core.ProposeChange(Change{Kind: Remove, ID: 3})
	assert.ErrorIs(t, err, ErrChangePending)
	_, reads := persist(core)
	assert.Equal(t, len(reads), 0)
	assert.Equal(t, core.Status().Commit, uint64(1))

	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 3})
	assert.Equal(t, core.Status().Commit, uint64(3))
	_, reads = persist(core)
	assert.Equal(t, len(reads), 0, "read completed without confirmation by a quorum")
	core.Step(Message{Kind: MsgHeartbeatResponse, From: 3, To: 1, Term: 3, ReadRound: 1})
	_, reads = persist(core)
	assert.DeepEqual(t, reads, []ReadResult{{ID: 7, Index: 3}})
	_, err = core.ProposeChange(Change{Kind: Remove, ID: 3})
	assert.NilError(t, err)
	_, err = core.ProposeChange(Change{Kind: AddLearner, ID: 4})
	assert.ErrorIs(t, err, ErrChangePending)
	meta, ok := core.SnapshotMetaAt(3)
	assert.Assert(t, ok && meta.Configuration.IsVoter(3), "metadata of a snapshot before the membership change must not include the change")
}

// TestLostTransferRequestIsRepeated guards against a leadership transfer that does not happen
// because the one message that asks the successor to start an election was lost.
func TestLostTransferRequestIsRepeated(t *testing.T) {
	isTransferRequest := func(m Message) bool { return m.Kind == MsgTimeoutNow && m.To == 2 }
	core := newLeader(t)
	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 3})
	persist(core)
	assert.NilError(t, core.TransferLeader(2))
	lost, _ := persist(core)
	assert.Assert(t, slices.ContainsFunc(lost, isTransferRequest))

	core.Step(Message{Kind: MsgHeartbeatResponse, From: 3, To: 1, Term: 3})
	sent, _ := persist(core)
	assert.Assert(t, !slices.ContainsFunc(sent, isTransferRequest), "repeated on the response of another member")
	core.Step(Message{Kind: MsgHeartbeatResponse, From: 2, To: 1, Term: 3})
	sent, _ = persist(core)
	assert.Assert(t, slices.ContainsFunc(sent, isTransferRequest), "not repeated")
}

// TestLowerTermRequestIsRejected guards against ignoring requests of a lower term. If a
// member whose term is above the leader's ignored them, it could neither follow that
// leader nor replace it.
func TestLowerTermRequestIsRejected(t *testing.T) {
	core := newLeader(t)
	for _, kind := range []MessageKind{MsgAppend, MsgHeartbeat, MsgPreVote} {
		persist(core)
		core.Step(Message{Kind: kind, From: 3, To: 1, Term: 2})
		sent, _ := persist(core)
		assert.Equal(t, len(sent), 1)
		assert.Assert(t, sent[0].Reject && sent[0].Term == 3 && sent[0].To == 3)
	}
}

// TestAppendsInFlightAreBounded guards against a leader that sends an unlimited number of
// appends to a member that does not acknowledge them.
func TestAppendsInFlightAreBounded(t *testing.T) {
	core := newLeader(t)
	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 3})
	persist(core)
	appends := 0
	for range 10 {
		_, _, err := core.Propose([][]byte{make([]byte, 900)})
		assert.NilError(t, err)
		sent, _ := persist(core)
		for _, m := range sent {
			if m.To == 2 && len(m.Entries) > 0 {
				appends++
			}
		}
	}
	assert.Equal(t, appends, 2)
}

// TestLeaderStepsDownWithoutQuorum guards against an isolated leader that continues to
// accept proposals, and against a vote request of a higher term that deposes a leader in
// contact with a quorum.
func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	core := newLeader(t)
	core.Step(Message{Kind: MsgVote, From: 3, To: 1, Term: 9, Index: 99, LogTerm: 8})
	assert.Equal(t, core.Status().Role, Leader)
	for range 5 {
		core.Tick()
	}
	_, _, err := core.Propose([][]byte{nil})
	assert.ErrorIs(t, err, ErrNotLeader)
}

// TestReplacedEntriesAreWrittenAgain guards against treating entries as durable when the
// entries written were replaced during the write.
func TestReplacedEntriesAreWrittenAgain(t *testing.T) {
	core := newLeader(t)
	_, _, err := core.Propose([][]byte{[]byte("old")})
	assert.NilError(t, err)
	firstReady, _ := core.Ready()
	replacement := []Entry{{Index: 4, Term: 4, Kind: EntryNoop}}
	core.Step(Message{Kind: MsgAppend, From: 2, To: 1, Term: 4, Index: 3, LogTerm: 3, Entries: replacement})
	core.Persisted(firstReady)
	secondReady, _ := core.Ready()
	assert.DeepEqual(t, secondReady.Entries, replacement)
}

// TestCommitOnlyMatchedEntries guards against committing a stale suffix of the log when
// the leader's commit index is higher than the last index that its append covers.
func TestCommitOnlyMatchedEntries(t *testing.T) {
	core := newLeader(t)
	core.Step(Message{Kind: MsgAppend, From: 2, To: 1, Term: 4, Index: 2, LogTerm: 2, Commit: 9})
	assert.Equal(t, core.Status().LastIndex, uint64(3))
	assert.Equal(t, core.Status().Commit, uint64(2))
}

// TestLearnerMustCatchUp guards against promoting a learner that lags behind, which would
// delay commits that need its acknowledgement for a quorum.
func TestLearnerMustCatchUp(t *testing.T) {
	core := newLeader(t)
	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 3})
	persist(core)
	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 3})
	_, err := core.ProposeChange(Change{Kind: AddLearner, ID: 4})
	assert.NilError(t, err)
	persist(core)
	core.Step(Message{Kind: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 4})
	core.Step(Message{Kind: MsgAppendResponse, From: 4, To: 1, Term: 3, Index: 2})
	_, err = core.ProposeChange(Change{Kind: Promote, ID: 4})
	assert.ErrorIs(t, err, ErrNotCaughtUp)
	core.Step(Message{Kind: MsgAppendResponse, From: 4, To: 1, Term: 3, Index: 4})
	_, err = core.ProposeChange(Change{Kind: Promote, ID: 4})
	assert.NilError(t, err)
}

// FuzzDecodeMessage guards against a panic on malformed input and against input that
// decodes although it is not the encoding of the decoded message.
func FuzzDecodeMessage(f *testing.F) {
	meta := SnapshotMeta{Index: 3, Term: 2, Configuration: Configuration{Members: []Member{{ID: 5, Address: "a:1"}}}}
	f.Add(EncodeMessage(Message{Kind: MsgHeartbeat, From: 1, To: 2, Term: 3, Commit: 300}))
	f.Add(EncodeMessage(Message{Kind: MsgAppend, From: 1, To: 2, Term: 3, Index: 1, Entries: []Entry{{2, 3, EntryCommand, []byte("x")}}}))
	f.Add(EncodeMessage(Message{Kind: MsgSnapshot, To: 2, Term: 3, Snapshot: &Snapshot{Meta: meta, Data: []byte("state")}}))
	f.Add([]byte{1, 5, 0, 0x80, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err == nil && !bytes.Equal(EncodeMessage(m), data) {
			t.Fatalf("input differs from the encoding of the decoded message %+v", m)
		}
	})
}

// TestInitialElectionTimeout guards against a full election timeout without a leader after
// all members restart, and against a short timeout that also applies to later elections.
func TestInitialElectionTimeout(t *testing.T) {
	config := Configuration{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	core, err := New(Config{
		ID: 1, ElectionTicks: 10, InitialElectionTicks: 3, HeartbeatTicks: 2, SnapshotTicks: 50, MaxAppendBytes: 1000, MaxInFlightAppends: 2,
		Random: func(int) int { return 0 },
	}, State{
		HardState: HardState{Term: 1, Commit: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: EncodeConfiguration(config)}},
	})
	assert.NilError(t, err)
	countCampaigns := func(ticks int) int {
		count := 0
		for range ticks {
			core.Tick()
			sent, _ := persist(core)
			for _, m := range sent {
				if m.Kind == MsgPreVote && m.To == 2 {
					count++
				}
			}
		}
		return count
	}
	assert.Equal(t, countCampaigns(2), 0)
	assert.Equal(t, countCampaigns(1), 1)
	assert.Equal(t, countCampaigns(9), 0)
	assert.Equal(t, countCampaigns(1), 1)
}
