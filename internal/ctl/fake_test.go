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

// fakeLog applies proposals to one machine; the first notRun proposals find no
// leader, and then the first lost ones are applied but not answered.
type fakeLog struct {
	mu              sync.Mutex
	machine         *document.Machine
	notLeaderErrors int
	lostResults     int
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
		return nil, 0, replica.ErrUnknown
	}
	return result, 0, nil
}

func (f *fakeLog) Confirm(context.Context) (uint64, error) { return 0, nil }

func (f *fakeLog) Status() replica.Status {
	return replica.Status{ID: 1, Leader: 1, QuorumContact: true, Members: []replica.Member{{ID: 1, Address: "10.0.0.1:7000"}}}
}

// fakeFleet has one node, which gets each revision after a delay, or never when it is 0.
type fakeFleet struct{ delay time.Duration }

func (f fakeFleet) Status() api.FleetStatus {
	return api.FleetStatus{Nodes: []api.Node{{ID: "n1", Lagging: true}}}
}

func (f fakeFleet) WaitInForce(ctx context.Context, revision uint64) api.InForce {
	arrived := make(<-chan time.Time)
	if f.delay > 0 {
		arrived = time.After(f.delay)
	}
	select {
	case <-ctx.Done():
		return api.InForce{Revision: revision, Nodes: 1, Lagging: 1, LaggingNodes: []string{"n1"}}
	case <-arrived:
		return api.InForce{Revision: revision, Nodes: 1, InForce: true}
	}
}

type fakeMembership struct{}

func (fakeMembership) AddMember(context.Context, replica.Member) error { return nil }
func (fakeMembership) RemoveMember(context.Context, uint64) error      { return nil }

func newFakeLog(t *testing.T) *fakeLog {
	log := &fakeLog{machine: document.NewMachine()}
	first := fmt.Sprintf(`{
		"teams": {"ops": {"token_sha256": [%q], "admin": true}, "red": {"token_sha256": [%q]}},
		"zones": {"seq-a": {"owner": "ops", "state": "in"}},
		"services": {"drafts": {"owner": "red", "timeout_ms": 100}}, "limits": {}}`,
		api.TokenDigest("ops-token"), api.TokenDigest("red-token"))
	command, err := document.EncodeBootstrap([]byte(first), time.Unix(0, 0))
	assert.NilError(t, err)
	log.machine.Apply(0, command)
	return log
}

func newAPIHandler(t *testing.T, log *fakeLog, fleet api.Fleet) http.Handler {
	burn := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"services":[{"service":"drafts","objective":0.99,"share":0.995,"budget_left":0.5,` +
			`"windows":[{"window":"1h","burn_rate":2.5}],"alert":"page"}]}`))
	})
	handler, err := api.New(api.Config{Proposer: log, Documents: log.machine, Fleet: fleet, Membership: fakeMembership{}, Burn: burn})
	assert.NilError(t, err)
	return handler
}

// cliFixture runs command lines against a server of the real API over TLS.
type cliFixture struct {
	t   *testing.T
	dir string
	log *fakeLog
	url string
}

func newCLIFixture(t *testing.T) *cliFixture {
	o := &cliFixture{t: t, dir: t.TempDir(), log: newFakeLog(t)}
	server := httptest.NewTLSServer(newAPIHandler(t, o.log, fakeFleet{delay: time.Nanosecond}))
	t.Cleanup(server.Close)
	o.url = server.URL
	o.writeFile("ca", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	o.writeFile("red", "red-token\n")
	o.writeFile("ops", "ops-token\n")
	o.writeFile("wrong", "wrong\n")
	return o
}

func (o *cliFixture) writeFile(name, content string) string {
	path := filepath.Join(o.dir, name)
	assert.NilError(o.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// run returns exit code, standard output and standard error. Arguments that begin
// with @ name files of the operator.
func (o *cliFixture) run(team string, args ...string) (int, string, string) {
	line := []string{"chicoryctl", "--api", "https://127.0.0.1:1", "--api", o.url, "--ca", filepath.Join(o.dir, "ca")}
	line = append(line, "--token-file", filepath.Join(o.dir, team))
	for _, arg := range args {
		if arg[0] == '@' {
			arg = filepath.Join(o.dir, arg[1:])
		}
		line = append(line, arg)
	}
	var out, errOut bytes.Buffer
	code := Run(o.t.Context(), line, Streams{Out: &out, Err: &errOut})
	return code, out.String(), errOut.String()
}
