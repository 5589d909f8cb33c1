package api

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	draftsPath = "/v1/sections/services/drafts"
	validBody  = `{"owner":"red","timeout_ms":7}`
)

// TestRejectedRequests guards against a request that takes effect without a valid token,
// its preconditions or the rights of the team, and against an error response with the
// wrong status, reason or field.
func TestRejectedRequests(t *testing.T) {
	cases := []struct {
		token, request, body string
		headers              []string
		status               int
		reason, field        string
	}{
		{"", "GET /v1/document", "", nil, 401, ReasonUnauthorized, ""},
		{"wrong", "GET /v1/status", "", nil, 401, ReasonUnauthorized, ""},
		{"", "PUT " + draftsPath, validBody, []string{"If-Match: \"1\"", "Edit-Id: x"}, 401, ReasonUnauthorized, ""},
		{"red-token", "PUT " + draftsPath, validBody, []string{"If-Match: \"1\""}, 428, ReasonPrecondition, ""},
		{"red-token", "PUT " + draftsPath, validBody, []string{"Edit-Id: x"}, 428, ReasonPrecondition, ""},
		{"red-token", "DELETE " + draftsPath, "", []string{"Edit-Id: x"}, 428, ReasonPrecondition, ""},
		{"red-token", "PUT " + draftsPath, validBody, []string{"If-Match: *", "Edit-Id: x"}, 400, ReasonBadRequest, ""},
		{"red-token", "PUT " + draftsPath, validBody, []string{"If-Match: \"9\"", "Edit-Id: x"}, 409, ReasonConflict, ""},
		{"ops-token", "PUT " + draftsPath, validBody, []string{"If-Match: \"1\"", "Edit-Id: x"}, 403, ReasonForbidden, ""},
		{"red-token", "PUT /v1/sections/services/new", validBody, []string{"If-Match: \"0\"", "Edit-Id: x"}, 403, ReasonForbidden, ""},
		{"red-token", "PUT " + draftsPath, `{"owner":"red"}`, []string{"If-Match: \"1\"", "Edit-Id: x"}, 422, ReasonInvalid, "services/drafts/timeout_ms"},
		{"red-token", "PUT " + draftsPath, `{"owner`, []string{"If-Match: \"1\"", "Edit-Id: x"}, 422, ReasonInvalid, "services/drafts"},
		{"red-token", "PUT " + draftsPath, validBody + "}", []string{"If-Match: \"1\"", "Edit-Id: x"}, 422, ReasonInvalid, "services/drafts"},
		{"red-token", "PUT " + draftsPath, `{"owner":"x",` + validBody[1:], []string{"If-Match: \"1\"", "Edit-Id: x"}, 422, ReasonInvalid, "services/drafts"},
		{"ops-token", "POST /v1/members", `{"id":4,"address":"10.0.0.4:7000"}}`, nil, 400, ReasonBadRequest, ""},
		{"red-token", "PUT " + draftsPath, strings.Repeat(" ", document.MaxSectionBytes+1), []string{"If-Match: \"1\"", "Edit-Id: x"}, 413, ReasonTooLarge, ""},
		{"red-token", "PUT " + draftsPath, validBody, []string{"If-Match: \"1\"", "Edit-Id: " + strings.Repeat("x", 129)}, 400, ReasonBadRequest, ""},
		{"red-token", "GET /v1/sections/services/none", "", nil, 404, ReasonNotFound, ""},
		{"red-token", "GET /v1/history?limit=0", "", nil, 400, ReasonBadRequest, ""},
		{"red-token", "GET /v1/revisions/1/in-force?wait=31s", "", nil, 400, ReasonBadRequest, ""},
		{"red-token", "POST /v1/members", `{"id":4,"address":"10.0.0.4:7000"}`, nil, 403, ReasonForbidden, ""},
		{"red-token", "DELETE /v1/members/4", "", nil, 403, ReasonForbidden, ""},
		{"ops-token", "POST /v1/members", `{"address":"10.0.0.4:7000"}`, nil, 422, ReasonInvalid, "id"},
		{"ops-token", "POST /v1/members", `{"id":4,"address":"host:7000"}`, nil, 422, ReasonInvalid, "address"},
		{"ops-token", "GET /v1/burn", "", nil, 501, ReasonNotConfigured, ""},
	}
	for _, c := range cases {
		f := newFixture(t)
		initialView := f.proposer.machine.View()
		w := f.send(c.token, c.request, c.body, c.headers...)
		body := decodeErrorBody(t, w)
		assert.Equal(t, w.Code, c.status, "%+v", c)
		assert.Equal(t, body.Reason, c.reason, "%+v", c)
		assert.Equal(t, body.Field, c.field, "%+v", c)
		assert.Assert(t, f.proposer.machine.View() == initialView, "%+v", c)
		assert.Equal(t, len(f.membership.added)+len(f.membership.removed), 0)
		if c.reason == ReasonConflict {
			assert.Equal(t, *body.Version, uint64(1))
		}
	}
}

