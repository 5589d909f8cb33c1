package rollout

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

const (
	// maxTallies is the number of pairs of software version and route that a node counts
	// separately in one rollout. At about 80 bytes each and two heartbeats a second a full report is 10 KB/s; a node
	// may exchange 16 KB/s with control.
	maxTallies = 64
	// OverflowRoute is the route under which all further requests are counted.
	OverflowRoute = "other"
	// maxLatencyBuckets bounds the histogram of response times; the last bucket counts all that
	// take 2^21 ms, about 35 minutes, or longer.
	maxLatencyBuckets = 23
)

// Tally counts how an upstream has served requests during one rollout of its service, by
// software version and route. The zero value is empty. It is not safe for concurrent use.
type Tally struct {
	service string
	rollout uint64
	counts  map[tallyKey]*wire.VersionEvidence
}

type tallyKey struct{ version, route string }

// Record counts a request. The rollout is identified by the revision that started it; the counts
// of an earlier one, or of another service, are discarded. A request of an earlier rollout is not
// counted. The response time is used only for a success.
func (t *Tally) Record(service string, rollout uint64, version, route string, failed bool, responseTime time.Duration) {
	if t.service != service || rollout > t.rollout {
		*t = Tally{service: service, rollout: rollout, counts: map[tallyKey]*wire.VersionEvidence{}}
	}
	if rollout < t.rollout {
		return
	}
	evidence := t.evidenceFor(version, route)
	if failed {
		evidence.Failed++
		return
	}
	evidence.Succeeded++
	bucket := latencyBucket(responseTime)
	for len(evidence.LatencyCounts) <= bucket {
		evidence.LatencyCounts = append(evidence.LatencyCounts, 0)
	}
	evidence.LatencyCounts[bucket]++
}

func (t *Tally) evidenceFor(version, route string) *wire.VersionEvidence {
	key := tallyKey{version, route}
	if evidence, ok := t.counts[key]; ok {
		return evidence
	}
	if len(t.counts) >= maxTallies {
		key = tallyKey{version: version, route: OverflowRoute}
		if evidence, ok := t.counts[key]; ok {
			return evidence
		}
	}
	if len(t.counts) >= 2*maxTallies {
		return &wire.VersionEvidence{} // an upstream that changes its version at each start
	}
	evidence := &wire.VersionEvidence{Service: t.service, Rollout: t.rollout, SoftwareVersion: version, Route: key.route}
	t.counts[key] = evidence
	return evidence
}

// latencyBucket returns the index of the bucket of a response time: bucket i counts times below
// 2^i milliseconds that no lower bucket counts.
func latencyBucket(responseTime time.Duration) int {
	return min(bits.Len64(uint64(max(0, responseTime.Milliseconds()))), maxLatencyBuckets-1) //nolint:gosec // not negative
}

// Report returns copies of the counts of a rollout, nil when there are none.
func (t *Tally) Report(service string, rollout uint64) []*wire.VersionEvidence {
	if t.service != service || t.rollout != rollout {
		return nil
	}
	report := make([]*wire.VersionEvidence, 0, len(t.counts))
	for _, evidence := range t.counts {
		report = append(report, proto.Clone(evidence).(*wire.VersionEvidence))
	}
	return report
}
