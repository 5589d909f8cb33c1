package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/coordination/rollout"
	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// rolloutTickInterval is the interval at which a member looks whether a running rollout
	// has a step to take.
	rolloutTickInterval = 100 * time.Millisecond
	// maxRolloutReportInterval is the longest time between two proposals of evidence.
	maxRolloutReportInterval = 500 * time.Millisecond
	// rolloutReportPart is the part of the rollback time that may pass between two proposals.
	rolloutReportPart = 10
	// rolloutProposeTimeout bounds one proposal. Its evidence is proposed again later.
	rolloutProposeTimeout = 2 * time.Second
	// rolloutFailureLogInterval is the shortest time between two log lines about failed
	// proposals, which are repeated up to ten times a second.
	rolloutFailureLogInterval = 10 * time.Second
	// maxEvidenceEntries bounds the evidence of one command, about 400 KB.
	maxEvidenceEntries = 2048
	// maxEvidenceSources bounds the evidence that a member keeps for one rollout.
	maxEvidenceSources = 65536
)

// rolloutDriver advances the running rollouts. Every member proposes the evidence of its own
// nodes; the leader also proposes the elapsed time and what it knows of the nodes. All methods
// but observe are called from one goroutine.
type rolloutDriver struct {
	machine  *document.Machine
	registry *membership.Registry
	proposer replica.Proposer
	logger   log.Logger
	// failures receives failed proposals and limits their rate.
	failures log.Logger
	// reportInterval is the time between two proposals without a step.
	reportInterval time.Duration

	mu sync.Mutex
	// evidence holds the latest evidence of the nodes by service; entries that no accepted
	// proposal holds are pending.
	evidence map[string]*rolloutEvidence
	// clocks holds the elapsed time of each running rollout by service.
	clocks map[string]*rolloutClock
}

// evidenceSource identifies a source of counts.
type evidenceSource struct {
	node    string
	start   uint64
	version string
	route   string
}

// rolloutEvidence is the evidence for one rollout.
type rolloutEvidence struct {
	startedRevision uint64
	pending, sent   map[evidenceSource]document.RolloutCounts
}

// rolloutClock measures the elapsed time of one rollout from the recorded one.
type rolloutClock struct {
	startedRevision uint64
	baseMs          int64
	base            time.Time
	lastReport      time.Time
	logged          document.Rollout
}

func newRolloutDriver(machine *document.Machine, registry *membership.Registry, proposer replica.Proposer, rollback time.Duration, logger log.Logger) *rolloutDriver {
	return &rolloutDriver{
		machine: machine, registry: registry, proposer: proposer, logger: logger,
		failures:       obs.RateLimit(level.Warn(logger), rolloutFailureLogInterval),
		reportInterval: min(max(rollback/rolloutReportPart, rolloutTickInterval), maxRolloutReportInterval),
		evidence:       map[string]*rolloutEvidence{},
		clocks:         map[string]*rolloutClock{},
	}
}

// run advances the running rollouts until ctx ends.
func (d *rolloutDriver) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.tick(ctx, now)
		}
	}
}

