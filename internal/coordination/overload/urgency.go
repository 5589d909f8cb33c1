package overload

// Urgency orders requests that wait for the same upstream.
type Urgency uint8

const (
	// InTime is the urgency of a request that can still meet its latency objective.
	InTime Urgency = iota
	// Nested is the urgency of a request made by a running request. Refusing it wastes the
	// work done for the running one.
	Nested
	// Late is the urgency of a request whose objective has passed or whose caller retries
	// after a refusal. It gets the capacity that other requests do not need.
	Late
)

// Precedes reports whether requests of urgency u are admitted before requests of urgency
// other that have the same priority.
func (u Urgency) Precedes(other Urgency) bool { return u.order() < other.order() }

// String returns the name of the urgency for logs.
func (u Urgency) String() string {
	switch u {
	case Nested:
		return "nested"
	case Late:
		return "late"
	default:
		return "in-time"
	}
}

func (u Urgency) order() int {
	switch u {
	case Nested:
		return 0
	case Late:
		return 2
	default:
		return 1
	}
}
