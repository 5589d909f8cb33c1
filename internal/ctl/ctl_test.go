package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

// TestExitCodes guards against a failure that is reported as success or with the exit
// code of another failure, and against a failed command that changes the document.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		tokenFile, commandLine string
		exitCode               int
		outputPart             string
	}{
		{"red", "get", 0, `"drafts"`},
		{"red", "get services/none", 1, "no such section"},
		{"red", "get services/BAD", 2, "lower-case"},
		{"wrong", "get", 4, "401"},
		{"none", "get", 2, "--token-file"},
		{"red", "edit services/drafts --file @bad", 4, "services/drafts/timeout_ms"},
		{"red", "edit services/drafts --file @good --base 9", 3, "services/drafts has version 1"},
		{"red", "edit services/drafts --file @none", 2, "--file"},
		{"red", "edit services/drafts", 2, "--file is required"},
		{"red", "edit services/drafts --file @good --dry-run", 0, "+   \"timeout_ms\": 7"},
		{"red", "apply services/drafts --file @same --wait", 0, "in force at 1 nodes"},
		{"red", "apply services/drafts --file @same --output xml", 2, "--output"},
		{"red", "remove limits", 4, "403"},
		{"red", "zone out seq-a", 4, "403"},
		{"ops", "zone out none", 1, "no such zone"},
		{"ops", "zone sideways seq-a", 2, "unknown command"},
		{"ops", "zone in seq-a --wait", 0, "unchanged"},
		{"red", "rollout start drafts v2", 2, "--duration"},
		{"red", "rollout start none v2 --duration 30s", 4, "service: no service"},
		{"red", "rollout status drafts", 1, "no rollout"},
		{"red", "rollout list", 0, "TARGET FAILED"},
		{"red", "member add 4 10.0.0.4:7000", 4, "403"},
		{"ops", "member add four 10.0.0.4:7000", 2, "ID"},
		{"ops", "member add 4 10.0.0.4:7000", 0, "leader"},
		{"ops", "member remove 4 --output json", 0, `"leader": 1`},
		{"red", "member list", 0, "10.0.0.1:7000"},
		{"red", "status", 0, "n1"},
		{"red", "history", 0, "bootstrap"},
		{"red", "report burn", 0, "1h 2.50"},
		{"red", "explode", 2, "unknown command"},
		{"red", "status --colour", 2, "colour"},
		{"red", "check @same", 2, "same"},
		{"red", "check @control", 0, "valid settings of a control"},
		{"red", "check node @control", 2, "data_dir"},
	}
	f := newCLIFixture(t)
	f.writeFile("good", `{"owner":"red","timeout_ms":7}`)
	f.writeFile("bad", `{"owner":"red","timeout_ms":0}`)
	f.writeFile("control", `{"id":"c","zone":"z","data_dir":"d","mesh_listen":"127.0.0.1:1","api_listen":"127.0.0.1:2","join":["127.0.0.1:3"]}`)
	_, section, _ := f.run("red", "get", "services/drafts")
	f.writeFile("same", section[strings.Index(section, `"body": `)+len(`"body": `):strings.LastIndex(section, "}")])
	for _, c := range cases {
		code, out, errOut := f.run(c.tokenFile, strings.Fields(c.commandLine)...)
		assert.Equal(t, code, c.exitCode, "%s: %s%s", c.commandLine, out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, c.outputPart), "%s: %s%s", c.commandLine, out, errOut)
		assert.Equal(t, f.log.machine.View().Revision, uint64(1), c.commandLine)
	}
}

// TestEditFromGet guards against an edit that is based on an older version and
// overwrites a newer one, and against a zone command that leaves the state as it was or
// drops other fields of the zone.
func TestEditFromGet(t *testing.T) {
	f := newCLIFixture(t)
	_, section, _ := f.run("red", "get", "services/drafts")
	f.writeFile("file", strings.Replace(section, `"timeout_ms": 100`, `"timeout_ms": 7`, 1))
	code, out, _ := f.run("red", "edit", "services/drafts", "--file", "@file", "--wait")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "accepted, version 2, revision 2\nrevision 2 is in force"), out)
	code, _, errOut := f.run("red", "edit", "services/drafts", "--file", "@file")
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "has version 2") && strings.Contains(errOut, `"timeout_ms": 7`), errOut)

	code, _, _ = f.run("ops", "zone", "out", "seq-a")
	assert.Equal(t, code, ExitOK)
	zone := f.log.machine.View().Document.Zones["seq-a"]
	assert.Equal(t, fmt.Sprint(zone), "{ops out}")
	code, _, _ = f.run("ops", "remove", "zones/seq-a")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, len(f.log.machine.View().Document.Zones), 0)
}

// TestToken guards against a printed digest that is not that of the printed token.
func TestToken(t *testing.T) {
	var out bytes.Buffer
	code := Run(t.Context(), []string{"chicoryctl", "token"}, Streams{Out: &out, Err: &out})
	assert.Equal(t, code, ExitOK)
	fields := strings.Fields(out.String())
	assert.Equal(t, len(fields), 4)
	assert.Equal(t, fields[3], api.TokenDigest(fields[1]))
	assert.Equal(t, len(fields[1]), 43)
}

// handlerTransport passes requests to a handler without a network, so that tests can use
// virtual time. Connections to the host "down" are refused.
type handlerTransport struct {
	handler http.Handler
	// lostResponses is the number of requests, from the first on, that are handled but
	// fail with a connection error.
	lostResponses int
	// editIDs has the edit ID of each request that was handled.
	editIDs []string
}

