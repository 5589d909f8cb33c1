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
	// nodeRetention is how long the totals of a node incarnation are kept after its
	// last report. If a node is partitioned for longer and reports again without a
	// restart, all its responses since its start are counted again.
	nodeRetention = 7 * 24 * time.Hour
	// maxServices and maxNodes (node incarnations) bound the memory; responses of
	// services and nodes beyond them are not counted. They are well above the target
	// of 360 services and 6,400 nodes with 690 restarts a day.
	maxServices = 2048
	maxNodes    = 32768
)

// ErrSnapshot reports a snapshot that cannot be decoded.
var ErrSnapshot = errors.New("slo: malformed snapshot")

// nodeIncarnation identifies a node between two restarts. start is the start time that
// the node reports.
type nodeIncarnation struct {
	id    string
	start uint64
}

// nodeTotals holds the applied totals of a node by service.
type nodeTotals struct {
	lastReport time.Time
	services   map[string]Totals
}

// Machine is the replicated state machine of the response counts. A node reports
// totals since its start, and the machine adds only the increase over the totals it
// already has, so that each response counts once, however often and through whichever
// members it is reported. It is safe for concurrent use.
type Machine struct {
	mu               sync.Mutex
	latestCheckpoint time.Time
	nodes            map[nodeIncarnation]*nodeTotals
	series           map[string]*series
}

// NewMachine returns a machine without counts.
func NewMachine() *Machine {
	return &Machine{nodes: map[nodeIncarnation]*nodeTotals{}, series: map[string]*series{}}
}

// Apply applies a wire.BurnCheckpoint. The result is empty, or the reason why the
// command was rejected without effect.
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
		m.addNodeCounts(at, node)
	}
	if at.After(m.latestCheckpoint) {
		m.latestCheckpoint = at
		m.removeIdleNodes()
	}
	return nil
}

func (m *Machine) addNodeCounts(at time.Time, report *wire.NodeCounts) {
	incarnation := nodeIncarnation{id: report.GetNodeId(), start: report.GetNodeStart()}
	node := m.nodes[incarnation]
	if node == nil {
		if len(m.nodes) >= maxNodes {
			return
		}
		node = &nodeTotals{services: map[string]Totals{}}
		m.nodes[incarnation] = node
	}
	if at.After(node.lastReport) {
		node.lastReport = at
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
	previous := node.services[count.GetService()]
	merged := Totals{Good: max(previous.Good, count.GetGood()), Bad: max(previous.Bad, count.GetBad())}
	node.services[count.GetService()] = merged
	s.add(at, Totals{Good: merged.Good - previous.Good, Bad: merged.Bad - previous.Bad})
}

func (m *Machine) removeIdleNodes() {
	for incarnation, node := range m.nodes {
		if m.latestCheckpoint.Sub(node.lastReport) > nodeRetention {
			delete(m.nodes, incarnation)
		}
	}
}

// Snapshot returns the whole state as a wire.BurnSnapshot.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := &wire.BurnSnapshot{UnixMs: m.latestCheckpoint.UnixMilli(), Nodes: encodeNodes(m.nodes)}
	for service, s := range m.series {
		snapshot.Series = append(snapshot.Series, &wire.BurnSeries{
			Service: service, Minutes: s.minutes.encode(), Hours: s.hours.encode(),
		})
	}
	sort.Slice(snapshot.Series, func(i, j int) bool {
		return snapshot.Series[i].GetService() < snapshot.Series[j].GetService()
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return data, errors.Wrap(err, "slo: encode snapshot")
}

func encodeNodes(nodes map[nodeIncarnation]*nodeTotals) []*wire.NodeCounts {
	encoded := make([]*wire.NodeCounts, 0, len(nodes))
	for incarnation, node := range nodes {
		encoded = append(encoded, &wire.NodeCounts{
			NodeId: incarnation.id, NodeStart: incarnation.start, ReportedMs: node.lastReport.UnixMilli(), Counts: encodeCounts(node.services),
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
	for service, totals := range services {
		counts = append(counts, &wire.BurnCount{Service: service, Good: totals.Good, Bad: totals.Bad})
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
		return errors.WithMessage(ErrSnapshot, "number of services or nodes exceeds the limit")
	}
	restored := NewMachine()
	restored.latestCheckpoint = time.UnixMilli(snapshot.GetUnixMs())
	for _, node := range snapshot.GetNodes() {
		totals := &nodeTotals{lastReport: time.UnixMilli(node.GetReportedMs()), services: map[string]Totals{}}
		for _, count := range node.GetCounts() {
			totals.services[count.GetService()] = Totals{Good: count.GetGood(), Bad: count.GetBad()}
		}
		restored.nodes[nodeIncarnation{id: node.GetNodeId(), start: node.GetNodeStart()}] = totals
	}
	for _, encoded := range snapshot.GetSeries() {
		s := newSeries()
		s.minutes.decode(encoded.GetMinutes())
		s.hours.decode(encoded.GetHours())
		restored.series[encoded.GetService()] = s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestCheckpoint, m.nodes, m.series = restored.latestCheckpoint, restored.nodes, restored.series
	return nil
}

// Window returns the counts of a service over a window that ends at now. The
// resolution is one minute for windows of up to 6 h and one hour for longer ones.
func (m *Machine) Window(service string, now time.Time, window time.Duration) Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.series[service]; s != nil {
		return s.sum(now, window)
	}
	return Totals{}
}
