package balance

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	defaultCrossZoneRTT = 3 * time.Millisecond
	defaultServiceTime  = 5 * time.Millisecond
	defaultSamples      = 2
	defaultEjectShare   = 0.34
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
	eligible []int
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

// Pick implements Picker.
func (p *Policy) Pick(now time.Time, service string, candidates []Candidate, tried map[string]bool) (Candidate, bool) {
	state := p.service(service)
	state.size = len(candidates)
	p.collect(candidates, tried)
	if len(p.eligible) == 0 {
		return Candidate{}, false
	}
	chosen := p.choose(now, state, candidates)
	p.tracks[candidates[chosen].ID].sent(now, candidates[chosen].InFlight)
	return candidates[chosen], true
}

// Observe implements Picker.
func (p *Policy) Observe(now time.Time, instance string, outcome Outcome) {
	t, known := p.tracks[instance]
	if !known {
		return
	}
	t.observe(now, outcome)
	if t.failing() {
		t.service.eject(now, t, p.config.EjectShare)
	}
}

func (p *Policy) collect(candidates []Candidate, tried map[string]bool) {
	p.eligible = p.eligible[:0]
	for i := range candidates {
		c := &candidates[i]
		if c.State == StateLeaving || c.State == StateZoneOut {
			continue
		}
		if len(tried) > 0 && tried[c.ID] {
			continue
		}
		p.eligible = append(p.eligible, i)
	}
}

// choose draws candidates without replacement and returns the best of the first
// Samples that are not ejected. When all are ejected, the last drawn is used.
func (p *Policy) choose(now time.Time, state *serviceState, candidates []Candidate) int {
	best, bestScore, compared, fallback := -1, 0.0, 0, -1
	for n := len(p.eligible); n > 0 && compared < p.config.Samples; n-- {
		k := p.random.IntN(n)
		i := p.eligible[k]
		p.eligible[k] = p.eligible[n-1]
		t := p.track(state, candidates[i].ID)
		if candidates[i].State == StateEjected || !t.accepts(now, p.random) {
			fallback = i
			continue
		}
		compared++
		score := p.score(now, &candidates[i], t)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return fallback
	}
	return best
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
