package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const (
	testToken         = "e2e-token"
	editedSectionPath = "services/drafts"
)

// apiClient has a short timeout, because a paused member does not respond.
var apiClient = &http.Client{Timeout: 500 * time.Millisecond}

// controlCluster is a cluster of control members, each a separate process.
type controlCluster struct {
	*cluster
	memberSettings []*settings.Control
	// healthPath is that of the service that editors write, empty for none.
	healthPath string
}

func newControlCluster(t testing.TB, count int) *controlCluster {
	return newControlClusterWithAddresses(t, count, func(_, listen string) string { return listen })
}

// newControlClusterWithAddresses starts members that advertise the mesh address that
// meshAddressFor returns for the ID and the listen address of each.
func newControlClusterWithAddresses(t testing.TB, count int, meshAddressFor func(id, listen string) string) *controlCluster {
	m := &controlCluster{cluster: newCluster(t)}
	digest := sha256.Sum256([]byte(testToken))
	documentPath := filepath.Join(m.dir, "document.json")
	withToken := strings.Replace(testDocument, `"token_sha256": []`, `"token_sha256": ["`+hex.EncodeToString(digest[:])+`"]`, 1)
	assert.NilError(t, os.WriteFile(documentPath, []byte(withToken), 0o600))
	var listens, bootstrap []string
	for i := range count {
		listens = append(listens, freeAddress(t))
		bootstrap = append(bootstrap, meshAddressFor(fmt.Sprintf("control-%d", i+1), listens[i]))
	}
	for i, meshAddress := range bootstrap {
		m.memberSettings = append(m.memberSettings, &settings.Control{
			ID: fmt.Sprintf("control-%d", i+1), Zone: "seq-a", DataDir: filepath.Join(m.dir, fmt.Sprintf("data-%d", i+1)),
			MeshListen: listens[i], MeshAddress: meshAddress, APIListen: freeAddress(t), Bootstrap: bootstrap, BootstrapDocument: documentPath,
		})
		m.startMember(i)
	}
	m.controlSettings = m.memberSettings[0]
	eventually(t, func() error { _, err := m.status(0); return err })
	return m
}

func (m *controlCluster) startMember(i int) {
	m.startWithSettings("chicorylever-control", m.memberSettings[i].ID, m.memberSettings[i])
}

func (m *controlCluster) killMember(i int) {
	id := m.memberSettings[i].ID
	command := m.process(id)
	m.mu.Lock()
	delete(m.processes, id)
	m.mu.Unlock()
	_ = command.Process.Kill()
	_ = command.Wait()
}

// status returns what the member reports at /v1/status.
func (m *controlCluster) status(i int) (api.StatusBody, error) {
	var body api.StatusBody
	_, err := m.apiRequest(i, http.MethodGet, "/v1/status", "", nil, &body)
	return body, err
}

// leader waits until a running member reports itself as leader and returns its index.
func (m *controlCluster) leader() int {
	leader := -1
	eventually(m.t, func() error {
		for i, s := range m.memberSettings {
			if _, running := m.processes[s.ID]; !running {
				continue
			}
			if body, err := m.status(i); err == nil && body.Cluster.Leader == body.Cluster.ID {
				leader = i
				return nil
			}
		}
		return fmt.Errorf("no running member reports itself as leader")
	})
	return leader
}

// waitVoters waits until the member reports the given number of voters, itself among them, and
// no learner.
func (m *controlCluster) waitVoters(i, voters int) {
	eventually(m.t, func() error {
		body, err := m.status(i)
		if err != nil {
			return err
		}
		isMember := false
		for _, member := range body.Cluster.Members {
			if member.Learner {
				return fmt.Errorf("member %d is still a learner", member.ID)
			}
			isMember = isMember || member.ID == body.Cluster.ID
		}
		if !isMember {
			return fmt.Errorf("member %d is not in the configuration that it reports", body.Cluster.ID)
		}
		if len(body.Cluster.Members) != voters {
			return fmt.Errorf("the member reports %d voters", len(body.Cluster.Members))
		}
		return nil
	})
}

// apiRequest sends a request to the operators' API of a member and decodes the JSON
// response into result. A status other than 200 is an error; the status is 0 if there was
// no response.
func (m *controlCluster) apiRequest(i int, method, path, body string, header map[string]string, result any) (int, error) {
	request, err := http.NewRequest(method, "http://"+m.memberSettings[i].APIListen+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := apiClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, fmt.Errorf("%s: %s", response.Status, data)
	}
	return response.StatusCode, json.Unmarshal(data, result)
}

// editor is a client that sends configuration edits one after another while members fail.
type editor struct {
	*controlCluster
	stop chan struct{}
	done chan struct{}

	mu sync.Mutex
	// version is the section version after the last accepted edit.
	version uint64
	// accepted is the number of accepted edits.
	accepted int
	// longestEdit is the longest time from the first attempt of an edit to its acceptance.
	longestEdit time.Duration
	err         error
}

func (m *controlCluster) startEditor() *editor {
	e := &editor{controlCluster: m, version: 1, stop: make(chan struct{}), done: make(chan struct{})}
	go e.run()
	return e
}

