package rollout

import (
	"time"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// MaxContactAge is the time since a node's last contact with control after which it treats
// the share of a rollout as 0, as required by docs/requirements.md, section 1.2 ("Plan").
const MaxContactAge = 2 * time.Second

// FullShare is a share of all requests, in thousandths.
const FullShare = 1000

// Versions says which instances of a service a request may be sent to, by their software
// version.
type Versions uint8

const (
	// AnyVersion allows all instances.
	AnyVersion Versions = iota
	// TargetVersion allows the instances of the target version of the rollout.
	TargetVersion
	// OtherVersions allows the instances of all other versions, and those that have announced
	// none.
	OtherVersions
)

// String returns the value of the version label in metrics, "any" without a restriction.
func (v Versions) String() string {
	switch v {
	case TargetVersion:
		return "target"
	case OtherVersions:
		return "other"
	default:
		return "any"
	}
}

// VersionSet is a set of the target version and the other versions of a rollout.
type VersionSet struct{ Target, Other bool }

// Add adds the group that the software version belongs to.
func (s *VersionSet) Add(r *document.Rollout, softwareVersion string) {
	if softwareVersion == r.TargetVersion {
		s.Target = true
	} else {
		s.Other = true
	}
}

// Random is a source of random numbers; *rand.Rand implements it.
type Random interface {
	// IntN returns a uniformly distributed number in [0, n).
	IntN(n int) int
}

// Share returns the share of the first attempts, in thousandths, that a node sends to the
// target version. The contact age is the time since the node's last contact with control.
func Share(r *document.Rollout, contactAge time.Duration) int {
	switch {
	case r.State == document.RolloutCompleted:
		return FullShare
	case r.State != document.RolloutRunning || contactAge > MaxContactAge:
		return 0
	default:
		return min(max(0, r.SharePermille), FullShare)
	}
}

// HasFullShare reports whether a node sends all first attempts to the target version.
func HasFullShare(r *document.Rollout, contactAge time.Duration) bool {
	return Share(r, contactAge) == FullShare
}

// Choose returns the versions for the first attempt of a call. Each call makes one draw; the
// total over all nodes therefore has the share of the rollout without a shared counter.
func Choose(r *document.Rollout, random Random, contactAge time.Duration) Versions {
	share := Share(r, contactAge)
	if share == FullShare || share > 0 && random.IntN(FullShare) < share {
		return TargetVersion
	}
	return OtherVersions
}

// ChooseRepeat returns the versions for a retry or a hedged request. They go to the other
// versions, so that a bad target version cannot attract repeats, until the target version
// has the full share: the other instances may stop soon after that. If nodes of just one group
// have refused the call by a later revision of the rollout, it has ended and the other group
// gets the requests.
func ChooseRepeat(r *document.Rollout, contactAge time.Duration, refusing VersionSet) Versions {
	if refusing.Target != refusing.Other && r.State == document.RolloutRunning {
		if refusing.Other {
			return TargetVersion
		}
		return OtherVersions
	}
	if HasFullShare(r, contactAge) {
		return TargetVersion
	}
	return OtherVersions
}

// ChooseHedge returns the versions for a hedged request, and false when the request must not be
// hedged: the target version of a running rollout gets none.
func ChooseHedge(r *document.Rollout, contactAge time.Duration) (Versions, bool) {
	versions := ChooseRepeat(r, contactAge, VersionSet{})
	return versions, versions != TargetVersion || r.State == document.RolloutCompleted
}

// Fallback returns the versions for an attempt when no instance of the chosen ones is
// available, and false when the request must not be sent to any other.
func Fallback(r *document.Rollout, chosen Versions) (Versions, bool) {
	if r.State == document.RolloutCompleted || r.State == document.RolloutRolledBack {
		return chosen, false
	}
	if chosen == TargetVersion {
		return OtherVersions, true
	}
	return TargetVersion, true
}

// Excludes reports whether instances of the software version get no requests because the
// rollout has ended. An empty software version counts as another one than the target.
func Excludes(r *document.Rollout, softwareVersion string) bool {
	switch r.State {
	case document.RolloutCompleted:
		return softwareVersion != r.TargetVersion
	case document.RolloutRolledBack:
		return softwareVersion == r.TargetVersion
	default:
		return false
	}
}

// Admits reports whether instances of the software version are among the versions.
func Admits(r *document.Rollout, versions Versions, softwareVersion string) bool {
	switch versions {
	case TargetVersion:
		return softwareVersion == r.TargetVersion
	case OtherVersions:
		return softwareVersion != r.TargetVersion
	default:
		return true
	}
}
