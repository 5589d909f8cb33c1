package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	defaultCrossZoneRTT = 3 * time.Millisecond
	defaultServiceTime  = 5 * time.Millisecond
	// defaultSamples is two because three make entries with the same late reports
	// choose alike: with reports 50 and 500 ms late 3.6 % were refused, not 0.2 %.
	defaultSamples = 2
	// defaultEjectShare allows one of three instances.
	defaultEjectShare = 0.34
	// coldShare is the part of a cold instance's capacity that entries use. The rest
	// absorbs arrivals that coincide, since a limit of 1 has no room for two.
	coldShare = 0.6
	// coldPressure is the recent refusals at which a cold instance is left alone.
	coldPressure = 0.5
)

// Config holds the parameters of a Policy. Zero values take the defaults.
type Config struct {
	// Zone is the availability zone of this entry.
	Zone string
	// CrossZoneRTT is assumed for candidates of other zones without a measured RTT.
	CrossZoneRTT time.Duration
	// Samples is the number of random candidates that are compared.
	Samples int
	// EjectShare is the largest share of a service's instances ejected at a time.
	// Of two or more instances one may always be ejected.
	EjectShare float64
}

func (c Config) withDefaults() Config {
	if c.CrossZoneRTT == 0 {
		c.CrossZoneRTT = defaultCrossZoneRTT
	}
	if c.Samples == 0 {
		c.Samples = defaultSamples
	}
	if c.EjectShare == 0 {
		c.EjectShare = defaultEjectShare
	}
	return c
}

// Policy is the Picker of the product.
type Policy struct {
	config   Config
	random   *rand.Rand
	tracks   map[string]*track
	services map[string]*serviceState

	// Scratch space of Pick.
	eligible pool // candidates to compare
	cold     pool // cold candidates
	capacity int  // sum of the limits of both
}

var _ Picker = (*Policy)(nil)

// New returns a policy that draws from random.
func New(config Config, random *rand.Rand) *Policy {
	return &Policy{
		config:   config.withDefaults(),
		random:   random,
		tracks:   map[string]*track{},
		services: map[string]*serviceState{},
	}
}

// Forget drops what is known of an instance that left the registry.
func (p *Policy) Forget(instance string) {
	t, known := p.tracks[instance]
	if !known {
		return
	}
	t.service.forget(t)
	delete(p.tracks, instance)
}

// Ejected reports whether the instance is ejected by this entry now.
func (p *Policy) Ejected(now time.Time, instance string) bool {
	t, known := p.tracks[instance]
	return known && now.Before(t.until)
}

// HeardSince reports whether the upstream answered this entry after since, refusals
// by its node not counted. An attempt that waits while the upstream answers others is
// itself slow, and a hedge would be as slow; without any answer the upstream may be
// paused.
func (p *Policy) HeardSince(instance string, since time.Time) bool {
	t, known := p.tracks[instance]
	return known && t.heardAt.After(since)
}

// Pick implements Picker. It allocates only for instances seen for the first time.
func (p *Policy) Pick(now time.Time, service string, candidates []Candidate, tried map[string]bool) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	state := p.service(service)
	state.size = len(candidates)
	p.collect(candidates, tried)
	chosen := p.chooseCold(now, state, candidates)
	if chosen < 0 {
		chosen = p.choose(now, state, candidates)
	}
	if chosen < 0 {
		return Candidate{}, false
	}
	p.tracks[candidates[chosen].ID].sent(&candidates[chosen])
	return candidates[chosen], true
}

// Observe implements Picker.
func (p *Policy) Observe(now time.Time, instance string, outcome Outcome) {
	t, known := p.tracks[instance]
	if !known {
		return
	}
	t.observe(now, outcome)
	if t.failing(now) {
		t.service.eject(now, t, p.config.EjectShare)
	}
}

// collect fills the scratch space.
func (p *Policy) collect(candidates []Candidate, tried map[string]bool) {
	p.eligible.reset()
	p.cold.reset()
	p.capacity = 0
	for i := range candidates {
		c := &candidates[i]
		if c.State == StateLeaving || c.State == StateZoneOut {
			continue
		}
		if len(tried) > 0 && tried[c.ID] {
			continue
		}
		p.capacity += c.limit()
		if c.State == StateCold {
			p.cold.add(i, c.Zone == p.config.Zone)
		} else {
			p.eligible.add(i, c.Zone == p.config.Zone)
		}
	}
}

// chooseCold gives cold candidates their share of the requests, whatever the score:
// without work they would never warm, and by score all entries would prefer an idle
// one. It returns -1 when this request goes elsewhere.
func (p *Policy) chooseCold(now time.Time, state *serviceState, candidates []Candidate) int {
	count := len(p.cold.indexes)
	if count == 0 {
		return -1
	}
	i := p.cold.indexes[p.random.IntN(count)]
	c := &candidates[i]
	t := p.track(state, c.ID)
	speed := math.Min(1, state.usualTime()/t.serviceTime(c))
	share := coldShare * speed * speed * float64(c.limit()*count) / float64(p.capacity)
	if p.random.Float64() >= share || c.InFlight >= c.limit() {
		return -1
	}
	if t.closed(now, c) || t.pressureAt(now) > coldPressure || !t.accepts(now, p.random) {
		return -1
	}
	return i
}

// choose returns the best candidate or -1. Cold candidates are compared only when no
// other is open, and ejected ones are used only when all open ones are ejected.
func (p *Policy) choose(now time.Time, state *serviceState, candidates []Candidate) int {
	best, lastResort := p.compare(now, state, candidates, &p.eligible)
	if best >= 0 {
		return best
	}
	best, coldResort := p.compare(now, state, candidates, &p.cold)
	if best >= 0 {
		return best
	}
	return max(lastResort, coldResort)
}

// compare draws candidates without replacement, the first one from the entry's zone,
// and returns the best of the first Samples that are neither closed nor ejected, or
// -1. The second result is an ejected candidate that was drawn, or -1.
func (p *Policy) compare(now time.Time, state *serviceState, candidates []Candidate, from *pool) (int, int) {
	best, bestScore, ejected, compared := -1, 0.0, -1, 0
	for len(from.indexes) > 0 && compared < p.config.Samples {
		i := from.draw(p.random, compared == 0)
		c := &candidates[i]
		t := p.track(state, c.ID)
		if t.closed(now, c) {
			continue
		}
		if c.State == StateEjected || !t.accepts(now, p.random) {
			ejected = i
			continue
		}
		compared++
		score := p.score(now, c, t)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, ejected
}

func (p *Policy) service(name string) *serviceState {
	state, known := p.services[name]
	if !known {
		state = &serviceState{}
		p.services[name] = state
	}
	return state
}

func (p *Policy) track(state *serviceState, id string) *track {
	t, known := p.tracks[id]
	if !known {
		t = &track{service: state}
		p.tracks[id] = t
	}
	return t
}