// tick advances each running rollout that has something to report.
func (d *rolloutDriver) tick(ctx context.Context, now time.Time) {
	rollouts := d.machine.View().Document.Rollouts
	for service := range d.clocks {
		if _, ok := rollouts[service]; !ok {
			d.forget(service)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(rollouts)) {
		r := rollouts[service]
		progress, ok := d.machine.RolloutProgress(service)
		if !ok {
			continue
		}
		clock := d.clock(service, r, &progress, now)
		d.logChange(service, clock, r, &progress)
		if r.State != document.RolloutRunning {
			d.dropEvidence(service)
			continue
		}
		d.advance(ctx, service, r, progress, clock, now)
	}
}

// clock returns the clock of a rollout. It starts when this member first sees the rollout.
func (d *rolloutDriver) clock(service string, r document.Rollout, progress *document.RolloutProgress, now time.Time) *rolloutClock {
	clock := d.clocks[service]
	if clock == nil || clock.startedRevision != r.StartedRevision {
		clock = &rolloutClock{startedRevision: r.StartedRevision, baseMs: progress.ElapsedMs, base: now}
		if r.State != document.RolloutRunning {
			clock.logged = r // it ended before this member started
		}
		d.clocks[service] = clock
	}
	if progress.ElapsedMs > clock.elapsedMs(now) {
		clock.baseMs, clock.base = progress.ElapsedMs, now
	}
	return clock
}

// elapsedMs returns the time since the start in milliseconds, by the monotonic clock.
func (c *rolloutClock) elapsedMs(now time.Time) int64 {
	return c.baseMs + now.Sub(c.base).Milliseconds()
}

// advance proposes what is new about a running rollout: at once if that changes the rollout or
// fills a command, else after the report interval.
func (d *rolloutDriver) advance(ctx context.Context, service string, r document.Rollout, progress document.RolloutProgress, clock *rolloutClock, now time.Time) {
	command := document.RolloutAdvance{Service: service, StartedRevision: r.StartedRevision, Evidence: d.pendingEvidence(service, r.StartedRevision)}
	status := d.proposer.Status()
	leads := status.Leader == status.ID
	if leads {
		command.ElapsedMs = clock.elapsedMs(now)
		facts := d.facts(service, r, progress.StepRevision)
		command.Facts = &facts
	}
	if !leads && len(command.Evidence) == 0 {
		return
	}
	next, advanced := rollout.Advance(r, progress.Advanced(command))
	isStep := next != r || advanced.InForceMs != progress.InForceMs
	hasMore := len(command.Evidence) == maxEvidenceEntries
	if !isStep && !hasMore && now.Sub(clock.lastReport) < d.reportInterval {
		return
	}
	clock.lastReport = now
	d.propose(ctx, command)
}

// propose proposes an advance. After an error its evidence stays pending.
func (d *rolloutDriver) propose(ctx context.Context, advance document.RolloutAdvance) {
	ctx, cancel := context.WithTimeout(ctx, rolloutProposeTimeout)
	defer cancel()
	command, err := document.EncodeRolloutAdvance(advance)
	if err == nil {
		_, _, err = d.proposer.Propose(ctx, command)
	}
	if err != nil {
		_ = d.failures.Log("msg", "advance of a rollout has no result from the replicated log; retrying", "service", advance.Service, "err", err)
		return
	}
	d.markSent(advance)
}

// facts returns what the registry knows about the nodes and the instances of the service.
func (d *rolloutDriver) facts(service string, r document.Rollout, stepRevision uint64) document.RolloutFacts {
	facts := document.RolloutFacts{StepRevision: stepRevision}
	// Without a configured warm-up an instance becomes warm only by requests.
	isColdReady := d.machine.View().Document.Services[service].WarmupPerSecond == 0
	for _, lease := range d.registry.Nodes() {
		facts.Nodes++
		if lease.GetRevision() < stepRevision {
			facts.Lagging++
		}
		instance := lease.GetInstance()
		state := instance.GetState()
		isReady := state == wire.InstanceState_INSTANCE_WARM || isColdReady && state == wire.InstanceState_INSTANCE_COLD
		if instance.GetService() != service || !isReady || instance.GetDeparting() {
			continue
		}
		if instance.GetSoftwareVersion() == r.TargetVersion {
			facts.TargetInstances++
		} else {
			facts.OtherInstances++
		}
	}
	return facts
}

// logChange logs each change of a rollout once, at the leader, with the figures that decided it.
func (d *rolloutDriver) logChange(service string, clock *rolloutClock, r document.Rollout, progress *document.RolloutProgress) {
	if clock.logged == r {
		return
	}
	clock.logged = r
	if status := d.proposer.Status(); status.Leader != status.ID {
		return
	}
	target, other := totalCounts(r, progress)
	_ = level.Info(d.logger).Log("msg", "rollout", "service", service, "target_version", r.TargetVersion, "state", string(r.State),
		"phase", string(r.Phase), "share_permille", r.SharePermille, "elapsed_ms", progress.ElapsedMs, "duration_ms", r.DurationMs, "reason", r.Reason,
		"target_responses", target.Responses(), "target_failed", target.Failed, "other_responses", other.Responses(), "other_failed", other.Failed,
		"target_instances", progress.Facts.TargetInstances, "other_instances", progress.Facts.OtherInstances,
		"nodes", progress.Facts.Nodes, "lagging", progress.Facts.Lagging)
}

// totalCounts returns the responses of both versions over all nodes and routes.
func totalCounts(r document.Rollout, progress *document.RolloutProgress) (target, other document.RolloutCounts) {
	targetByRoute, otherByRoute := progress.Sum(r.TargetVersion)
	for _, counts := range targetByRoute {
		target.Add(counts)
	}
	for _, counts := range otherByRoute {
		other.Add(counts)
	}
	return target, other
}

func (d *rolloutDriver) forget(service string) {
	delete(d.clocks, service)
	d.dropEvidence(service)
}
