// Package misuse starts the system's own programs on loopback addresses and sends them what
// misbehaving clients send. Its tests check only that the process lives, that its memory and
// its open descriptors stay below fixed bounds, and that an ordinary request is answered
// afterwards. scripts/test runs this package alone, since the memory of a process depends on
// the load of the machine.
package misuse

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/settings"
)

const (
	// nodeMemoryBound and controlMemoryBound are the memory of the smallest VMs in KB
	// (docs/requirements.md, 0.5), descriptorBound the descriptors of a process (4.2).
	nodeMemoryBound    = 184 << 10
	controlMemoryBound = 280 << 10
	descriptorBound    = 4100
)

// testDocument has the platform's limits (docs/requirements.md, 4.2).
const testDocument = `{
  "teams": {"platform": {"token_sha256": [], "admin": true}},
  "zones": {"seq-a": {"owner": "platform", "state": "in"}},
  "services": {"drafts": {"owner": "platform", "timeout_ms": 3000}},
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}`

// programsFlag names a directory with programs that are used instead of those of this
// revision, to compare it with another one.
var programsFlag = flag.String("misuse.programs", "", "`DIRECTORY` of programs that were built before")

// binDir holds the programs, which are built once.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if binDir = *programsFlag; binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "misuse")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", binDir, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// system is a control member, a node and an upstream, each a process.
type system struct {
	t       testing.TB
	dir     string
	control *settings.Control
	node    *settings.Node
	// controlProcess and nodeProcess are the processes under test.
	controlProcess, nodeProcess *exec.Cmd
}

// startSystem starts the processes and waits until a request is answered. nodeDescriptors is the
// limit of open descriptors of the node, 0 for that of the test.
func startSystem(t testing.TB, nodeDescriptors int) *system {
	s := &system{t: t, dir: t.TempDir()}
	s.write("document.json", json.RawMessage(testDocument))
	meshAddress := freeAddress(t)
	s.control = &settings.Control{
		ID: "control-1", Zone: "seq-a", DataDir: filepath.Join(s.dir, "data"),
		MeshListen: meshAddress, APIListen: freeAddress(t), LogLevel: "error",
		Bootstrap: []string{meshAddress}, BootstrapDocument: filepath.Join(s.dir, "document.json"),
	}
	s.node = &settings.Node{
		ID: "node-1", Zone: "seq-a", LogLevel: "error",
		EntryListen: freeAddress(t), LocalListen: freeAddress(t), MeshListen: freeAddress(t), AdminListen: freeAddress(t),
		Control: []string{meshAddress},
	}
	s.controlProcess = s.start("chicorylever-control", 0, "--settings", s.write("control.json", s.control))
	s.nodeProcess = s.start("chicorylever-node", nodeDescriptors, "--settings", s.write("node.json", s.node))
	s.start("chicorylever-upstream", 0, "--service", "drafts", "--instance", "drafts-1", "--node", s.node.LocalListen)
	s.awaitAnswer("http://" + s.node.EntryListen + "/svc/drafts/ready")
	return s
}

// write writes a JSON file and returns its path.
func (s *system) write(name string, content any) string {
	data, err := json.Marshal(content)
	assert.NilError(s.t, err)
	path := filepath.Join(s.dir, name)
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return path
}

// start starts a program that runs until the test ends.
func (s *system) start(program string, descriptors int, arguments ...string) *exec.Cmd {
	command := exec.Command(filepath.Join(binDir, program), arguments...)
	if descriptors > 0 {
		script := fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", descriptors)
		command = exec.Command("/bin/sh", append([]string{"-c", script, command.Path}, arguments...)...)
	}
	output, err := os.Create(filepath.Join(s.dir, program+".log"))
	assert.NilError(s.t, err)
	command.Stdout, command.Stderr = output, output
	assert.NilError(s.t, command.Start())
	s.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = output.Close()
		if data, _ := os.ReadFile(output.Name()); s.t.Failed() {
			s.t.Logf("%s:\n%.4000s", program, data)
		}
	})
	return command
}

// check checks that both processes live, and their peak memory and open descriptors, and that
// an ordinary request to each address is answered.
func (s *system) check(t testing.TB) {
	t.Helper()
	s.checkProcess(t, "node", s.nodeProcess, nodeMemoryBound)
	s.checkProcess(t, "control", s.controlProcess, controlMemoryBound)
	s.awaitAnswer("http://" + s.node.EntryListen + "/svc/drafts/afterwards")
	s.awaitAnswer("http://" + s.node.AdminListen + "/readyz")
	s.awaitAnswer("http://" + s.node.LocalListen + "/svc/drafts/afterwards")
	s.awaitAnswer("http://" + s.control.APIListen + "/metrics")
}

func (s *system) checkProcess(t testing.TB, name string, process *exec.Cmd, memoryBoundKB int) {
	t.Helper()
	memory, descriptors, err := usage(process.Process.Pid)
	if err != nil {
		t.Errorf("%s does not live: %v", name, err)
		return
	}
	t.Logf("%s: peak memory %d MB, %d descriptors", name, memory>>10, descriptors)
	if memory > memoryBoundKB {
		t.Errorf("%s: peak memory of %d MB exceeds %d MB", name, memory>>10, memoryBoundKB>>10)
	}
	if descriptors > descriptorBound {
		t.Errorf("%s: %d open descriptors exceed %d", name, descriptors, descriptorBound)
	}
}

// usage returns the peak resident memory in KB and the number of open descriptors of a
// process.
func usage(pid int) (memoryKB, descriptors int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, 0, fmt.Errorf("process %d has ended", pid)
	}
	if memoryKB, err = strconv.Atoi(strings.Fields(peak)[0]); err != nil {
		return 0, 0, err
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return memoryKB, len(entries), err
}

// awaitAnswer repeats an ordinary request for up to 20 s until its status is 200.
func (s *system) awaitAnswer(url string) {
	s.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for started := time.Now(); time.Since(started) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%s %.200s", response.Status, body)
	}
	s.t.Errorf("%s is not answered: %s", url, last)
}

// lastPort is the last allocated port. The ports are below the kernel's ephemeral range and
// begin at another one in each process.
var lastPort atomic.Int32

// freeAddress returns a loopback address with a TCP port that is not in use.
func freeAddress(t testing.TB) string {
	lastPort.CompareAndSwap(0, 22000+int32(os.Getpid()%8000))
	for range 1000 {
		address := fmt.Sprint("127.0.0.1:", lastPort.Add(1))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("found no free TCP port on loopback")
	return ""
}
