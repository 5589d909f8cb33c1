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

// TestExitCodes guards against a failure that is reported as success or with the
// code of another failure, and against a change by a refused command.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		team, line string
		code       int
		output     string
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
	o := newCLIFixture(t)
	o.writeFile("good", `{"owner":"red","timeout_ms":7}`)
	o.writeFile("bad", `{"owner":"red","timeout_ms":0}`)
	o.writeFile("control", `{"id":"c","zone":"z","data_dir":"d","mesh_listen":"127.0.0.1:1","api_listen":"127.0.0.1:2","join":["127.0.0.1:3"]}`)
	_, section, _ := o.run("red", "get", "services/drafts")
	o.writeFile("same", section[strings.Index(section, `"body": `)+len(`"body": `):strings.LastIndex(section, "}")])
	for _, c := range cases {
		code, out, errOut := o.run(c.team, strings.Fields(c.line)...)
		assert.Equal(t, code, c.code, "%s: %s%s", c.line, out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, c.output), "%s: %s%s", c.line, out, errOut)
		assert.Equal(t, o.log.machine.View().Revision, uint64(1), c.line)
	}
}

// TestEditFromGet guards against an edit of an older version that overwrites a
// newer one, and against a zone that keeps its state or loses its other fields.
func TestEditFromGet(t *testing.T) {
	o := newCLIFixture(t)
	_, section, _ := o.run("red", "get", "services/drafts")
	o.writeFile("file", strings.Replace(section, `"timeout_ms": 100`, `"timeout_ms": 7`, 1))
	code, out, _ := o.run("red", "edit", "services/drafts", "--file", "@file", "--wait")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "accepted, version 2, revision 2\nrevision 2 is in force"), out)
	code, _, errOut := o.run("red", "edit", "services/drafts", "--file", "@file")
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "has version 2") && strings.Contains(errOut, `"timeout_ms": 7`), errOut)

	code, _, _ = o.run("ops", "zone", "out", "seq-a")
	assert.Equal(t, code, ExitOK)
	zone := o.log.machine.View().Document.Zones["seq-a"]
	assert.Equal(t, fmt.Sprint(zone), "{ops out}")
	code, _, _ = o.run("ops", "remove", "zones/seq-a")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, len(o.log.machine.View().Document.Zones), 0)
}

// TestToken guards against a printed digest that does not belong to the token.
func TestToken(t *testing.T) {
	var out bytes.Buffer
	code := Run(t.Context(), []string{"chicoryctl", "token"}, Streams{Out: &out, Err: &out})
	assert.Equal(t, code, ExitOK)
	fields := strings.Fields(out.String())
	assert.Equal(t, len(fields), 4)
	assert.Equal(t, fields[3], api.TokenDigest(fields[1]))
	assert.Equal(t, len(fields[1]), 43)
}

// handlerTransport serves requests without a network, so that time is virtual. Requests to
// "down" find no listener; the first dropped others are served without an answer.
type handlerTransport struct {
	handler       http.Handler
	lostResponses int
	editIDs       []string
}

func (d *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "down" {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	d.editIDs = append(d.editIDs, r.Header.Get(api.HeaderEditID))
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	if d.lostResponses > 0 {
		d.lostResponses--
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

func (d *handlerTransport) client(urls ...string) *client {
	return &client{memberURLs: urls, token: "red-token", httpClient: &http.Client{Transport: d}, timeout: 10 * time.Second}
}

// TestResends guards against an edit that is made twice or not at all when members
// are down, have no leader, or lose answers, and against the wrong report when no
// answer ever arrives.
func TestResends(t *testing.T) {
	cases := []struct {
		urls                  []string
		notRun, lost, dropped int
		code                  int
		revision              uint64
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
		log.notLeaderErrors, log.lostResults = c.notRun, c.lost
		transport := &handlerTransport{handler: newAPIHandler(t, log, nil), lostResponses: c.dropped}
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			e := edit{section: "services/drafts", editID: "e1", version: 1, body: []byte(`{"owner":"red","timeout_ms":7}`)}
			result, err := transport.client(c.urls...).sendEdit(t.Context(), e)
			assert.Equal(t, ExitCode(err), c.code, "%+v: %v", c, err)
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

// TestRevokedTokenAfterLostAnswer guards against an edit with an unknown outcome
// that is reported as refused because a later resend was not authorized.
func TestRevokedTokenAfterLostAnswer(t *testing.T) {
	log := newFakeLog(t)
	transport := &handlerTransport{handler: newAPIHandler(t, log, nil), lostResponses: 1}
	synctest.Test(t, func(t *testing.T) {
		c := transport.client("http://up")
		transport.handler = revokeTokenAfterFirst(c, transport.handler)
		_, err := c.sendEdit(t.Context(), edit{section: "services/drafts", editID: "e1", version: 1, body: []byte(`{"owner":"red","timeout_ms":7}`)})
		assert.Equal(t, ExitCode(err), ExitUnknown, "%v", err)
	})
}

func revokeTokenAfterFirst(c *client, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		c.token = "revoked"
	})
}

// TestWait guards against a wait that reports a revision as in force too early, or
// never ends, and against progress that is written when there is no terminal.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		delay time.Duration
		code  int
		took  time.Duration
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
			assert.Equal(t, ExitCode(err), c.code, "%v", err)
			assert.Equal(t, time.Since(start), c.took)
			assert.Equal(t, strings.Contains(progress.String(), "1 of 1 nodes lag: n1"), c.code == ExitTimeout)
			p.Progress = nil
			assert.Equal(t, ExitCode(p.waitInForce(context.Background(), transport.client("http://up"), 7)), c.code)
		})
	}
}

// TestFileOfTheOperator guards against a section that happens to have some of the
// fields of get's output and is read as such.
func TestFileOfTheOperator(t *testing.T) {
	o := &cliFixture{t: t, dir: t.TempDir()}
	for content, version := range map[string]bool{
		`{"path":"limits","version":3,"body":{"a":1}}`: true,
		`{"version":3,"body":{"a":1}}`:                 false,
		`{"path":7,"version":3,"body":{}}`:             false,
		`[1]`:                                          false,
	} {
		file, err := readEditFile(o.writeFile("f", " "+content+"\n"))
		assert.NilError(t, err)
		assert.Equal(t, file.hasVersion, version, content)
		assert.Equal(t, string(file.body) == content, !version)
	}
	_, err := readEditFile(filepath.Join(o.dir, "none"))
	assert.Equal(t, ExitCode(err), ExitUsage)
}
