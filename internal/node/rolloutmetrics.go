package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// rolloutVersions are the values of the version label. Software versions themselves are not
// used, since each rollout would add series.
var rolloutVersions = [...]rollout.Versions{rollout.TargetVersion, rollout.OtherVersions}

// rolloutMetrics holds the metrics of the rollouts of one service, indexed like
// rolloutVersions.
type rolloutMetrics struct {
	shares                      [len(rolloutVersions)]*metrics.Gauge
	attempts, succeeded, failed [len(rolloutVersions)]*metrics.Counter
}

func newRolloutMetrics(set *metrics.Set, service string) rolloutMetrics {
	m := rolloutMetrics{}
	for i, versions := range rolloutVersions {
		labels := fmt.Sprintf("service=%q,version=%q", service, versions)
		m.shares[i] = set.NewGauge("chicorylever_rollout_share{"+labels+"}", nil)
		m.attempts[i] = set.NewCounter("chicorylever_rollout_attempts_total{" + labels + "}")
		m.succeeded[i] = set.NewCounter("chicorylever_rollout_responses_total{" + labels + `,result="succeeded"}`)
		m.failed[i] = set.NewCounter("chicorylever_rollout_responses_total{" + labels + `,result="failed"}`)
	}
	return m
}

// setShare sets the share in force of the target version, in thousandths.
func (m *rolloutMetrics) setShare(permille int) {
	m.shares[0].Set(float64(permille) / rollout.FullShare)
	m.shares[1].Set(float64(rollout.FullShare-permille) / rollout.FullShare)
}

func (m *rolloutMetrics) clearShare() {
	for _, share := range m.shares {
		share.Set(0)
	}
}

// countAttempt counts an attempt of this entry node at an instance of the software version.
func (m *rolloutMetrics) countAttempt(r *document.Rollout, softwareVersion string) {
	m.attempts[versionIndex(r, softwareVersion)].Inc()
}

// countResponse counts a request at the upstream beside this node that is evidence.
func (m *rolloutMetrics) countResponse(r *document.Rollout, softwareVersion string, failed bool) {
	if failed {
		m.failed[versionIndex(r, softwareVersion)].Inc()
		return
	}
	m.succeeded[versionIndex(r, softwareVersion)].Inc()
}

// versionIndex returns the index in rolloutVersions of a software version.
func versionIndex(r *document.Rollout, softwareVersion string) int {
	if softwareVersion == r.TargetVersion {
		return 0
	}
	return 1
}
