package e2e

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const testDocument = `{
  "teams": {"platform": {"token_sha256": [], "admin": true}},
  "zones": {
    "seq-a": {"owner": "platform", "state": "in"},
    "seq-b": {"owner": "platform", "state": "in"},
    "seq-c": {"owner": "platform", "state": "in"}
  },
  "services": {
    "drafts": {"owner": "platform", "hosts": ["drafts.example"], "timeout_ms": 5000},
    "approvals": {"owner": "platform", "timeout_ms": 5000}
  },
  "limits": {}
}`

// cluster is one control member and nodes, each a process of its own.
type cluster struct {
	t               testing.TB
	binDir          string
	dir             string
	controlSettings *settings.Control
	nodeSettings    []*settings.Node
	mu              sync.Mutex
	processes       map[string]*exec.Cmd
	// authority signs a certificate for each process when it is set.
	authority *tls.Certificate
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}}
	c.binDir = filepath.Join(c.dir, "bin")
	assert.NilError(t, os.MkdirAll(c.binDir, 0o750))
	build := exec.Command("go", "build", "-o", c.binDir, "../../cmd/...")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	t.Cleanup(c.killAll)
	return c
}

func (c *cluster) startControl() {
	documentPath := filepath.Join(c.dir, "document.json")
	assert.NilError(c.t, os.WriteFile(documentPath, []byte(testDocument), 0o600))
	meshAddress := freeAddress(c.t)
	c.controlSettings = &settings.Control{
		ID: "control-1", Zone: "seq-a", DataDir: filepath.Join(c.dir, "data-1"),
		MeshListen: meshAddress, APIListen: freeAddress(c.t),
		Bootstrap: []string{meshAddress}, BootstrapDocument: documentPath,
	}
	c.controlSettings.TLSCert, c.controlSettings.TLSKey, c.controlSettings.TLSCA = c.issueCertificate(c.controlSettings.ID)
	c.startWithSettings("chicorylever-control", "control-1", c.controlSettings)
}

func (c *cluster) startNode(zone string) *settings.Node {
	id := fmt.Sprintf("node-%d", len(c.nodeSettings)+1)
	node := &settings.Node{
		ID: id, Zone: zone,
		EntryListen: freeAddress(c.t), LocalListen: freeAddress(c.t), MeshListen: freeAddress(c.t), AdminListen: freeAddress(c.t),
		Control: []string{c.controlSettings.MeshListen},
	}
	node.TLSCert, node.TLSKey, node.TLSCA = c.issueCertificate(id)
	c.nodeSettings = append(c.nodeSettings, node)
	c.startWithSettings("chicorylever-node", id, node)
	return node
}

func (c *cluster) startWithSettings(program, name string, config any) {
	data, err := json.Marshal(config)
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, name+".json")
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	c.startProcess(name, exec.Command(filepath.Join(c.binDir, program), "--settings", path))
}

func (c *cluster) startUpstream(service, instance string, node *settings.Node) {
	c.startProcess(instance, exec.Command(filepath.Join(c.binDir, "chicorylever-upstream"), "--service", service, "--instance", instance,
		"--node", node.LocalListen, "--log", filepath.Join(c.dir, instance+".requests")))
}

func (c *cluster) startProcess(name string, command *exec.Cmd) {
	logFile, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() {
		_ = logFile.Close()
		if c.t.Failed() {
			data, _ := os.ReadFile(logFile.Name())
			c.t.Logf("%s:\n%s", name, data)
		}
	})
	command.Stdout, command.Stderr = logFile, logFile
	assert.NilError(c.t, command.Start())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = command
}

// process returns the process that was started last under the name.
func (c *cluster) process(name string) *exec.Cmd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// stop sends SIGTERM and returns the exit code.
func (c *cluster) stop(name string) int {
	command := c.processes[name]
	delete(c.processes, name)
	assert.NilError(c.t, command.Process.Signal(syscall.SIGTERM))
	_ = command.Wait()
	return command.ProcessState.ExitCode()
}

// signal returns once a process that is to stop has stopped.
func (c *cluster) signal(name string, signal syscall.Signal) {
	process := c.processes[name].Process
	assert.NilError(c.t, process.Signal(signal))
	if signal != syscall.SIGSTOP {
		return
	}
	eventually(c.t, func() error {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Pid))
		if err == nil && !strings.Contains(string(stat), ") T ") {
			err = fmt.Errorf("%s is not stopped", name)
		}
		return err
	})
}

// runs counts the runs of each path at all upstreams.
func (c *cluster) runsByPath() map[string]int {
	files, err := filepath.Glob(filepath.Join(c.dir, "*.requests"))
	assert.NilError(c.t, err)
	runs := map[string]int{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(c.t, err)
		for _, path := range strings.Fields(string(data)) {
			runs[path]++
		}
	}
	return runs
}

func (c *cluster) killAll() {
	for _, command := range c.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// lastPort is below the ports that the kernel gives to other sockets, so that an
// address that was handed out is still free when its process starts.
var lastPortOffset atomic.Int32

func freeAddress(t testing.TB) string {
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", 20000+lastPortOffset.Add(1))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// eventually retries a check while processes start.
func eventually(t testing.TB, condition func() error) {
	t.Helper()
	var err error
	for range 400 {
		if err = condition(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal(err)
}

func sendRequest(method, url, body string) (status int, responseBody string, err error) {
	status, _, responseBody, err = sendRequestWithTimeout(method, url, body, "")
	return status, responseBody, err
}

// callHeader also returns the outcome header. An empty timeout is the service's.
func sendRequestWithTimeout(method, url, body, timeoutMs string) (status int, outcome, responseBody string, err error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	if timeoutMs != "" {
		request.Header.Set(httpapi.HeaderTimeout, timeoutMs)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(httpapi.HeaderOutcome), string(data), err
}

// waitAnswered sends a request until it is answered with status 200.
func waitOK(t testing.TB, url string) {
	t.Helper()
	eventually(t, func() error {
		status, _, err := sendRequest("POST", url, "")
		return statusError(status, err)
	})
}
