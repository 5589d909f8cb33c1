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

// scenario is one run of the comparison.
type scenario struct {
	name      string
	zoneNames []string
	zones     []string // of each instance
	slots     int
	entries   int
	crossZone time.Duration // one way
	load      float64
	length    time.Duration
	stale     time.Duration
	faults    func(s *sim)
	hedge     bool
}

func moreton() scenario {
	return scenario{
		name: "Moreton drafts", zoneNames: []string{"a", "b", "c"}, zones: []string{"a", "b", "c", "a"},
		slots: 10, entries: 12, crossZone: 1500 * time.Microsecond,
	}
}

func kingfisher() scenario {
	return scenario{
		name: "Kingfisher fleet", zoneNames: []string{"a", "b", "c"}, zones: []string{"a", "b", "c", "a", "b"},
		slots: 6, entries: 12, crossZone: time.Millisecond,
	}
}

func noFaults(*sim) {}

// neighbours pauses each instance for 5 to 50 ms every 500 ms on average.
func neighbours(s *sim) {
	for _, u := range s.upstreams {
		for at := s.random.ExpFloat64() / 2; at < s.sc.length.Seconds(); at += s.random.ExpFloat64() / 2 {
			pause := seconds(0.005 + 0.045*s.random.Float64())
			s.after(seconds(at), func() {
				u.paused += pause
				u.pausedUntil = max(u.pausedUntil, s.now) + pause
			})
		}
	}
}

// slowOne makes instance 1 ten times slower for the middle third.
func slowOne(s *sim) {
	s.after(s.sc.length/3, func() { s.upstreams[1].slow = 10 })
	s.after(s.sc.length*2/3, func() { s.upstreams[1].slow = 1 })
}

// failOne makes instance 1 answer with errors after 0.5 ms for the middle third.
func failOne(s *sim) {
	s.after(s.sc.length/3, func() { s.upstreams[1].failing = true })
	s.after(s.sc.length*2/3, func() { s.upstreams[1].failing = false })
}

// slowPath adds 20 ms each way to and from instance 1 for the middle third.
func slowPath(s *sim) {
	s.after(s.sc.length/3, func() { s.upstreams[1].path = 20 * time.Millisecond })
	s.after(s.sc.length*2/3, func() { s.upstreams[1].path = 0 })
}

// zoneOut takes zone c out for the middle third; entries learn it within 500 ms, and
// its instances return cold.
func zoneOut(s *sim) {
	for i, zone := range s.sc.zones {
		if zone == "c" {
			s.setZone(i, s.sc.length/3, true)
			s.setZone(i, s.sc.length*2/3, false)
		}
	}
}

func (s *sim) setZone(i int, at time.Duration, out bool) {
	state := balance.StateCold
	if out {
		state = balance.StateZoneOut
	}
	s.after(at, func() {
		u := s.upstreams[i]
		u.warmth, u.hits = 0, 0
		s.deliver(i, u.machine.SetZoneOut(s.clock(), out))
	})
	for _, e := range s.entries {
		delay := time.Duration(s.random.Int64N(int64(500 * time.Millisecond)))
		s.after(at+delay, func() { e.candidates[i].State = state })
	}
}

type variant struct {
	name   string
	load   float64
	stale  time.Duration
	faults func(*sim)
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
		{"noisy neighbours 50 %", 0.50, 0, neighbours},
		{"noisy neighbours 80 %", 0.80, 0, neighbours},
		{"noisy neighbours 95 %", 0.95, 0, neighbours},
		{"one instance ten times slower 50 %", 0.50, 0, slowOne},
		{"one instance failing fast 50 %", 0.50, 0, failOne},
		{"slow path to one instance 50 %", 0.50, 0, slowPath},
		{"zone out and back 50 %", 0.50, 0, zoneOut},
		{"zone out and back 80 %", 0.80, 0, zoneOut},
	}
}

type makePicker struct {
	name  string
	hedge bool
	make  func(zone string, r *rand.Rand) balance.Picker
}

func policies() []makePicker {
	return []makePicker{
		{"random", false, func(_ string, r *rand.Rand) balance.Picker { return &rival{choose: pickRandom, random: r} }},
		{"round robin", false, func(_ string, r *rand.Rand) balance.Picker { return &rival{choose: pickNext, random: r} }},
		{"least in-flight", false, func(_ string, r *rand.Rand) balance.Picker { return &rival{choose: pickLeast, random: r} }},
		{"two choices", false, func(_ string, r *rand.Rand) balance.Picker { return &rival{choose: pickTwo, random: r} }},
		{"this policy", false, newPolicy},
		{"this policy, hedged", true, newPolicy},
	}
}

func newPolicy(zone string, r *rand.Rand) balance.Picker {
	return balance.New(balance.Config{Zone: zone}, r)
}

// BenchmarkComparison prints the table of docs/policy.md. COMPARE selects variants
// and policies by a part of their names.
func BenchmarkComparison(b *testing.B) {
	var wg sync.WaitGroup
	limit := make(chan struct{}, 4)
	var lines []*string
	for _, base := range []func() scenario{moreton, kingfisher} {
		for _, v := range variants() {
			for _, p := range policies() {
				sc := base()
				sc.load, sc.stale, sc.faults, sc.length = v.load, v.stale, v.faults, 15*time.Second
				label := sc.name + " | " + v.name + " | " + p.name
				if !strings.Contains(label, os.Getenv("COMPARE")) {
					continue
				}
				line := new(string)
				lines = append(lines, line)
				wg.Go(func() {
					limit <- struct{}{}
					defer func() { <-limit }()
					*line = label + " | " + row(sc, p)
				})
			}
		}
	}
	wg.Wait()
	for _, line := range lines {
		fmt.Println("| " + *line + " |")
	}
}

func row(sc scenario, p makePicker) string {
	sc.hedge = p.hedge
	s := newSim(sc, p.make, 1)
	s.run(s.generate())
	total := float64(len(s.latencies) + s.refused + s.failed)
	return fmt.Sprintf("%.1f | %.1f | %.1f | %.2f | %.2f | %.2f", s.quantile(0.5), s.quantile(0.99), s.quantile(0.999),
		100*float64(s.refused)/total, 100*float64(s.failed)/total, float64(s.attempts)/total)
}
