package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateLoss is the time from the start of a surge to a late loss of control.
const lateLoss = 350 * time.Millisecond

func surge(organisation int, factor float64) func(int, time.Duration) float64 {
	return func(o int, at time.Duration) float64 {
		if o == organisation && at >= surgeStart && at < surgeEnd {
			return factor
		}
		return 1
	}
}

func calm(int, time.Duration) float64 { return 1 }

// lowered is the limit of the largest organisation at a fifth from surgeStart on.
func lowered(o int, at time.Duration, initial Limit) Limit {
	if o == 0 && at >= surgeStart {
		return Limit{initial.Rate / 5, initial.Burst / 5}
	}
	return initial
}

func lowerAtOwner(m *model, now time.Time, at time.Duration) {
	if at != surgeStart {
		return
	}
	limits := map[string]Limit{}
	for name, limit := range m.limits {
		limits[name] = limit
	}
	limits[m.names[0]] = Limit{m.limits[m.names[0]].Rate / 5, m.limits[m.names[0]].Burst / 5}
	m.limits = limits
	m.owner.SetLimits(now, limits)
}

// restartEach restarts one node every 200 ms.
func restartEach(m *model, now time.Time, at time.Duration) {
	if at >= 10*time.Second && at%(200*time.Millisecond) == 0 {
		m.restart(now, int(at/(200*time.Millisecond))%len(m.meters))
	}
}

// cutNodes cuts a tenth of the nodes off for 10 s.
func cutNodes(m *model, now time.Time, at time.Duration) {
	for entry := range len(m.meters) / 10 {
		if at == 10*time.Second {
			m.cut[entry] = true
		}
		if at == 20*time.Second {
			m.cut[entry] = false
			m.connect(now, entry)
		}
	}
}

// loseOwner leaves the quotas without an owner for 1.5 s.
func loseOwner(m *model, now time.Time, at time.Duration) {
	if at == surgeStart {
		m.ownerGone = true
	}
	if at == surgeStart+1500*time.Millisecond {
		m.ownerGone = false
		m.newOwner(now)
	}
}

// loseOwnerLate does so when the first shares are in force.
func loseOwnerLate(m *model, now time.Time, at time.Duration) { loseOwner(m, now, at-lateLoss) }

func loseControlLate(m *model, now time.Time, at time.Duration) { loseControl(m, now, at-lateLoss) }

// loseControl ends all contact with control until the end.
func loseControl(m *model, _ time.Time, at time.Duration) { m.controlGone = at >= surgeStart }

func loads() []load {
	return []load{
		{name: "calm", factor: calm},
		{name: "large organisation 4 times", factor: surge(0, 4)},
		{name: "large organisation 7.5 times", factor: surge(0, 7.5)},
		{name: "middle organisation 4 times", factor: surge(7, 4)},
		{name: "middle organisation 7.5 times", factor: surge(7, 7.5)},
		{name: "small organisation 4 times", factor: surge(87, 4)},
		{name: "small organisation 7.5 times", factor: surge(87, 7.5)},
		{name: "large limit lowered to a fifth", factor: calm, limit: lowered, event: lowerAtOwner, since: surgeStart + 5*time.Second},
		{name: "a node restarted every 200 ms", factor: calm, event: restartEach},
		{name: "restarts, large 7.5 times", factor: surge(0, 7.5), event: restartEach},
		{name: "tenth of the nodes cut", factor: calm, event: cutNodes},
		{name: "tenth cut, large 7.5 times", factor: surge(0, 7.5), event: cutNodes},
		{name: "owner lost for 1.5 s", factor: calm, event: loseOwner},
		{name: "owner lost, large 7.5 times", factor: surge(0, 7.5), event: loseOwner},
		{name: "owner lost, middle 7.5 times", factor: surge(7, 7.5), event: loseOwner},
		{name: "owner lost, small 7.5 times", factor: surge(87, 7.5), event: loseOwner},
		{name: "owner lost late, large 7.5 times", factor: surge(0, 7.5), event: loseOwnerLate},
		{name: "owner lost late, middle 7.5 times", factor: surge(7, 7.5), event: loseOwnerLate},
		{name: "control lost late, large 7.5 times", factor: surge(0, 7.5), event: loseControlLate},
		{name: "control lost late, middle 7.5 times", factor: surge(7, 7.5), event: loseControlLate},
		{name: "control lost", factor: calm, event: loseControl},
		{name: "control lost, large 7.5 times", factor: surge(0, 7.5), event: loseControl},
		{name: "control lost, middle 7.5 times", factor: surge(7, 7.5), event: loseControl},
		{name: "control lost, small 7.5 times", factor: surge(87, 7.5), event: loseControl},
	}
}

// TestLoads guards against more requests than the bound in any window, under the loads and
// failures of docs/requirements.md, 2.3. With -v it prints the table of docs/policy.md.
func TestLoads(t *testing.T) {
	var limits []Limit
	for _, rate := range tenantRates() {
		limits = append(limits, Limit{rate, rate})
	}
	for _, entries := range []int{22, 39, 91} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			for i, l := range loads() {
				checkLoad(t, l, entries, limits, uint64(i+1))
			}
		})
	}
}

func checkLoad(t *testing.T, l load, entries int, limits []Limit, seed uint64) {
	system := run(newModel(rand.New(rand.NewPCG(seed, 1)), entries, limits), l, entries, limits, seed)
	assert.Check(t, system.worst <= 1, "%d entries, %s: organisation %d", entries, l.name, system.worstOrganisation)
	if !testing.Verbose() {
		return
	}
	fixed := run(&fixedShares{entries, map[[2]int]*counter{}}, l, entries, limits, seed)
	ideal := run(&perfect{map[int]*counter{}}, l, entries, limits, seed)
	t.Logf("| %d | %s | %d / %d / %d | %.2f / %.2f / %.2f | %+.1f %% / %+.1f %% |", entries, l.name,
		system.refusedBelow, fixed.refusedBelow, ideal.refusedBelow,
		system.worst, fixed.worst, ideal.worst,
		more(system, ideal), more(fixed, ideal))
}

// more returns how many more requests were admitted than with a perfect counter, in percent.
func more(r, ideal result) float64 {
	return 100 * (float64(r.admitted)/float64(ideal.admitted) - 1)
}
