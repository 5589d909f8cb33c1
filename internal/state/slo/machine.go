package slo

import (
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// nodeRetention is how long the totals of a node start are remembered after
	// its last report. A node that is cut off for longer and has not restarted
	// would be counted again from its start.
	nodeRetention = 7 * 24 * time.Hour
	// maxServices and maxNodes bound the memory; what exceeds them is not counted.
	// They are well above the target of 360 services and 6,400 nodes with 690
	// restarts a day.
	maxServices = 2048
	maxNodes    = 32768
)

// ErrSnapshot reports a snapshot that cannot be decoded.
var ErrSnapshot = errors.New("slo: malformed snapshot")

// nodeKey names one start of a node.
type nodeKey struct {
	id    string
	start uint64
}

type nodeTotals struct {
	reported time.Time
	services map[string]Totals
}

// Machine is the replicated state of the counts. A node reports totals since its
// start and the machine adds what exceeds the totals that it knows, so that a
// report counts once however often and through whichever members it arrives.
// It is safe for concurrent use.
type Machine struct {
	mu     sync.Mutex
	now    time.Time
	nodes  map[nodeKey]*nodeTotals
	series map[string]*series
}

// NewMachine returns a machine without counts.
func NewMachine() *Machine {
	return &Machine{nodes: map[nodeKey]*nodeTotals{}, series: map[string]*series{}}
}

// Apply carries out a wire.BurnCheckpoint. The result is empty, or the reason
// for which the command had no effect.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	checkpoint := &wire.BurnCheckpoint{}
	if err := proto.Unmarshal(command, checkpoint); err != nil {
		return []byte("malformed checkpoint")
	}
	if checkpoint.GetUnixMs() <= 0 {
		return []byte("checkpoint without time")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.UnixMilli(checkpoint.GetUnixMs())
	for _, node := range checkpoint.GetNodes() {
		m.addNode(at, node)
	}
	if at.After(m.now) {
		m.now = at
		m.prune()
	}
	return nil
}

func (m *Machine) addNode(at time.Time, report *wire.NodeCounts) {
	key := nodeKey{id: report.GetNodeId(), start: report.GetNodeStart()}
	node := m.nodes[key]
	if node == nil {
		if len(m.nodes) >= maxNodes {
			return
		}
		node = &nodeTotals{services: map[string]Totals{}}
		m.nodes[key] = node
	}
	if at.After(node.reported) {
		node.reported = at
	}
	for _, count := range report.GetCounts() {
		m.addCount(at, node, count)
	}
}

func (m *Machine) addCount(at time.Time, node *nodeTotals, count *wire.BurnCount) {
	s := m.series[count.GetService()]
	if s == nil {
		if len(m.series) >= maxServices {
			return
		}
		s = newSeries()
		m.series[count.GetService()] = s
	}
	known := node.services[count.GetService()]
	next := Totals{Good: max(known.Good, count.GetGood()), Bad: max(known.Bad, count.GetBad())}
	node.services[count.GetService()] = next
	s.add(at, Totals{Good: next.Good - known.Good, Bad: next.Bad - known.Bad})
}

func (m *Machine) prune() {
	for key, node := range m.nodes {
		if m.now.Sub(node.reported) > nodeRetention {
			delete(m.nodes, key)
		}
	}
}

// Snapshot returns the whole state as a wire.BurnSnapshot.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := &wire.BurnSnapshot{UnixMs: m.now.UnixMilli(), Nodes: encodeNodes(m.nodes)}
	for service, s := range m.series {
		snapshot.Series = append(snapshot.Series, &wire.BurnSeries{
			Service: service, Minutes: s.minutes.encode(), Hours: s.hours.encode(),
		})
	}
	sort.Slice(snapshot.Series, func(i, j int) bool {
		return snapshot.Series[i].GetService() < snapshot.Series[j].GetService()
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return data, errors.Wrap(err, "slo: snapshot")
}

func encodeNodes(nodes map[nodeKey]*nodeTotals) []*wire.NodeCounts {
	encoded := make([]*wire.NodeCounts, 0, len(nodes))
	for key, node := range nodes {
		encoded = append(encoded, &wire.NodeCounts{
			NodeId: key.id, NodeStart: key.start, ReportedMs: node.reported.UnixMilli(), Counts: encodeCounts(node.services),
		})
	}
	sort.Slice(encoded, func(i, j int) bool {
		a, b := encoded[i], encoded[j]
		if a.GetNodeId() != b.GetNodeId() {
			return a.GetNodeId() < b.GetNodeId()
		}
		return a.GetNodeStart() < b.GetNodeStart()
	})
	return encoded
}

func encodeCounts(services map[string]Totals) []*wire.BurnCount {
	counts := make([]*wire.BurnCount, 0, len(services))
	for service, t := range services {
		counts = append(counts, &wire.BurnCount{Service: service, Good: t.Good, Bad: t.Bad})
	}
	sort.Slice(counts, func(i, j int) bool { return counts[i].GetService() < counts[j].GetService() })
	return counts
}

// Restore replaces the whole state. It returns ErrSnapshot and leaves the state
// unchanged when the snapshot cannot be decoded or exceeds maxServices or maxNodes.
func (m *Machine) Restore(data []byte) error {
	snapshot := &wire.BurnSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return errors.WithMessage(ErrSnapshot, err.Error())
	}
	if len(snapshot.GetSeries()) > maxServices || len(snapshot.GetNodes()) > maxNodes {
		return errors.WithMessage(ErrSnapshot, "more services or nodes than are counted")
	}
	restored := NewMachine()
	restored.now = time.UnixMilli(snapshot.GetUnixMs())
	for _, node := range snapshot.GetNodes() {
		totals := &nodeTotals{reported: time.UnixMilli(node.GetReportedMs()), services: map[string]Totals{}}
		for _, count := range node.GetCounts() {
			totals.services[count.GetService()] = Totals{Good: count.GetGood(), Bad: count.GetBad()}
		}
		restored.nodes[nodeKey{id: node.GetNodeId(), start: node.GetNodeStart()}] = totals
	}
	for _, encoded := range snapshot.GetSeries() {
		s := newSeries()
		s.minutes.decode(encoded.GetMinutes())
		s.hours.decode(encoded.GetHours())
		restored.series[encoded.GetService()] = s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.nodes, m.series = restored.now, restored.nodes, restored.series
	return nil
}

// Window returns the counts of a service over a window that ends at now. Windows
// of up to 6 h have a resolution of a minute, longer ones of an hour.
func (m *Machine) Window(service string, now time.Time, window time.Duration) Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.series[service]; s != nil {
		return s.sum(now, window)
	}
	return Totals{}
}