func (h *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "down" {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	h.editIDs = append(h.editIDs, r.Header.Get(api.HeaderEditID))
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	if h.lostResponses > 0 {
		h.lostResponses--
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

func (h *handlerTransport) client(memberURLs ...string) *client {
	return &client{memberURLs: memberURLs, token: "red-token", httpClient: &http.Client{Transport: h}, timeout: 10 * time.Second}
}

// TestRetries guards against an edit that is applied twice or not at all when members are
// down, have no leader, or their responses are lost, and against a wrong exit code when no
// response ever arrives.
func TestRetries(t *testing.T) {
	cases := []struct {
		memberURLs                                  []string
		notLeaderErrors, lostResults, lostResponses int
		exitCode                                    int
		revision                                    uint64
	}{
		{[]string{"http://down", "http://up"}, 0, 0, 0, ExitOK, 2},
		{[]string{"http://up", "http://up"}, 3, 0, 0, ExitOK, 2},
		{[]string{"http://up"}, 2, 3, 3, ExitOK, 2},
		{[]string{"http://down"}, 0, 0, 0, ExitError, 1},
		{[]string{"http://up"}, 1000, 0, 0, ExitError, 1},
		{[]string{"http://up"}, 0, 1000, 0, ExitUnknown, 2},
		{[]string{"http://up", "http://down"}, 0, 0, 1000, ExitUnknown, 2},
	}
	for _, c := range cases {
		log := newFakeLog(t)
		log.notLeaderErrors, log.lostResults = c.notLeaderErrors, c.lostResults
		transport := &handlerTransport{handler: newAPIHandler(t, log, nil), lostResponses: c.lostResponses}
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			e := edit{section: "services/drafts", editID: "e1", version: 1, body: []byte(`{"owner":"red","timeout_ms":7}`)}
			result, err := transport.client(c.memberURLs...).sendEdit(t.Context(), e)
			assert.Equal(t, ExitCode(err), c.exitCode, "%+v: %v", c, err)
			assert.Equal(t, log.machine.View().Revision, c.revision, "%+v", c)
			if err == nil {
				assert.Equal(t, result.Version, uint64(2))
			}
			assert.Assert(t, time.Since(start) <= 10*time.Second)
			for _, id := range transport.editIDs {
				assert.Equal(t, id, "e1")
			}
		})
	}
}

// TestRevokedTokenAfterLostResponse guards against an edit with an unknown outcome
// that is reported as refused because a later retry was not authorized.
func TestRevokedTokenAfterLostResponse(t *testing.T) {
	log := newFakeLog(t)
	transport := &handlerTransport{handler: newAPIHandler(t, log, nil), lostResponses: 1}
	synctest.Test(t, func(t *testing.T) {
		c := transport.client("http://up")
		transport.handler = revokeTokenAfterFirstRequest(c, transport.handler)
		_, err := c.sendEdit(t.Context(), edit{section: "services/drafts", editID: "e1", version: 1, body: []byte(`{"owner":"red","timeout_ms":7}`)})
		assert.Equal(t, ExitCode(err), ExitUnknown, "%v", err)
	})
}

func revokeTokenAfterFirstRequest(c *client, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		c.token = "revoked"
	})
}

// TestWaitInForce guards against a wait that reports a revision as in force too early or
// never ends, and against writing progress when there is no terminal.
func TestWaitInForce(t *testing.T) {
	for _, c := range []struct {
		delay    time.Duration
		exitCode int
		waitTime time.Duration
	}{
		{time.Second, ExitOK, time.Second},
		{0, ExitTimeout, 10 * time.Second},
	} {
		transport := &handlerTransport{handler: newAPIHandler(t, newFakeLog(t), fakeFleet{delay: c.delay})}
		synctest.Test(t, func(t *testing.T) {
			var out, progress bytes.Buffer
			start := time.Now()
			p := &program{Streams{Out: &out, Err: &out, Progress: &progress}}
			err := p.waitInForce(context.Background(), transport.client("http://down", "http://up"), 7)
			assert.Equal(t, ExitCode(err), c.exitCode, "%v", err)
			assert.Equal(t, time.Since(start), c.waitTime)
			assert.Equal(t, strings.Contains(progress.String(), "1 of 1 nodes lag: n1"), c.exitCode == ExitTimeout)
			p.Progress = nil
			assert.Equal(t, ExitCode(p.waitInForce(context.Background(), transport.client("http://up"), 7)), c.exitCode)
		})
	}
}

// TestReadEditFile guards against section content that is taken for the output of get
// because it has some of the same fields.
func TestReadEditFile(t *testing.T) {
	f := &cliFixture{t: t, dir: t.TempDir()}
	for content, hasVersion := range map[string]bool{
		`{"path":"limits","version":3,"body":{"a":1}}`: true,
		`{"version":3,"body":{"a":1}}`:                 false,
		`{"path":7,"version":3,"body":{}}`:             false,
		`[1]`:                                          false,
	} {
		file, err := readEditFile(f.writeFile("f", " "+content+"\n"))
		assert.NilError(t, err)
		assert.Equal(t, file.hasVersion, hasVersion, content)
		assert.Equal(t, string(file.body) == content, !hasVersion)
	}
	_, err := readEditFile(filepath.Join(f.dir, "none"))
	assert.Equal(t, ExitCode(err), ExitUsage)
}
