package ctl

import (
	"bytes"
	"context"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// fakeLog is a replicated log that applies proposals to one state machine.
type fakeLog struct {
	mu      sync.Mutex
	machine *document.Machine
	// notLeaderErrors is the number of proposals that fail with ErrNotLeader first.
	notLeaderErrors int
	// lostResults is the number of proposals after them that are applied but return
	// ErrOutcomeUnknown.
	lostResults int
}

func (f *fakeLog) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notLeaderErrors > 0 {
		f.notLeaderErrors--
		return nil, 0, replica.ErrNotLeader
	}
	result := f.machine.Apply(0, command)
	if f.lostResults > 0 {
		f.lostResults--
		return nil, 0, replica.ErrOutcomeUnknown
	}
	return result, 0, nil
}

func (f *fakeLog) ReadIndex(context.Context) (uint64, error) { return 0, nil }

func (f *fakeLog) Status() replica.Status {
	return replica.Status{ID: 1, Leader: 1, QuorumContact: true, Members: []replica.Member{{ID: 1, Address: "10.0.0.1:7000"}}}
}

// fakeFleet has one node. Each revision is in force there after delay, or never when
// delay is 0.
type fakeFleet struct{ delay time.Duration }

func (f fakeFleet) Status() api.FleetStatus {
	return api.FleetStatus{Nodes: []api.Node{{ID: "n1", Lagging: true}}}
}

func (f fakeFleet) WaitInForce(ctx context.Context, revision uint64) api.InForce {
	inForce := make(<-chan time.Time)
	if f.delay > 0 {
		inForce = time.After(f.delay)
	}
	select {
	case <-ctx.Done():
		return api.InForce{Revision: revision, Nodes: 1, Lagging: 1, LaggingNodes: []string{"n1"}}
	case <-inForce:
		return api.InForce{Revision: revision, Nodes: 1, InForce: true}
	}
}

type fakeMembership struct{}

func (fakeMembership) AddMember(context.Context, replica.Member) error { return nil }
func (fakeMembership) RemoveMember(context.Context, uint64) error      { return nil }

func newFakeLog(t *testing.T) *fakeLog {
	log := &fakeLog{machine: document.NewMachine()}
	bootstrap := fmt.Sprintf(`{
		"teams": {"ops": {"token_sha256": [%q], "admin": true}, "red": {"token_sha256": [%q]}},
		"zones": {"seq-a": {"owner": "ops", "state": "in"}},
		"services": {"drafts": {"owner": "red", "timeout_ms": 100}}, "limits": {}}`,
		api.TokenDigest("ops-token"), api.TokenDigest("red-token"))
	command, err := document.EncodeBootstrap([]byte(bootstrap), time.Unix(0, 0))
	assert.NilError(t, err)
	log.machine.Apply(0, command)
	return log
}

// newAPIHandler returns the real API handler with a fixed burn report.
func newAPIHandler(t *testing.T, log *fakeLog, fleet api.Fleet) http.Handler {
	burnHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"services":[{"service":"drafts","objective":0.99,"share":0.995,"budget_left":0.5,` +
			`"windows":[{"window":"1h","burn_rate":2.5}],"alert":"page"}]}`))
	})
	handler, err := api.New(api.Config{Proposer: log, Documents: log.machine, Fleet: fleet, Membership: fakeMembership{}, Burn: burnHandler})
	assert.NilError(t, err)
	return handler
}

// cliFixture runs chicoryctl against a TLS test server with the real API handler.
type cliFixture struct {
	t   *testing.T
	dir string
	log *fakeLog
	url string
}

func newCLIFixture(t *testing.T) *cliFixture {
	f := &cliFixture{t: t, dir: t.TempDir(), log: newFakeLog(t)}
	server := httptest.NewTLSServer(newAPIHandler(t, f.log, fakeFleet{delay: time.Nanosecond}))
	t.Cleanup(server.Close)
	f.url = server.URL
	f.writeFile("ca", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	f.writeFile("red", "red-token\n")
	f.writeFile("ops", "ops-token\n")
	f.writeFile("wrong", "wrong\n")
	return f
}

func (f *cliFixture) writeFile(name, content string) string {
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// run returns exit code, standard output and standard error. An argument that begins
// with @ is replaced by the path of that file in dir. The first API URL has no listener.
func (f *cliFixture) run(tokenFile string, args ...string) (int, string, string) {
	commandLine := []string{"chicoryctl", "--api", "https://127.0.0.1:1", "--api", f.url, "--ca", filepath.Join(f.dir, "ca")}
	commandLine = append(commandLine, "--token-file", filepath.Join(f.dir, tokenFile))
	for _, arg := range args {
		if arg[0] == '@' {
			arg = filepath.Join(f.dir, arg[1:])
		}
		commandLine = append(commandLine, arg)
	}
	var out, errOut bytes.Buffer
	code := Run(f.t.Context(), commandLine, Streams{Out: &out, Err: &errOut})
	return code, out.String(), errOut.String()
}
