package ctl

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRollout guards against a start whose response was lost and that is reported as unknown or
// started twice by the resend, and against a status that does not show the rollout.
func TestRollout(t *testing.T) {
	f := newCLIFixture(t)
	f.log.lostResults = 1
	code, out, errOut := f.run("red", "rollout", "start", "drafts", "v2", "--duration", "30s")
	assert.Equal(t, code, ExitOK, errOut)
	assert.Assert(t, strings.Contains(out, "rollout of drafts to v2 accepted, version 2"), out)
	assert.Equal(t, f.log.machine.View().Revision, uint64(2))
	for _, args := range [][]string{{"rollout", "status", "drafts"}, {"rollout", "list"}} {
		_, out, _ = f.run("red", args...)
		assert.Assert(t, strings.Contains(out, "running") && strings.Contains(out, "canary") && strings.Contains(out, "30s"), out)
	}
	code, _, errOut = f.run("ops", "rollout", "start", "drafts", "v3", "--duration", "30s")
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "is running"), errOut)
}
