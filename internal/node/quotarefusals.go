package node

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/quota"
)

const (
	// quotaLogInterval is the time between two log lines about the refusals of one
	// organisation, and quotaLogLines the most lines in one interval over all of them.
	quotaLogInterval = time.Second
	quotaLogLines    = 20
	// quotaSeries is the number of organisations with a metric of their own.
	quotaSeries = 20
	// quotaTracked bounds the organisations whose refusals are counted one by one.
	quotaTracked = 10_000
)

// quotaRefusals counts and logs the requests that were refused over a quota.
type quotaRefusals struct {
	logger log.Logger
	grants *metrics.Counter

	mu            sync.Mutex
	organisations map[string]*refusedOrganisation
	// untracked counts the refusals of organisations beyond quotaTracked.
	untracked uint64
	// lines counts the log lines since linesSince.
	lines      int
	linesSince time.Time
}

type refusedOrganisation struct {
	total, logged uint64
	loggedAt      time.Time
}

func newQuotaRefusals(logger log.Logger) *quotaRefusals {
	return &quotaRefusals{
		logger:        logger,
		grants:        &metrics.Counter{},
		organisations: map[string]*refusedOrganisation{},
	}
}

// record counts a refusal. The first one of an organisation is logged, and then the sum of
// each second.
func (r *quotaRefusals) record(now time.Time, organisation string, rate float64, decision quota.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.organisations[organisation]
	if o == nil && len(r.organisations) >= quotaTracked {
		r.untracked++
		return
	}
	if o == nil {
		o = &refusedOrganisation{}
		r.organisations[organisation] = o
	}
	o.total++
	if now.Sub(o.loggedAt) < quotaLogInterval || !r.takeLine(now) {
		return
	}
	refused := o.total - o.logged
	o.logged, o.loggedAt = o.total, now
	_ = level.Warn(r.logger).Log("msg", "requests refused over the quota of their organisation", "organisation", organisation,
		"refused", refused, "rate_per_second", rate, "share", decision.Share, "detached", decision.Detached,
		"grant_age_ms", decision.GrantAge.Milliseconds())
}

func (r *quotaRefusals) takeLine(now time.Time) bool {
	if now.Sub(r.linesSince) >= quotaLogInterval {
		r.lines, r.linesSince = 0, now
	}
	r.lines++
	return r.lines <= quotaLogLines
}

// write writes the refusals of the organisations that were refused most, and the sum of the
// others, in the Prometheus text format.
func (r *quotaRefusals) write(w io.Writer, grantAge time.Duration) {
	type refused struct {
		name  string
		total uint64
	}
	var all []refused
	r.mu.Lock()
	other := r.untracked
	for name, o := range r.organisations {
		all = append(all, refused{name, o.total})
	}
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b refused) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.name, b.name))
	})
	for i, o := range all {
		if i >= quotaSeries {
			other += o.total
			continue
		}
		_, _ = fmt.Fprintf(w, "chicorylever_quota_refusals_total{organisation=%q} %d\n", o.name, o.total)
	}
	_, _ = fmt.Fprintf(w, "chicorylever_quota_refusals_total{organisation=\"other\"} %d\n", other)
	_, _ = fmt.Fprintf(w, "chicorylever_quota_grants_total %d\n", r.grants.Get())
	_, _ = fmt.Fprintf(w, "chicorylever_quota_grant_age_seconds %g\n", grantAge.Seconds())
}