// TestConcurrentEdits guards against accepting more than one of several concurrent edits
// of the same section version.
func TestConcurrentEdits(t *testing.T) {
	f := newFixture(t)
	var wg sync.WaitGroup
	responses := make([]*httptest.ResponseRecorder, 16)
	for i := range responses {
		wg.Go(func() {
			body := fmt.Sprintf(`{"owner":"red","timeout_ms":%d}`, i+1)
			responses[i] = f.send("red-token", "PUT "+draftsPath, body, `If-Match: "1"`, fmt.Sprint("Edit-Id: ", i))
		})
	}
	wg.Wait()
	accepted := 0
	for _, w := range responses {
		if w.Code == http.StatusOK {
			accepted++
			continue
		}
		assert.Equal(t, w.Code, http.StatusConflict)
		assert.Equal(t, *decodeErrorBody(t, w).Version, uint64(2))
	}
	assert.Equal(t, accepted, 1)
}

// TestLostResponse guards against an edit whose result is lost and that is reported as
// not run or applied again by a retry, against a proposal without a leader that is
// reported as unknown, and against reuse of the edit ID for another edit.
func TestLostResponse(t *testing.T) {
	f := newFixture(t)
	put := func() *httptest.ResponseRecorder {
		return f.send("red-token", "PUT "+draftsPath, validBody, `If-Match: "1"`, "Edit-Id: once")
	}
	f.proposer.errBeforeApply = errors.Wrap(replica.ErrNotLeader, "propose")
	w := put()
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, decodeErrorBody(t, w).Outcome, "not-run")
	f.proposer.errBeforeApply = nil
	f.proposer.errAfterApply = errors.Wrap(replica.ErrOutcomeUnknown, "propose")
	w = put()
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, decodeErrorBody(t, w).Outcome, "unknown")
	f.proposer.errAfterApply = nil
	for range 2 {
		w = put()
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, w.Header().Get("ETag"), `"2"`)
	}
	assert.Equal(t, f.proposer.machine.View().Revision, uint64(2))
	w = f.send("red-token", "PUT "+draftsPath, `{"owner":"red","timeout_ms":8}`, `If-Match: "2"`, "Edit-Id: once")
	assert.Equal(t, w.Code, http.StatusConflict)
	assert.Equal(t, decodeErrorBody(t, w).Reason, ReasonEditIDReused)
}

