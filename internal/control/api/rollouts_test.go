package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const rolloutBody = `{"service":"drafts","target_version":"v2","duration_ms":30000}`

// TestStartRollout guards against a start request that takes effect without the rights of the team
// or with an invalid field, against an error with the wrong status or field, and against a read
// that lacks what the control members know.
func TestStartRollout(t *testing.T) {
	cases := []struct {
		token, body   string
		status        int
		reason, field string
	}{
		{"", rolloutBody, 401, ReasonUnauthorized, ""},
		{"blue-token", rolloutBody, 401, ReasonUnauthorized, ""},
		{"red-token", strings.Replace(rolloutBody, "drafts", "none", 1), 422, ReasonInvalid, "service"},
		{"red-token", strings.Replace(rolloutBody, `"v2"`, `""`, 1), 422, ReasonInvalid, "target_version"},
		{"red-token", strings.Replace(rolloutBody, "30000", "0", 1), 422, ReasonInvalid, "duration_ms"},
		{"red-token", strings.Replace(rolloutBody, "30000", "1.5", 1), 400, ReasonBadRequest, ""},
		{"red-token", strings.Replace(rolloutBody, "service", "upstream", 1), 400, ReasonBadRequest, ""},
		{"red-token", rolloutBody + "}", 400, ReasonBadRequest, ""},
	}
	for _, c := range cases {
		f := newFixture(t)
		before := f.proposer.machine.View()
		w := f.send(c.token, "POST /v1/rollouts", c.body)
		assert.Equal(t, w.Code, c.status, "%+v", c)
		body := decodeErrorBody(t, w)
		assert.Equal(t, body.Reason, c.reason, "%+v", c)
		assert.Equal(t, body.Field, c.field, "%+v", c)
		assert.Assert(t, f.proposer.machine.View() == before)
	}
	f := newFixture(t)
	assert.Equal(t, f.send("red-token", "GET /v1/rollouts/drafts", "").Code, http.StatusNotFound)
	assert.Equal(t, f.send("red-token", "POST /v1/rollouts", rolloutBody).Code, http.StatusOK)
	assert.Equal(t, f.send("ops-token", "POST /v1/rollouts", rolloutBody).Code, http.StatusOK)
	other := f.send("ops-token", "POST /v1/rollouts", strings.Replace(rolloutBody, "v2", "v3", 1))
	assert.Equal(t, other.Code, http.StatusConflict)
	command, err := document.EncodeRolloutAdvance(document.RolloutAdvance{Service: "drafts", StartedRevision: 2, ElapsedMs: 700, Evidence: []document.RolloutEvidence{
		{NodeID: "n1", Version: "v2", RolloutCounts: document.RolloutCounts{Succeeded: 4, Failed: 1}},
	}})
	assert.NilError(t, err)
	f.proposer.unappliedCommand = command
	var read Rollout
	assert.NilError(t, json.Unmarshal(f.send("red-token", "GET /v1/rollouts/drafts", "").Body.Bytes(), &read))
	assert.Equal(t, read.State, document.RolloutRunning)
	assert.Equal(t, read.ElapsedMs, int64(700), "the read is not linearizable")
	assert.Equal(t, read.Target, VersionResponses{Responses: 5, Failed: 1})
	var list RolloutsBody
	assert.NilError(t, json.Unmarshal(f.send("red-token", "GET /v1/rollouts", "").Body.Bytes(), &list))
	assert.DeepEqual(t, list.Rollouts, []Rollout{read})
}

// TestStartRolloutWithoutResult guards against a start request that is acknowledged without its
// commit, and against a repeat after a lost response that starts the rollout twice.
func TestStartRolloutWithoutResult(t *testing.T) {
	f := newFixture(t)
	f.proposer.errBeforeApply = errors.Wrap(replica.ErrNotLeader, "propose")
	w := f.send("red-token", "POST /v1/rollouts", rolloutBody)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, decodeErrorBody(t, w).Outcome, "not-run")
	f.proposer.errBeforeApply, f.proposer.errAfterApply = nil, errors.Wrap(replica.ErrOutcomeUnknown, "propose")
	w = f.send("red-token", "POST /v1/rollouts", rolloutBody)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, decodeErrorBody(t, w).Outcome, "unknown")
	f.proposer.errAfterApply = nil
	assert.Equal(t, f.send("red-token", "POST /v1/rollouts", rolloutBody).Code, http.StatusOK)
	assert.Equal(t, f.proposer.machine.View().Revision, uint64(2))
}
