package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Ports are the ports of the system's processes; they are the same on all machines.
type Ports struct {
	// Mesh is the first port of the range for traffic between the system's processes.
	Mesh      int `json:"mesh"`
	Control   int `json:"control"`
	Outbound  int `json:"outbound"`
	Readiness int `json:"readiness"`
	App       int `json:"app"`
}

// Machine is a machine of the deployment: a loopback address of its own.
type Machine struct {
	Name    string `json:"name"`
	IP      string `json:"ip"`
	Zone    string `json:"zone"`
	Service string `json:"service,omitempty"`
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Plan holds the addresses of a small deployment.
type Plan struct {
	Ports Ports      `json:"ports"`
	Core  []*Machine `json:"core"`
	Side  []*Machine `json:"side"`
}

// planFile is the name of the plan in the folder of a run.
const planFile = "plan.json"

// maxPortTries bounds the attempts to find ports that are free on all addresses.
const maxPortTries = 50

// services are the services of the deployment, one instance of the first two on each of two
// machines.
var services = []string{"fleet0", "bookings0"}

// newPlan chooses loopback addresses and free ports for a deployment.
func newPlan(core, side int) (*Plan, error) {
	prefix := fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
	p := &Plan{}
	for i := range core {
		p.Core = append(p.Core, &Machine{Name: fmt.Sprintf("core-%d", i+1), IP: fmt.Sprintf("%s.%d", prefix, 10+i), Zone: zoneName(i)})
	}
	for i := range side {
		p.Side = append(p.Side, &Machine{
			Name: fmt.Sprintf("side-%d", i+1), IP: fmt.Sprintf("%s.%d", prefix, 100+i), Zone: zoneName(i),
			Service: services[i%len(services)],
		})
	}
	for range maxPortTries {
		base := 20000 + rand.N(10000)
		p.Ports = Ports{Mesh: base, Control: base + 20, Outbound: base + 21, Readiness: base + 22, App: base + 23}
		if p.portsAreFree() {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no free ports after %d tries", maxPortTries)
}

func zoneName(i int) string { return []string{"mid-a", "mid-b", "mid-c"}[i%3] }

func (p *Plan) portsAreFree() bool {
	for _, m := range append(append([]*Machine(nil), p.Core...), p.Side...) {
		for _, port := range []int{p.Ports.Mesh, p.Ports.Control, p.Ports.Outbound, p.Ports.Readiness, p.Ports.App} {
			listener, err := net.Listen("tcp", m.address(port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// seeds are the control addresses of up to three core machines.
func (p *Plan) seeds() []string {
	var seeds []string
	for _, m := range p.Core[:min(3, len(p.Core))] {
		seeds = append(seeds, m.address(p.Ports.Control))
	}
	return seeds
}

// write writes the plan and the settings files that the templates of the deploy file render to.
func (p *Plan) write(dir string) error {
	if err := writeJSON(filepath.Join(dir, planFile), p); err != nil {
		return err
	}
	for _, m := range p.Core {
		for _, isFirst := range []bool{true, false} {
			name := m.Name + ".json"
			if !isFirst {
				name = m.Name + "-later.json"
			}
			if err := writeJSON(filepath.Join(dir, name), p.controlSettings(m, dir, isFirst)); err != nil {
				return err
			}
		}
	}
	for _, m := range p.Side {
		if err := writeJSON(filepath.Join(dir, m.Name+".json"), p.nodeSettings(m)); err != nil {
			return err
		}
	}
	return nil
}

// controlSettings are the settings of platform/control.json.tmpl. isFirst is set for the first
// start of the whole system.
func (p *Plan) controlSettings(m *Machine, dir string, isFirst bool) map[string]any {
	seedsName := "join"
	if isFirst {
		seedsName = "bootstrap"
	}
	return map[string]any{
		"memory_limit_mb": 280, "id": m.Name, "zone": m.Zone, "data_dir": filepath.Join(dir, m.Name+"-data"),
		"mesh_listen": m.address(p.Ports.Mesh), "api_listen": m.address(p.Ports.Control), "member_port": p.Ports.Mesh,
		seedsName: p.seeds(), "tolerated_losses": (len(p.Core) - 1) / 2, "stop_timeout_ms": 4500,
		"bootstrap_document": "platform/document.json",
	}
}

// nodeSettings are the settings of platform/node.json.tmpl, with the bounds of kth-mesh.
func (p *Plan) nodeSettings(m *Machine) map[string]any {
	return map[string]any{
		"memory_limit_mb": 284, "id": m.Name, "zone": m.Zone, "service": m.Service,
		"upstream_address": m.address(p.Ports.App), "entry_listen": m.address(p.Ports.Outbound),
		"local_listen": m.address(p.Ports.Control), "local_open": true, "mesh_listen": m.address(p.Ports.Mesh),
		"admin_listen": m.address(p.Ports.Readiness), "control": p.seeds(), "control_port": p.Ports.Mesh,
		"retry_ratio": 0.2, "retry_slack": 62, "retry_window_s": 10, "cold_factor": 1.5, "cold_slack": 5,
		"stop_delay_ms": 2200, "stop_timeout_ms": 5500,
	}
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

func readPlan(dir string) (*Plan, error) {
	data, err := os.ReadFile(filepath.Join(dir, planFile)) //nolint:gosec // the path comes from the script
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	return p, json.Unmarshal(data, p)
}

// startTimeout bounds the wait until the system serves.
const startTimeout = 20 * time.Second
