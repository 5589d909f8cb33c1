package balance_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chicorylever/chicorylever/internal/coordination/balance"
)

// scenario is the configuration of one simulation run.
type scenario struct {
	name           string
	entryZones     []string // zones over which the entry nodes are distributed
	instanceZones  []string // zone of each instance
	slots          int      // concurrency limit of each instance
	entryCount     int
	crossZoneDelay time.Duration // one way
	load           float64       // request rate as a share of the capacity
	duration       time.Duration
	reportDelay    time.Duration // by which load reports arrive after their responses
	injectFaults   func(s *simulation)
	hedged         bool
}

// moretonScenario has the topology of the Moreton deployment.
func moretonScenario() scenario {
	return scenario{
		name: "Moreton drafts", entryZones: []string{"a", "b", "c"}, instanceZones: []string{"a", "b", "c", "a"},
		slots: 10, entryCount: 12, crossZoneDelay: 1500 * time.Microsecond,
	}
}

// kingfisherScenario has the topology of the Kingfisher deployment.
func kingfisherScenario() scenario {
	return scenario{
		name: "Kingfisher fleet", entryZones: []string{"a", "b", "c"}, instanceZones: []string{"a", "b", "c", "a", "b"},
		slots: 6, entryCount: 12, crossZoneDelay: time.Millisecond,
	}
}

func noFaults(*simulation) {}

// noisyNeighbours pauses each instance for 5 to 50 ms, every 500 ms on average.
func noisyNeighbours(s *simulation) {
	for _, u := range s.upstreams {
		for at := s.random.ExpFloat64() / 2; at < s.scenario.duration.Seconds(); at += s.random.ExpFloat64() / 2 {
			pause := seconds(0.005 + 0.045*s.random.Float64())
			s.schedule(seconds(at), func() {
				u.totalPause += pause
				u.pausedUntil = max(u.pausedUntil, s.now) + pause
			})
		}
	}
}

// slowInstance makes instance 1 ten times slower for the middle third of the run.
func slowInstance(s *simulation) {
	s.schedule(s.scenario.duration/3, func() { s.upstreams[1].slowdown = 10 })
	s.schedule(s.scenario.duration*2/3, func() { s.upstreams[1].slowdown = 1 })
}

// failingInstance makes instance 1 respond with errors after 0.5 ms for the middle third of
// the run.
func failingInstance(s *simulation) {
	s.schedule(s.scenario.duration/3, func() { s.upstreams[1].failing = true })
	s.schedule(s.scenario.duration*2/3, func() { s.upstreams[1].failing = false })
}

// slowNetworkPath adds 20 ms in each direction between the entry nodes and instance 1 for
// the middle third of the run.
func slowNetworkPath(s *simulation) {
	s.schedule(s.scenario.duration/3, func() { s.upstreams[1].extraDelay = 20 * time.Millisecond })
	s.schedule(s.scenario.duration*2/3, func() { s.upstreams[1].extraDelay = 0 })
}

// zoneOutAndBack takes zone c out of service for the middle third of the run. Entry nodes
// learn each change within 500 ms, and the instances return cold.
func zoneOutAndBack(s *simulation) {
	for i, zone := range s.scenario.instanceZones {
		if zone == "c" {
			s.scheduleZoneChange(i, s.scenario.duration/3, true)
			s.scheduleZoneChange(i, s.scenario.duration*2/3, false)
		}
	}
}

// scheduleZoneChange takes the zone of an upstream out of service or back into it.
func (s *simulation) scheduleZoneChange(upstreamIndex int, at time.Duration, out bool) {
	state := balance.StateCold
	if out {
		state = balance.StateZoneOut
	}
	s.schedule(at, func() {
		u := s.upstreams[upstreamIndex]
		u.requestsSinceStart, u.served = 0, 0
		s.handleAdmissionEvents(upstreamIndex, u.machine.SetZoneOut(s.clock(), out))
	})
	for _, e := range s.entries {
		delay := time.Duration(s.random.Int64N(int64(500 * time.Millisecond)))
		s.schedule(at+delay, func() { e.candidates[upstreamIndex].State = state })
	}
}