// TestReads guards against a read that is not linearizable, a stale read rejected without
// a quorum, a token rejected as invalid by a member that may not have applied it yet, and
// token digests of another team in a response.
func TestReads(t *testing.T) {
	f := newFixture(t)
	edit := document.Edit{EditID: "e", Team: "red", Section: "services/drafts", Base: 1, Body: []byte(validBody)}
	command, err := document.EncodeEdit(edit)
	assert.NilError(t, err)
	f.proposer.unappliedCommand = command
	w := f.send("red-token", "GET "+draftsPath, "")
	assert.Equal(t, w.Header().Get("ETag"), `"2"`)
	assert.Assert(t, strings.Contains(w.Body.String(), `"timeout_ms":7`))
	assert.Equal(t, f.send("red-token", "GET "+draftsPath, "", `If-None-Match: "2"`).Code, http.StatusNotModified)
	dryRun := f.send("red-token", "PUT "+draftsPath+"?dry_run=1", validBody, `If-Match: "2"`, "Edit-Id: d")
	assert.Equal(t, dryRun.Code, http.StatusOK)
	assert.Equal(t, f.proposer.machine.View().Revision, uint64(2))
	history := f.send("red-token", "GET /v1/history?limit=1", "").Body.String()
	assert.Assert(t, strings.Contains(history, `"team":"red","section":"services/drafts","action":"replace","fields":["timeout_ms"]`), history)

	for _, path := range []string{"/v1/document", "/v1/sections/teams/ops", "/v1/history", "/v1/status"} {
		body := f.send("red-token", "GET "+path, "").Body.String()
		assert.Assert(t, !strings.Contains(body, TokenDigest("ops-token")), path)
	}
	ownTeam := f.send("red-token", "GET /v1/sections/teams/red", "").Body.String()
	assert.Assert(t, strings.Contains(ownTeam, TokenDigest("red-token")))

	f.proposer.errReadIndex = errors.Wrap(replica.ErrNotLeader, "read index")
	for _, path := range []string{"/v1/document", draftsPath, "/v1/history"} {
		assert.Equal(t, f.send("red-token", "GET "+path, "").Code, http.StatusServiceUnavailable, path)
		assert.Equal(t, f.send("red-token", "GET "+path+"?stale=1", "").Code, http.StatusOK, path)
	}
	assert.Equal(t, f.send("red-token", "GET /v1/status", "").Code, http.StatusOK)
	f.proposer.noQuorum = true
	assert.Equal(t, f.send("new-token", "GET /v1/status", "").Code, http.StatusServiceUnavailable)
	f.proposer.noQuorum, f.proposer.commitIndex = false, 1
	assert.Equal(t, f.send("new-token", "GET /v1/status", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.send("red-token", "GET /v1/status", "").Code, http.StatusOK)
}

// TestWaitInForce guards against a long poll that ends before or after its timeout, and
// against a limit on long polls that is not maxLongPolls.
func TestWaitInForce(t *testing.T) {
	f := newFixture(t)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		codes := make(chan int, maxLongPolls+1)
		for range maxLongPolls + 1 {
			go func() {
				w := f.send("red-token", "GET /v1/revisions/3/in-force?wait=5s", "")
				codes <- w.Code
			}()
		}
		assert.Equal(t, <-codes, http.StatusServiceUnavailable)
		for range maxLongPolls {
			assert.Equal(t, <-codes, http.StatusOK)
		}
		assert.Equal(t, time.Since(start), 5*time.Second)
	})
}

// TestMembershipChanges guards against a membership change that is lost, and against an
// unknown outcome that is reported as a rejection.
func TestMembershipChanges(t *testing.T) {
	f := newFixture(t)
	w := f.send("ops-token", "POST /v1/members", `{"id":4,"address":"10.0.0.4:7000"}`)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.DeepEqual(t, f.membership.added, []replica.Member{{ID: 4, Address: "10.0.0.4:7000", Learner: true}})
	f.membership.err = replica.ErrOutcomeUnknown
	w = f.send("ops-token", "DELETE /v1/members/4", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, decodeErrorBody(t, w).Outcome, "unknown")
	f.membership.err = errors.New("the last voter cannot be removed")
	assert.Equal(t, f.send("ops-token", "DELETE /v1/members/4", "").Code, http.StatusConflict)
	assert.DeepEqual(t, f.membership.removed, []uint64{4, 4})
}
