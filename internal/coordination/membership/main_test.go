package membership

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// init sets a fixed seed for reproducible results; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeNode simulates a node with one upstream.
type fakeNode struct {
	name     string
	start    uint64
	sequence uint64
	version  uint64
	instance string
	address  string
}

func newFakeNode(i int) *fakeNode {
	name := fmt.Sprintf("node-%04d", i)
	return &fakeNode{name: name, start: 1, instance: "instance-" + name, address: "address-" + name}
}

// nextHeartbeat returns a heartbeat with the next sequence number.
func (n *fakeNode) nextHeartbeat() *wire.Heartbeat {
	n.sequence++
	return &wire.Heartbeat{
		NodeId: n.name, NodeStart: n.start, Sequence: n.sequence, Zone: "seq-a",
		Instance: &wire.Instance{
			Id: n.instance, StartId: fmt.Sprint(n.start), Service: "drafts", NodeAddress: n.address,
			NodeId: n.name, NodeStart: n.start, Version: n.version,
		},
	}
}

// stoppingHeartbeat returns the heartbeat that announces an orderly stop.
func (n *fakeNode) stoppingHeartbeat() *wire.Heartbeat {
	heartbeat := n.nextHeartbeat()
	heartbeat.Stopping = true
	return heartbeat
}

// listedInstances returns the published instances as ID@address#start.version, sorted by ID.
func listedInstances(r *Registry) []string {
	list := []string{}
	for _, instance := range r.Instances(map[string]bool{"drafts": true}).Instances {
		list = append(list, describeInstance(instance))
	}
	return list
}

func describeInstance(i *wire.Instance) string {
	return fmt.Sprintf("%s@%s#%d.%d", i.GetId(), i.GetNodeAddress(), i.GetNodeStart(), i.GetVersion())
}

// expectedInstance returns the instance of the node in the format of describeInstance.
func (n *fakeNode) expectedInstance() string {
	return fmt.Sprintf("%s@%s#%d.%d", n.instance, n.address, n.start, n.version)
}

func expectedInstances(nodes ...*fakeNode) []string {
	list := []string{}
	for _, n := range nodes {
		list = append(list, n.expectedInstance())
	}
	slices.Sort(list)
	return list
}

// simulation runs one registry in virtual time.
type simulation struct {
	now           time.Time
	registry      *Registry
	quorumContact bool
}

func newSimulation() *simulation {
	return &simulation{now: simulationStart, registry: NewRegistry(), quorumContact: true}
}

// run advances the time by d, which must be whole seconds, while the nodes send heartbeats.
func (s *simulation) run(d time.Duration, nodes ...*fakeNode) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(TickInterval)
		if s.now.Second()%2 == 0 {
			for _, n := range nodes {
				s.registry.Renew(s.now, n.nextHeartbeat())
			}
		}
		s.registry.Tick(s.now, s.quorumContact)
	}
}

func newFakeNodes(size int) []*fakeNode {
	nodes := make([]*fakeNode, size)
	for i := range nodes {
		nodes[i] = newFakeNode(i)
	}
	return nodes
}
