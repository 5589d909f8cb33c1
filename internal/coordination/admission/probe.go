package admission

import "time"

const (
	// freshLoadAge is the age up to which the load report of an upstream at its usual speed
	// with free slots is used without a probe. It may become slow at any time, and a quote of
	// it is often the best.
	freshLoadAge = 40 * time.Millisecond
	// busyLoadAge is that without a free slot: a quote is seldom the best, and responses to
	// the running requests tell the speed soon.
	busyLoadAge = 100 * time.Millisecond
	// slowLoadAge is that of a slow upstream. While requests wait for its speed it is probed
	// for them.
	slowLoadAge = 80 * time.Millisecond
)

// LoadFacts is what the node beside an upstream knows of its speed and load before it answers
// a quote request.
type LoadFacts struct {
	// Age is the age of the last response with a load report, of a request or a probe.
	Age time.Duration
	// Slowdown is the one in that report, 0 when unknown.
	Slowdown float64
	// Running is the number of requests that the node counts, Limit its limit.
	Running, Limit int
}

// NeedsProbe reports whether the upstream should be probed before a quote.
func NeedsProbe(facts LoadFacts) bool {
	switch {
	case facts.Slowdown > 1:
		return facts.Age >= slowLoadAge
	case facts.Slowdown > 0 && facts.Running >= facts.Limit:
		return facts.Age >= busyLoadAge
	default:
		return facts.Age >= freshLoadAge
	}
}
