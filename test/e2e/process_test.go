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
	t         testing.TB
	bin       string
	dir       string
	control   *settings.Control
	nodes     []*settings.Node
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	// authority signs a certificate for each process when it is set.
	authority *tls.Certificate
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}}
	c.bin = filepath.Join(c.dir, "bin")
	assert.NilError(t, os.MkdirAll(c.bin, 0o750))
	build := exec.Command("go", "build", "-o", c.bin, "../../cmd/...")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	t.Cleanup(c.kill)
	return c
}

func (c *cluster) startControl() {
	document := filepath.Join(c.dir, "document.json")
	assert.NilError(c.t, os.WriteFile(document, []byte(testDocument), 0o600))
	mesh := freeAddress(c.t)
	c.control = &settings.Control{
		ID: "control-1", Zone: "seq-a", DataDir: filepath.Join(c.dir, "data-1"),
		MeshListen: mesh, APIListen: freeAddress(c.t),
		Bootstrap: []string{mesh}, BootstrapDocument: document,
	}
	c.control.TLSCert, c.control.TLSKey, c.control.TLSCA = c.certify(c.control.ID)
	c.start("chicorylever-control", "control-1", c.control)
}

func (c *cluster) startNode(zone string) *settings.Node {
	id := fmt.Sprintf("node-%d", len(c.nodes)+1)
	node := &settings.Node{
		ID: id, Zone: zone,
		EntryListen: freeAddress(c.t), LocalListen: freeAddress(c.t), MeshListen: freeAddress(c.t), AdminListen: freeAddress(c.t),
		Control: []string{c.control.MeshListen},
	}
	node.TLSCert, node.TLSKey, node.TLSCA = c.certify(id)
	c.nodes = append(c.nodes, node)
	c.start("chicorylever-node", id, node)
	return node
}

func (c *cluster) start(program, name string, config any) {
	data, err := json.Marshal(config)
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, name+".json")
	assert.NilError(c.t, os.WriteFile(path, data, 0o600))
	c.run(name, exec.Command(filepath.Join(c.bin, program), "--settings", path))
}

func (c *cluster) startUpstream(service, instance string, node *settings.Node) {
	c.run(instance, exec.Command(filepath.Join(c.bin, "chicorylever-upstream"), "--service", service, "--instance", instance,
		"--node", node.LocalListen, "--log", filepath.Join(c.dir, instance+".requests")))
}

func (c *cluster) run(name string, command *exec.Cmd) {
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() {
		_ = log.Close()
		if c.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			c.t.Logf("%s:\n%s", name, data)
		}
	})
	command.Stdout, command.Stderr = log, log
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
func (c *cluster) runs() map[string]int {
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

func (c *cluster) kill() {
	for _, command := range c.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// lastPort is below the ports that the kernel gives to other sockets, so that an
// address that was handed out is still free when its process starts.
var lastPort atomic.Int32

func freeAddress(t testing.TB) string {
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", 20000+lastPort.Add(1))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// eventually retries a check while processes start.
func eventually(t testing.TB, check func() error) {
	t.Helper()
	var err error
	for range 400 {
		if err = check(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal(err)
}

func call(method, url, body string) (status int, response string, err error) {
	status, _, response, err = callHeader(method, url, body, "")
	return status, response, err
}

// callHeader also returns the outcome header. An empty timeout is the service's.
func callHeader(method, url, body, timeoutMs string) (status int, outcome, response string, err error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	if timeoutMs != "" {
		request.Header.Set(httpapi.HeaderTimeout, timeoutMs)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header.Get(httpapi.HeaderOutcome), string(data), err
}

// waitAnswered sends a request until it is answered with status 200.
func waitAnswered(t testing.TB, url string) {
	t.Helper()
	eventually(t, func() error {
		status, _, err := call("POST", url, "")
		return check(status, err)
	})
}
