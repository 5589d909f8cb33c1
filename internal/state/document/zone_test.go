package document

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setZone applies the command that sets the state of zone a.
func setZone(t *testing.T, m *Machine, team string, state ZoneState, base uint64) Result {
	command, err := EncodeZoneState(team, "a", state, base, time.Unix(0, 0))
	assert.NilError(t, err)
	return applyEncoded(t, m, command)
}

// TestZoneState guards against failing to set the state of a zone without a section, and
// against a command of a team that may not.
func TestZoneState(t *testing.T) {
	m := newBatchMachine(t)
	version := m.View().ZoneVersion("a")
	assert.Equal(t, setZone(t, m, "red", ZoneOut, version).Outcome, Forbidden)
	for _, state := range []ZoneState{ZoneOut, ZoneOut, ZoneIn} {
		result := setZone(t, m, "ops", state, version)
		assert.Equal(t, result.Outcome, Accepted)
		assert.Equal(t, m.View().Document.Zones["a"].State, state)
		assert.Equal(t, m.View().ZoneVersion("a"), result.Version)
		version = result.Version
	}
}

// TestZoneStateWithOldVersion guards against a command that was made before a later one was
// accepted and is applied after it, also when the later one left the state as it was.
func TestZoneStateWithOldVersion(t *testing.T) {
	m := newBatchMachine(t)
	first := setZone(t, m, "ops", ZoneOut, m.View().ZoneVersion("a"))
	assert.Equal(t, first.Outcome, Accepted)
	repeated := setZone(t, m, "ops", ZoneOut, first.Version)
	assert.Equal(t, repeated.Outcome, Accepted)

	late := setZone(t, m, "ops", ZoneIn, first.Version)
	assert.Equal(t, late.Outcome, Conflict)
	assert.Equal(t, late.Version, repeated.Version)
	assert.Equal(t, m.View().Document.Zones["a"].State, ZoneOut)
}

// TestZoneStateOfEarlierLog guards against members that replay the same log to different
// documents: a command without a base version applies to any version, and makes no revision
// when the state stays the same.
func TestZoneStateOfEarlierLog(t *testing.T) {
	m := newBatchMachine(t)
	apply := func(state string) Result {
		return applyEncoded(t, m, []byte(`{"zone":{"team":"ops","zone":"a","state":"`+state+`","at_ms":1}}`))
	}
	out := apply("out")
	assert.Equal(t, out.Outcome, Accepted)
	assert.Equal(t, apply("out"), out)
	assert.Equal(t, apply("in").Revision, out.Revision+1)
	assert.Equal(t, m.View().Document.Zones["a"].State, ZoneIn)
}
