package overload

// Urgency orders requests that wait for the same upstream.
type Urgency uint8

const (
	// InTime is a request that can still be answered within its objective.
	InTime Urgency = iota
	// Nested is made by a request that runs. Refusing it wastes the work of that one.
	Nested
	// Late is a request whose objective has passed, or whose caller has come back after a
	// refusal. It takes what the others leave.
	Late
)

// GoesBefore reports whether requests of this urgency are admitted before those of the
// other and of the same rank.
func (u Urgency) GoesBefore(other Urgency) bool { return u.order() < other.order() }

// String names the urgency in logs.
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
