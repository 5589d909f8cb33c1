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
	// defaultSampleSize is 2. With a sample of 3, entry nodes that have the same outdated load
	// reports tend to choose the same instances: with reports that are 50 and 500 ms late,
	// 3.6 % of the requests were refused instead of 0.2 %.
	defaultSampleSize = 2
	// defaultMaxEjectedShare allows the ejection of one of three instances.
	defaultMaxEjectedShare = 0.34
	// maxColdUtilization is the share of a cold instance's capacity that entry nodes use. The
	// rest absorbs simultaneous arrivals, since a limit of 1 has no room for two.
	maxColdUtilization = 0.6
	// maxColdRefusals is the decayed count of refusals above which a cold instance gets no
	// requests.
	maxColdRefusals = 0.5
)

// Config holds the parameters of a Policy. Zero values take the defaults.
type Config struct {
	// Zone is the availability zone of this entry node.
	Zone string
	// CrossZoneRTT is the round trip time assumed for candidates of other zones without a
	// measured one.
	CrossZoneRTT time.Duration
	// SampleSize is the number of random candidates whose scores are compared.
	SampleSize int
	// MaxEjectedShare is the largest share of a service's instances that may be ejected at
	// the same time. Of two or more instances one may always be ejected.
	MaxEjectedShare float64
}

func (c Config) withDefaults() Config {
	if c.CrossZoneRTT == 0 {
		c.CrossZoneRTT = defaultCrossZoneRTT
	}
	if c.SampleSize == 0 {
		c.SampleSize = defaultSampleSize
	}
	if c.MaxEjectedShare == 0 {
		c.MaxEjectedShare = defaultMaxEjectedShare
	}
	return c
}

// Policy is the Picker that entry nodes use. It compares the estimated cost of a few
// random candidates and ejects instances that fail.
type Policy struct {
	config    Config
	random    *rand.Rand
	instances map[string]*instanceState
	services  map[string]*serviceState

	// Set by groupCandidates and reused by each call of Pick and SampleForQuotes.
	warm       candidatePool // candidates that are not cold, ejected ones included
	cold       candidatePool
	totalLimit int // sum of the concurrency limits of both pools
}

var _ Picker = (*Policy)(nil)

// New returns a policy that draws from random.
func New(config Config, random *rand.Rand) *Policy {
	return &Policy{
		config:    config.withDefaults(),
		random:    random,
		instances: map[string]*instanceState{},
		services:  map[string]*serviceState{},
	}
}

// RemoveInstance deletes the state of an instance that was removed from the registry.
func (p *Policy) RemoveInstance(instanceID string) {
	inst, known := p.instances[instanceID]
	if !known {
		return
	}
	inst.service.removeInstance(inst)
	delete(p.instances, instanceID)
}

// Ejected reports whether this entry node has ejected the instance at the moment.
func (p *Policy) Ejected(now time.Time, instanceID string) bool {
	inst, known := p.instances[instanceID]
	return known && now.Before(inst.ejectedUntil)
}

// HasRespondedSince reports whether this entry node received a response of the upstream
// after since, not counting refusals by the upstream's node. If an attempt waits while the
// upstream responds to others, the request itself is slow, and a hedge would be as slow.
// Without any response the upstream may be paused.
func (p *Policy) HasRespondedSince(instanceID string, since time.Time) bool {
	inst, known := p.instances[instanceID]
	return known && inst.lastResponseAt.After(since)
}

// Pick implements Picker. It allocates memory only for new services and instances.
func (p *Policy) Pick(now time.Time, service string, candidates []Candidate, tried map[string]bool) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	svc := p.serviceFor(service)
	svc.instanceCount = len(candidates)
	p.groupCandidates(candidates, tried)
	chosen := p.pickCold(now, svc, candidates)
	if chosen < 0 {
		chosen = p.pickByScore(now, svc, candidates)
	}
	if chosen < 0 {
		return Candidate{}, false
	}
	p.instances[candidates[chosen].ID].recordSent(&candidates[chosen])
	return candidates[chosen], true
}