func (e *editor) run() {
	defer close(e.done)
	for number := 1; ; number++ {
		select {
		case <-e.stop:
			return
		default:
		}
		started := time.Now()
		version, err := e.edit(number, e.version)
		e.mu.Lock()
		if e.err = err; err == nil {
			e.version, e.accepted, e.longestEdit = version, number, max(e.longestEdit, time.Since(started))
		}
		e.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// edit sends one edit to the members in turn until one accepts or rejects it. A conflict
// is an error: with a single editor it means that an accepted edit was lost or that a
// retry was applied a second time.
func (e *editor) edit(number int, baseVersion uint64) (version uint64, err error) {
	body := fmt.Sprintf(`{"owner": "platform", "timeout_ms": %d, "health_path": %q}`, 1000+number, e.healthPath)
	header := map[string]string{
		"If-Match": `"` + strconv.FormatUint(baseVersion, 10) + `"`,
		"Edit-Id":  "edit-" + strconv.Itoa(number),
	}
	for attempt := range 400 {
		var result api.EditBody
		status, err := e.apiRequest((number+attempt)%len(e.memberSettings), http.MethodPut, "/v1/sections/"+editedSectionPath, body, header, &result)
		switch status {
		case http.StatusOK:
			return result.Version, err
		case http.StatusServiceUnavailable, 0:
			time.Sleep(20 * time.Millisecond)
		default:
			return 0, fmt.Errorf("edit %d based on version %d was rejected: %w", number, baseVersion, err)
		}
	}
	return 0, fmt.Errorf("edit %d was neither accepted nor rejected by any member", number)
}

// waitAccepted waits until count more edits are accepted.
func (e *editor) waitAccepted(count int) {
	e.t.Helper()
	target := -1
	eventually(e.t, func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		assert.NilError(e.t, e.err)
		if target < 0 {
			target = e.accepted + count
		}
		if e.accepted < target {
			return fmt.Errorf("%d edits are accepted, want %d", e.accepted, target)
		}
		return nil
	})
}

// stopAndWait stops the edits and fails the test if one was rejected or got no result.
func (e *editor) stopAndWait() {
	e.t.Helper()
	close(e.stop)
	<-e.done
	assert.NilError(e.t, e.err)
	e.t.Logf("%d edits accepted, the longest took %v including retries", e.accepted, e.longestEdit)
}

// requireLastEdit checks that every running member returns the last accepted edit.
func (e *editor) requireLastEdit() {
	e.t.Helper()
	for i, s := range e.memberSettings {
		if _, running := e.processes[s.ID]; !running {
			continue
		}
		var section api.SectionBody
		eventually(e.t, func() error {
			_, err := e.apiRequest(i, http.MethodGet, "/v1/sections/"+editedSectionPath, "", nil, &section)
			return err
		})
		assert.Equal(e.t, section.Version, e.version)
		assert.Assert(e.t, strings.Contains(string(section.Body), strconv.Itoa(1000+e.accepted)), "%s", section.Body)
	}
}

// TestControlFaults guards against accepted edits that are lost or applied twice, and
// against edits that stay blocked. One member is killed and loses its data directory, a
// second one is killed right after the first has rejoined, and leaders are paused and
// resumed.
func TestControlFaults(t *testing.T) {
	m := newControlCluster(t, 3)
	m.waitVoters(0, 3)
	e := m.startEditor()
	e.waitAccepted(20)

	firstKilled := m.leader()
	m.killMember(firstKilled)
	e.waitAccepted(20)

	// The killed member rejoins with an empty data directory and must catch up as a
	// learner before it votes.
	assert.NilError(t, os.RemoveAll(m.memberSettings[firstKilled].DataDir))
	m.memberSettings[firstKilled].Join, m.memberSettings[firstKilled].Bootstrap = m.memberSettings[firstKilled].Bootstrap, nil
	m.startMember(firstKilled)
	m.waitVoters(firstKilled, 3)

	secondKilled := (firstKilled + 1) % len(m.memberSettings)
	m.killMember(secondKilled)
	e.waitAccepted(20)
	m.startMember(secondKilled)
	m.waitVoters(secondKilled, 3)

	for range 3 {
		paused := m.leader()
		m.signal(m.memberSettings[paused].ID, syscall.SIGSTOP)
		e.waitAccepted(10)
		m.signal(m.memberSettings[paused].ID, syscall.SIGCONT)
		e.waitAccepted(10)
	}
	e.stopAndWait()
	e.requireLastEdit()
}

// TestConcurrentEdits guards against two accepted edits that are based on the same version
// and sent through different members.
func TestConcurrentEdits(t *testing.T) {
	m := newControlCluster(t, 3)
	m.waitVoters(0, 3)
	version := uint64(1)
	for round := range 10 {
		var mu sync.Mutex
		var accepted []uint64
		var group sync.WaitGroup
		for i := range m.memberSettings {
			group.Go(func() {
				body := fmt.Sprintf(`{"owner": "platform", "timeout_ms": %d}`, 2000+i)
				header := map[string]string{
					"If-Match": fmt.Sprintf(`"%d"`, version), "Edit-Id": fmt.Sprintf("race-%d-%d", round, i),
				}
				var result api.EditBody
				eventually(t, func() error {
					status, err := m.apiRequest(i, http.MethodPut, "/v1/sections/services/approvals", body, header, &result)
					if status == http.StatusConflict {
						return nil
					}
					if err == nil {
						mu.Lock()
						defer mu.Unlock()
						accepted = append(accepted, result.Version)
					}
					return err
				})
			})
		}
		group.Wait()
		assert.Equal(t, len(accepted), 1, "round %d", round)
		version = accepted[0]
	}
}

// TestStoppedNodeIsNotListed guards against an instance that is still listed after its node
// has stopped.
func TestStoppedNodeIsNotListed(t *testing.T) {
	m := newControlCluster(t, 1)
	m.startUpstream("drafts", "drafts-1", m.startNode("seq-a"))
	upstreamCount := func() int {
		body, err := m.status(0)
		assert.NilError(t, err)
		return len(body.Fleet.Upstreams)
	}
	eventually(t, func() error {
		if upstreamCount() == 0 {
			return fmt.Errorf("the upstream is not listed in the status")
		}
		return nil
	})
	assert.Equal(t, m.stop("node-1"), 0)
	assert.Equal(t, upstreamCount(), 0)
}
