package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// step is the resolution of the model, hop the delay of one message.
const (
	step        = 5 * time.Millisecond
	hop         = 5 * time.Millisecond
	memberCount = 5
)

// tenantRates returns 88 rates that are skewed like those of a real site.
func tenantRates() []float64 {
	rates := []float64{244, 106, 66, 47, 36, 29, 24, 21, 18, 16, 14, 13, 12, 11, 10, 9, 8, 7, 6}
	for len(rates) < 88 {
		rates = append(rates, 5)
	}
	return rates
}

// admitter decides requests that arrive at entries.
type admitter interface {
	admit(now time.Time, entry, organisation int, limit Limit) bool
	// step runs whatever happens between requests.
	step(now time.Time)
}

// model is the system of nodes, members and owner with messages that take time.
type model struct {
	random  *rand.Rand
	bound   Bound
	limits  map[string]Limit
	names   []string
	meters  []*Meter
	phase   []int
	member  []int
	cut     []bool
	starts  uint64
	members []*Collector
	owner   *Allocator
	// ownerGone is set while no member is the owner, controlGone while no member answers.
	ownerGone, controlGone bool
	steps                  int
	// disturb, if not nil, loses or repeats messages.
	disturb  func(message) []message
	messages []message
}

type message struct {
	at      time.Time
	deliver func(now time.Time)
}

func newModel(random *rand.Rand, entries int, limits []Limit) *model {
	m := &model{random: random, bound: Bound{}.WithDefaults(), limits: map[string]Limit{}}
	for i, limit := range limits {
		m.names = append(m.names, fmt.Sprint("organisation-", i))
		m.limits[m.names[i]] = limit
	}
	for i := range memberCount {
		m.members = append(m.members, NewCollector(fmt.Sprint("member-", i), 1, nil))
	}
	m.newOwner(time.Unix(1000, 0))
	m.meters = make([]*Meter, entries)
	for i := range entries {
		m.phase = append(m.phase, random.IntN(int(ReportInterval/step)))
		m.member = append(m.member, i%memberCount)
		m.cut = append(m.cut, false)
		m.restart(time.Unix(1000, 0), i)
	}
	return m
}

func (m *model) newOwner(now time.Time) {
	m.owner = NewAllocator(m.bound)
	m.owner.SetLimits(now, m.limits)
	for _, member := range m.members {
		member.Connect()
	}
}

func (m *model) restart(now time.Time, entry int) {
	m.meters[entry] = NewMeter(fmt.Sprint("node-", entry), m.bound, m.random.Float64)
	m.meters[entry].SetNodes(len(m.meters))
	m.connect(now, entry)
}

func (m *model) connect(now time.Time, entry int) {
	m.starts++
	left := m.members[m.member[entry]]
	m.member[entry] = m.random.IntN(memberCount)
	if joined := m.members[m.member[entry]]; joined != left {
		m.send(now, func(time.Time) { left.Stopped(fmt.Sprint("node-", entry)) })
	}
	m.meters[entry].Connect(now, m.starts)
}

func (m *model) admit(now time.Time, entry, organisation int, limit Limit) bool {
	return m.meters[entry].Admit(now, m.names[organisation], limit.Rate, limit.Burst).Admitted
}

func (m *model) send(now time.Time, deliver func(now time.Time)) {
	sent := []message{{now.Add(hop), deliver}}
	if m.disturb != nil {
		sent = m.disturb(sent[0])
	}
	m.messages = append(m.messages, sent...)
}

func (m *model) step(now time.Time) {
	m.steps++
	due := m.messages
	m.messages = nil
	for _, message := range due {
		if message.at.After(now) {
			m.messages = append(m.messages, message)
			continue
		}
		message.deliver(now)
	}
	for entry := range m.meters {
		if (m.steps+m.phase[entry])%int(ReportInterval/step) == 0 && !m.cut[entry] && !m.controlGone {
			m.reportNode(now, entry)
		}
	}
	if m.steps%int(MemberInterval/step) == 0 && !m.ownerGone && !m.controlGone {
		for _, member := range m.members {
			m.reportMember(now, member)
		}
	}
}

func (m *model) reportNode(now time.Time, entry int) {
	meter, member := m.meters[entry], m.members[m.member[entry]]
	report := meter.Report(now)
	if report == nil {
		return
	}
	m.send(now, func(now time.Time) {
		member.Observe(now, report)
		grant := member.Grant(now, report.GetSender(), report.GetSequence())
		m.send(now, func(now time.Time) {
			if !m.cut[entry] {
				meter.Apply(now, grant)
			}
		})
	})
}