// variant is a load, a delay of load reports and a fault under which the pickers are
// compared.
type variant struct {
	name         string
	load         float64
	reportDelay  time.Duration
	injectFaults func(*simulation)
}

func variants() []variant {
	ms := time.Millisecond
	return []variant{
		{"steady 50 %", 0.50, 0, noFaults},
		{"steady 80 %", 0.80, 0, noFaults},
		{"steady 95 %", 0.95, 0, noFaults},
		{"reports 5 ms late, 80 %", 0.80, 5 * ms, noFaults},
		{"reports 50 ms late, 80 %", 0.80, 50 * ms, noFaults},
		{"reports 500 ms late, 80 %", 0.80, 500 * ms, noFaults},
		{"noisy neighbours 50 %", 0.50, 0, noisyNeighbours},
		{"noisy neighbours 80 %", 0.80, 0, noisyNeighbours},
		{"noisy neighbours 95 %", 0.95, 0, noisyNeighbours},
		{"one instance ten times slower 50 %", 0.50, 0, slowInstance},
		{"one instance failing fast 50 %", 0.50, 0, failingInstance},
		{"slow path to one instance 50 %", 0.50, 0, slowNetworkPath},
		{"zone out and back 50 %", 0.50, 0, zoneOutAndBack},
		{"zone out and back 80 %", 0.80, 0, zoneOutAndBack},
	}
}

// comparedPicker is a picker of the comparison, with or without hedging.
type comparedPicker struct {
	name      string
	hedged    bool
	newPicker func(zone string, r *rand.Rand) balance.Picker
}

func comparedPickers() []comparedPicker {
	return []comparedPicker{
		{"random", false, func(_ string, r *rand.Rand) balance.Picker { return &baselinePicker{choose: pickRandom, random: r} }},
		{"round robin", false, func(_ string, r *rand.Rand) balance.Picker { return &baselinePicker{choose: pickRoundRobin, random: r} }},
		{"least in-flight", false, func(_ string, r *rand.Rand) balance.Picker {
			return &baselinePicker{choose: pickLeastInFlight, random: r}
		}},
		{"two choices", false, func(_ string, r *rand.Rand) balance.Picker { return &baselinePicker{choose: pickTwoChoices, random: r} }},
		{"this policy", false, newPolicy},
		{"this policy, hedged", true, newPolicy},
	}
}

func newPolicy(zone string, r *rand.Rand) balance.Picker {
	return balance.New(balance.Config{Zone: zone}, r)
}

// BenchmarkComparison prints the table of docs/policy.md. The environment variable COMPARE
// selects the rows whose label contains it.
func BenchmarkComparison(b *testing.B) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, 4)
	var lines []*string
	for _, base := range []func() scenario{moretonScenario, kingfisherScenario} {
		for _, v := range variants() {
			for _, p := range comparedPickers() {
				sc := base()
				sc.load, sc.reportDelay, sc.injectFaults, sc.duration = v.load, v.reportDelay, v.injectFaults, 15*time.Second
				label := sc.name + " | " + v.name + " | " + p.name
				if !strings.Contains(label, os.Getenv("COMPARE")) {
					continue
				}
				line := new(string)
				lines = append(lines, line)
				wg.Go(func() {
					sem <- struct{}{}
					defer func() { <-sem }()
					*line = label + " | " + resultRow(sc, p)
				})
			}
		}
	}
	wg.Wait()
	for _, line := range lines {
		fmt.Println("| " + *line + " |")
	}
}

// resultRow runs a scenario and returns the latency quantiles in milliseconds, the refused
// and failed requests in percent, and the attempts per request.
func resultRow(sc scenario, p comparedPicker) string {
	sc.hedged = p.hedged
	s := newSimulation(sc, p.newPicker, 1)
	s.run(s.generateRequests())
	total := float64(len(s.latencies) + s.refused + s.failed)
	return fmt.Sprintf("%.1f | %.1f | %.1f | %.2f | %.2f | %.2f", s.latencyQuantileMs(0.5), s.latencyQuantileMs(0.99), s.latencyQuantileMs(0.999),
		100*float64(s.refused)/total, 100*float64(s.failed)/total, float64(s.attempts)/total)
}
