package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// fakeProposer applies each proposal at once to a single state machine.
type fakeProposer struct {
	mu               sync.Mutex
	machine          *document.Machine
	errBeforeApply   error  // returned without applying
	errAfterApply    error  // returned after applying
	errReadIndex     error  // returned by ReadIndex
	unappliedCommand []byte // applied by ReadIndex
	noQuorum         bool   // reported by Status
	commitIndex      uint64 // reported by Status, with the applied index 0
}

func (f *fakeProposer) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.errBeforeApply != nil {
		return nil, 0, f.errBeforeApply
	}
	return f.machine.Apply(0, command), 0, f.errAfterApply
}

func (f *fakeProposer) ReadIndex(context.Context) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.errReadIndex == nil && f.unappliedCommand != nil {
		f.machine.Apply(0, f.unappliedCommand)
	}
	return 0, f.errReadIndex
}

func (f *fakeProposer) Status() replica.Status {
	return replica.Status{ID: 1, Leader: 1, QuorumContact: !f.noQuorum, Commit: f.commitIndex}
}

// fakeMembership records the requested changes.
type fakeMembership struct {
	added   []replica.Member
	removed []uint64
	err     error // returned by each change
}

func (f *fakeMembership) AddMember(_ context.Context, m replica.Member) error {
	f.added = append(f.added, m)
	return f.err
}

func (f *fakeMembership) RemoveMember(_ context.Context, id uint64) error {
	f.removed = append(f.removed, id)
	return f.err
}

// fakeFleet has one node, which never acknowledges the revision.
type fakeFleet struct{}

func (fakeFleet) Status() FleetStatus {
	return FleetStatus{Nodes: []Node{{ID: "n1", Lagging: true}}}
}

func (fakeFleet) WaitInForce(ctx context.Context, revision uint64) InForce {
	<-ctx.Done()
	return InForce{Revision: revision, Nodes: 1, Lagging: 1, LaggingNodes: []string{"n1"}}
}

const bootstrapDocument = `{
	"teams": {"ops": {"token_sha256": [%q], "admin": true}, "red": {"token_sha256": [%q]}},
	"zones": {"seq-a": {"owner": "ops", "state": "in"}},
	"services": {"drafts": {"owner": "red", "timeout_ms": 100}},
	"limits": {}}`

// fixture is an API handler on fakes, with a bootstrap document.
type fixture struct {
	proposer   *fakeProposer
	membership *fakeMembership
	handler    http.Handler
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{proposer: &fakeProposer{machine: document.NewMachine()}, membership: &fakeMembership{}}
	data := fmt.Sprintf(bootstrapDocument, TokenDigest("ops-token"), TokenDigest("red-token"))
	command, err := document.EncodeBootstrap([]byte(data), time.Unix(0, 0))
	assert.NilError(t, err)
	f.proposer.machine.Apply(0, command)
	f.handler, err = New(Config{
		Proposer: f.proposer, Documents: f.proposer.machine, Fleet: fakeFleet{}, Membership: f.membership,
		Now: func() time.Time { return time.Unix(1, 0) },
	})
	assert.NilError(t, err)
	return f
}

// send serves a request, given as "METHOD path", with headers given as "Name: value".
func (f *fixture) send(token, request, body string, headers ...string) *httptest.ResponseRecorder {
	method, path, _ := strings.Cut(request, " ")
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

func decodeErrorBody(t *testing.T, w *httptest.ResponseRecorder) ErrorBody {
	var body ErrorBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body.String())
	return body
}