func (m *model) reportMember(now time.Time, member *Collector) {
	report := member.Report(now)
	owner := m.owner
	if report == nil {
		return
	}
	m.send(now, func(now time.Time) {
		owner.Observe(now, report)
		grant := owner.Grant(now, report.GetSequence())
		m.send(now, func(now time.Time) { member.Apply(now, grant) })
	})
}

// fixedShares gives each entry an equal part of each quota.
type fixedShares struct {
	entries int
	buckets map[[2]int]*counter
}

func (f *fixedShares) admit(now time.Time, entry, organisation int, limit Limit) bool {
	n := float64(f.entries)
	b := f.buckets[[2]int{entry, organisation}]
	if b == nil {
		b = &counter{level: max(1, limit.Burst/n), at: now}
		f.buckets[[2]int{entry, organisation}] = b
	}
	return b.take(now, Limit{limit.Rate / n, max(1, limit.Burst/n)})
}

func (f *fixedShares) step(time.Time) {}

// perfect is a counter without delay.
type perfect struct{ buckets map[int]*counter }

func (p *perfect) admit(now time.Time, _, organisation int, limit Limit) bool {
	b := p.buckets[organisation]
	if b == nil {
		b = &counter{level: limit.Burst, at: now}
		p.buckets[organisation] = b
	}
	return b.take(now, limit)
}

func (p *perfect) step(time.Time) {}

// counter is a token bucket.
type counter struct {
	level float64
	at    time.Time
}

func (c *counter) take(now time.Time, limit Limit) bool {
	c.level = min(limit.Burst, c.level+limit.Rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}

// load is the demand on the system and what goes wrong meanwhile.
type load struct {
	name string
	// factor multiplies the usual demand of an organisation at the time since the start.
	factor func(organisation int, at time.Duration) float64
	// limit returns the limit in force; nil for the initial one.
	limit func(organisation int, at time.Duration, initial Limit) Limit
	// event changes the model at each step; nil for none.
	event func(m *model, now time.Time, at time.Duration)
	// since is the time from which on the bound is checked.
	since time.Duration
}

const (
	usualDemand = 1 / 1.6
	runTime     = 30 * time.Second
	surgeStart  = 12 * time.Second
	surgeEnd    = 18 * time.Second
)

// result sums up one run.
type result struct {
	offered, admitted int
	// refusedBelow counts refusals of organisations that offered at most rate x window +
	// burst in the window before.
	refusedBelow int
	// worst is the largest number of requests admitted in a window, relative to the bound.
	worst             float64
	worstOrganisation int
}

// run offers a load to an admitter. Requests of an organisation arrive at random entries.
func run(a admitter, l load, entries int, limits []Limit, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 2))
	bound := Bound{}.WithDefaults()
	perWindow := int(bound.Window / step)
	steps := int(runTime / step)
	offered, admitted := make([][]int, len(limits)), make([][]int, len(limits))
	for o := range limits {
		offered[o], admitted[o] = make([]int, steps), make([]int, steps)
	}
	offeredInWindow, admittedInWindow := make([]int, len(limits)), make([]int, len(limits))
	r := result{}
	for s := range steps {
		at := time.Duration(s) * step
		now := time.Unix(1000, 0).Add(at)
		if m, ok := a.(*model); ok && l.event != nil {
			l.event(m, now, at)
		}
		for o, limit := range limits {
			if l.limit != nil {
				limit = l.limit(o, at, limit)
			}
			count := poisson(random, limits[o].Rate*usualDemand*l.factor(o, at)*step.Seconds())
			offered[o][s] = count
			offeredInWindow[o] += count
			for range count {
				if a.admit(now, random.IntN(entries), o, limit) {
					admitted[o][s]++
				}
			}
			admittedInWindow[o] += admitted[o][s]
			if s >= perWindow {
				offeredInWindow[o] -= offered[o][s-perWindow]
				admittedInWindow[o] -= admitted[o][s-perWindow]
			}
			r.offered += count
			r.admitted += admitted[o][s]
			if float64(offeredInWindow[o]) <= limit.Rate*bound.Window.Seconds()+limit.Burst {
				r.refusedBelow += count - admitted[o][s]
			}
			if used := float64(admittedInWindow[o]) / bound.Requests(limit); used > r.worst && at >= l.since {
				r.worst, r.worstOrganisation = used, o
			}
		}
		a.step(now)
	}
	return r
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}
