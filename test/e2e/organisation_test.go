package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// statusWithKey returns the status of a request to the drafts service at an entry.
func statusWithKey(t *testing.T, entry, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/svc/drafts/", http.NoBody)
	assert.NilError(t, err)
	if key != "" {
		request.Header.Set(httpapi.HeaderAPIKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// TestOrganisationKeys guards against a key that is in force at some nodes only once the change
// is reported as in force, and against a key in the output of any program.
func TestOrganisationKeys(t *testing.T) {
	const first, second = "key-first-5e0c7d", "key-second-81ab3f"
	m := newControlCluster(t, 3)
	m.waitVoters(0, 3)
	for i := range 2 {
		node := m.configureNode("seq-a")
		node.LogLevel = "debug"
		m.startWithSettings("chicorylever-node", node.ID, node)
		m.startUpstream("drafts", fmt.Sprint("drafts-", i), node)
		waitOK(t, "http://"+node.EntryListen+"/svc/drafts/ready")
	}
	var output strings.Builder
	setKeys := func(keys string) {
		file := filepath.Join(m.dir, "organisation.json")
		assert.NilError(t, os.WriteFile(file, []byte(`{"owner": "platform", "keys": `+keys+`}`), 0o600))
		output.WriteString(m.runCtl("edit", "organisations/acme", "--file", file, "--wait"))
	}
	checkStatuses := func(key string, want int) {
		t.Helper()
		for _, node := range m.nodeSettings {
			assert.Equal(t, statusWithKey(t, node.EntryListen, key), want, node.ID)
		}
	}
	checkStatuses("", http.StatusOK)
	setKeys(`["` + first + `"]`)
	checkStatuses("", http.StatusUnauthorized)
	checkStatuses(second, http.StatusUnauthorized)
	checkStatuses(first, http.StatusOK)
	setKeys(`["` + second + `"]`)
	checkStatuses(first, http.StatusUnauthorized)
	checkStatuses(second, http.StatusOK)
	output.WriteString(m.runCtl("history"))

	logs, err := filepath.Glob(filepath.Join(m.dir, "*.log"))
	assert.NilError(t, err)
	assert.Assert(t, len(logs) >= 7)
	for _, name := range logs {
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		output.Write(data)
	}
	assert.Assert(t, strings.Contains(output.String(), "organisations/acme"))
	for _, key := range []string{first, second} {
		assert.Assert(t, !strings.Contains(output.String(), key))
	}
}
