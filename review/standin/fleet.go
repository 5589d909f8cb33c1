package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:depguard // the harness of a case starts the programs under test
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the wait until the nodes are ready.
	startTimeout = 20 * time.Second
	// stopTimeout bounds the wait for the end of a process after SIGTERM.
	stopTimeout = 8 * time.Second
	// baseOctet is the second octet of the loopback addresses of the machines.
	baseOctet = 77
)

// Ports holds the ports that are the same on all machines.
type Ports struct {
	Mesh, Control, Outbound, Readiness, App int
}

// Machine is a machine of the deployment: a loopback address with one program.
type Machine struct {
	Name, IP, Zone string
	// Service is the service of the instance on a sidecar machine, empty on a core machine.
	Service string

	fleet   *Fleet
	program string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet is a small deployment.
type Fleet struct {
	Record *Record
	Ports  Ports
	Core   []*Machine
	Side   []*Machine

	root, dir string
}

// Placement says how many machines a fleet has.
type Placement struct {
	Zones []string
	// Core is the number of core machines; they are spread over the zones in turn.
	Core int
	// Tolerated is the number of core machines that may be lost at once.
	Tolerated int
	// Side lists the service and the zone of each sidecar machine.
	Side []SidePlacement
}

// SidePlacement is the service and the zone of a sidecar machine.
type SidePlacement struct{ Service, Zone string }

// NewFleet writes the settings of all machines below dir. The programs are those that the
// deploy file builds into target/ below root.
func NewFleet(root, dir string, record *Record, placement Placement) (*Fleet, error) {
	f := &Fleet{Record: record, root: root, dir: dir}
	for i := range placement.Core {
		f.Core = append(f.Core, &Machine{
			Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("127.%d.1.%d", baseOctet, i+1),
			Zone: placement.Zones[i%len(placement.Zones)], fleet: f, program: "target/platform-control",
		})
	}
	for i, side := range placement.Side {
		f.Side = append(f.Side, &Machine{
			Name: fmt.Sprintf("side-%d", i+1), IP: fmt.Sprintf("127.%d.2.%d", baseOctet, i+1),
			Zone: side.Zone, Service: side.Service, fleet: f, program: "target/platform-node",
		})
	}
	ports, err := f.freePorts()
	if err != nil {
		return nil, err
	}
	f.Ports = ports
	for _, m := range f.Core {
		if err := m.writeControlSettings(placement.Tolerated, true); err != nil {
			return nil, err
		}
	}
	for _, m := range f.Side {
		if err := m.writeNodeSettings(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePorts returns ports that are free on all addresses of the fleet.
func (f *Fleet) freePorts() (Ports, error) {
	var ports [5]int
	next := 21000 + os.Getpid()%20000
	for i := range ports {
		for ; !f.isFree(next); next++ {
			if next > 60000 {
				return Ports{}, fmt.Errorf("no free ports")
			}
		}
		ports[i] = next
		next++
	}
	return Ports{ports[0], ports[1], ports[2], ports[3], ports[4]}, nil
}

func (f *Fleet) isFree(port int) bool {
	for _, m := range append(append([]*Machine{}, f.Core...), f.Side...) {
		listener, err := net.Listen("tcp", m.Address(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Address returns the address of a port of the machine.
func (m *Machine) Address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

func (f *Fleet) seeds() []string {
	var seeds []string
	for _, m := range f.Core[:min(3, len(f.Core))] {
		seeds = append(seeds, m.Address(f.Ports.Control))
	}
	return seeds
}

func (m *Machine) settingsPath() string { return filepath.Join(m.fleet.dir, m.Name+".json") }

// DataDir returns the directory of the disk of a core machine.
func (m *Machine) DataDir() string { return filepath.Join(m.fleet.dir, m.Name+".data") }

// writeControlSettings writes what platform/control.json.tmpl yields for the machine.
func (m *Machine) writeControlSettings(tolerated int, bootstrap bool) error {
	settings := map[string]any{
		"id": m.Name, "zone": m.Zone, "data_dir": m.DataDir(),
		"mesh_listen": m.Address(m.fleet.Ports.Mesh),
		"api_listen":  m.Address(m.fleet.Ports.Control), "member_port": m.fleet.Ports.Mesh, "tolerated_losses": tolerated,
		"stop_timeout_ms": 4500, "bootstrap_document": "platform/document.json",
	}
	if bootstrap {
		settings["bootstrap"] = m.fleet.seeds()
	} else {
		settings["join"] = m.fleet.seeds()
	}
	return writeJSON(m.settingsPath(), settings)
}

// writeNodeSettings writes what platform/node.json.tmpl yields for the machine.
func (m *Machine) writeNodeSettings() error {
	p := m.fleet.Ports
	return writeJSON(m.settingsPath(), map[string]any{
		"id": m.Name, "zone": m.Zone, "service": m.Service, "upstream_address": m.Address(p.App),
		"entry_listen": m.Address(p.Outbound), "local_listen": m.Address(p.Control), "local_open": true,
		"mesh_listen": m.Address(p.Mesh), "admin_listen": m.Address(p.Readiness),
		"control": m.fleet.seeds(), "control_port": p.Mesh,
		"retry_ratio": 0.2, "retry_slack": 62, "retry_window_s": 10, "cold_factor": 1.5, "cold_slack": 5,
		"stop_delay_ms": 2200, "stop_timeout_ms": 5500,
	})
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// Start starts the program of the machine.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(m.fleet.root, m.program)) //nolint:gosec // a program of the deploy file
	command.Dir = m.fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYLEVER_NODE_FILE=" + m.settingsPath()}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); close(exited) }()
	m.command, m.exited = command, exited
	return nil
}

// Signal sends a signal to the process of the machine and records it.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.Record.Logf("%s: signal %v", m.Name, signal)
	_ = m.command.Process.Signal(signal)
}

// HasExited reports whether the process of the machine has ended.
func (m *Machine) HasExited() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// Await waits until the process of the machine has ended.
func (m *Machine) Await() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	<-exited
}

// StartAll starts all machines and waits until the nodes answer on their readiness address.
func (f *Fleet) StartAll() error {
	for _, m := range append(append([]*Machine{}, f.Core...), f.Side...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until all nodes are ready.
func (f *Fleet) AwaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range f.Side {
		for !m.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// IsReady asks the node of the machine whether it is ready, as the platform does.
func (m *Machine) IsReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.Address(m.fleet.Ports.Readiness) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// StopAll ends all processes that the fleet has started.
func (f *Fleet) StopAll() {
	machines := append(append([]*Machine{}, f.Side...), f.Core...)
	for _, m := range machines {
		if m.command != nil && !m.HasExited() {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, m := range machines {
		if m.command == nil {
			continue
		}
		select {
		case <-m.exited:
		case <-time.After(stopTimeout):
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
}