// Observe implements Picker.
func (p *Policy) Observe(now time.Time, instanceID string, outcome Outcome) {
	inst, known := p.instances[instanceID]
	if !known {
		return
	}
	inst.recordOutcome(now, outcome)
	if inst.shouldEject(now) {
		inst.service.eject(now, inst, p.config.MaxEjectedShare)
	}
}

// groupCandidates sets the pools and the total limit from the candidates that may be
// chosen.
func (p *Policy) groupCandidates(candidates []Candidate, tried map[string]bool) {
	p.warm.reset()
	p.cold.reset()
	p.totalLimit = 0
	for i := range candidates {
		c := &candidates[i]
		if c.State == StateLeaving || c.State == StateZoneOut || c.State == StateVersionOut {
			continue
		}
		if len(tried) > 0 && tried[c.ID] {
			continue
		}
		p.totalLimit += c.limit()
		if c.State == StateCold {
			p.cold.add(i, c.Zone == p.config.Zone)
		} else {
			p.warm.add(i, c.Zone == p.config.Zone)
		}
	}
}

// pickCold gives cold candidates a share of the requests that depends on their capacity
// and speed, not on their score: without requests they would never become warm, and by
// score all entry nodes would prefer an idle one. It returns -1 when this request is not
// for a cold candidate.
func (p *Policy) pickCold(now time.Time, svc *serviceState, candidates []Candidate) int {
	count := len(p.cold.indexes)
	if count == 0 {
		return -1
	}
	i := p.cold.indexes[p.random.IntN(count)]
	c := &candidates[i]
	inst := p.instanceFor(svc, c.ID)
	speed := math.Min(1, svc.serviceSeconds()/inst.expectedServiceSeconds(c))
	share := maxColdUtilization * speed * speed * float64(c.limit()*count) / float64(p.totalLimit)
	if p.random.Float64() >= share || c.InFlight >= c.limit() {
		return -1
	}
	if inst.isExcluded(now, c) || inst.recentRefusals(now) > maxColdRefusals || !inst.admitsTraffic(now, p.random) {
		return -1
	}
	return i
}

// pickByScore returns the candidate with the lowest score of a sample, or -1. Cold
// candidates are compared only when no other one is available, and an ejected one is used
// only when all that are not excluded are ejected.
func (p *Policy) pickByScore(now time.Time, svc *serviceState, candidates []Candidate) int {
	best, ejectedWarm := p.bestOfSample(now, svc, candidates, &p.warm)
	if best >= 0 {
		return best
	}
	best, ejectedCold := p.bestOfSample(now, svc, candidates, &p.cold)
	if best >= 0 {
		return best
	}
	return max(ejectedWarm, ejectedCold)
}

// bestOfSample draws candidates without replacement, the first one from the entry node's
// zone if possible. It returns the best of the first SampleSize that are neither excluded
// nor ejected, or -1. The second result is an ejected candidate that was drawn, or -1.
func (p *Policy) bestOfSample(now time.Time, svc *serviceState, candidates []Candidate, pool *candidatePool) (int, int) {
	best, bestScore, ejected, compared := -1, 0.0, -1, 0
	for len(pool.indexes) > 0 && compared < p.config.SampleSize {
		i := pool.draw(p.random, compared == 0)
		c := &candidates[i]
		inst := p.instanceFor(svc, c.ID)
		if inst.isExcluded(now, c) {
			continue
		}
		if c.State == StateEjected || !inst.admitsTraffic(now, p.random) {
			ejected = i
			continue
		}
		compared++
		score := p.score(now, c, inst)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, ejected
}

func (p *Policy) serviceFor(name string) *serviceState {
	svc, known := p.services[name]
	if !known {
		svc = &serviceState{}
		p.services[name] = svc
	}
	return svc
}

func (p *Policy) instanceFor(svc *serviceState, id string) *instanceState {
	inst, known := p.instances[id]
	if !known {
		inst = &instanceState{service: svc}
		p.instances[id] = inst
	}
	return inst
}
