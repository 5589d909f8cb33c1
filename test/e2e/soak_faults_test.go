package e2e

import (
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"gotest.tools/v3/assert"
)

// tornBytes end a log that a loss of power has torn: a record that was begun and never
// synced.
var tornBytes = []byte("\x40\x00\x00\x00 torn record")

// fault does one fault of the seed. It ends by itself or with heal.
func (s *soak) fault() {
	node := s.nodes[s.random.IntN(len(s.nodes))].ID
	member := s.random.IntN(len(s.settings))
	lasts := time.Duration(100+s.random.IntN(1500)) * time.Millisecond
	kind := s.random.IntN(12)
	s.t.Logf("fault %d: %s, member %d, %v", kind, node, member+1, lasts)
	switch kind {
	case 0:
		s.killAndStart(node)
	case 1:
		s.pause(node, lasts)
	case 2:
		s.terminate(node)
	case 3:
		s.killMember(member)
		s.startMember(member)
	case 4:
		s.pause(s.settings[member].ID, lasts)
	case 5:
		s.tear(member)
	case 6:
		s.upstreams[node].crash()
		time.Sleep(lasts / 4)
		s.upstreams[node].begin()
	case 7:
		s.departAndReturn(node, lasts)
	case 8:
		s.relays[node].resetAll()
	case 9:
		s.disturb(node, lasts)
	case 10:
		s.disturb(s.settings[member].ID, lasts)
	default:
		s.signal(node, syscall.SIGHUP)
	}
}

// disturb changes what the relay before a process does with bytes.
func (s *soak) disturb(id string, lasts time.Duration) {
	mode := relayMode(1 + s.random.IntN(int(relayRefuse)))
	s.relays[id].set(mode)
	time.AfterFunc(lasts, func() { s.relays[id].set(relayPass) })
}

func (s *soak) killAndStart(id string) {
	command := s.process(id)
	_ = command.Process.Kill()
	_ = command.Wait()
	s.restart(id)
}

func (s *soak) pause(id string, lasts time.Duration) {
	process := s.process(id).Process
	assert.NilError(s.t, process.Signal(syscall.SIGSTOP))
	time.Sleep(lasts)
	assert.NilError(s.t, process.Signal(syscall.SIGCONT))
}

// terminate stops a node in order and checks its exit code.
func (s *soak) terminate(id string) {
	command := s.process(id)
	assert.NilError(s.t, command.Process.Signal(syscall.SIGTERM))
	_ = command.Wait()
	if code := command.ProcessState.ExitCode(); code != 0 {
		s.t.Logf("%s ended with %d", id, code) // accepted requests may outlast its stop timeout
	}
	s.restart(id)
}

func (s *soak) restart(id string) {
	for _, node := range s.nodes {
		if node.ID == id {
			s.start("chicorylever-node", id, node)
		}
	}
}

// tear ends a member and leaves a torn record at the end of its newest log file.
func (s *soak) tear(member int) {
	s.killMember(member)
	files, err := filepath.Glob(filepath.Join(s.settings[member].DataDir, "*.wal"))
	assert.NilError(s.t, err)
	if len(files) > 0 {
		file, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0)
		assert.NilError(s.t, err)
		_, err = file.Write(tornBytes[:1+s.random.IntN(len(tornBytes)-1)])
		assert.NilError(s.t, err)
		assert.NilError(s.t, file.Close())
	}
	s.startMember(member)
}

// departAndReturn lets an upstream leave, stay for a while and start anew. A process that
// is down takes no departure.
func (s *soak) departAndReturn(id string, lasts time.Duration) {
	left := s.upstreams[id].leave()
	if left && s.random.IntN(2) == 0 {
		s.killAndStart(id) // the departure must outlive its node
	}
	time.Sleep(lasts + departSlack)
	s.upstreams[id].crash()
	s.upstreams[id].begin()
}

// heal ends all faults.
func (s *soak) heal() {
	for _, r := range s.relays {
		r.set(relayPass)
		r.resetAll()
	}
}

// incarnation names the process that runs under the identity now.
func (s *soak) incarnation(id string) string {
	return strconv.Itoa(s.process(id).Process.Pid)
}
