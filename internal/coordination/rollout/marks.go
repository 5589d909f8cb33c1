package rollout

import (
	"maps"
	"slices"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// allRoutes is the key of the marks of all routes together. It is no valid name of a route.
	allRoutes = "*"
	// markResponses is the number of responses of the target version between two marks.
	markResponses = 10
	// maxRecentMarks bounds the marks of a route besides the first. With markResponses they
	// reach back over 160 responses, of which 50 are bad if a third is.
	maxRecentMarks = 16
)

// sums holds the responses of both versions over all nodes.
type sums struct {
	byRoute map[string]*routeSum
	all     routeSum
}

// routeSum holds the responses to the requests of one route, or of all.
type routeSum struct {
	target, other versionSum
}

// versionSum holds the responses of one version.
type versionSum struct {
	counts document.RolloutCounts
	// nodes counts the nodes with responses.
	nodes int
	// mostFailed is the number of failures of the node that has most of them.
	mostFailed uint64
	// lastNode and lastFailed are the node added last and its failures.
	lastNode   string
	lastFailed uint64
}

func newSums(r *document.Rollout, p *document.RolloutProgress) *sums {
	s := &sums{byRoute: map[string]*routeSum{}}
	for i := range p.Totals {
		entry := &p.Totals[i]
		sum := s.byRoute[entry.Route]
		if sum == nil {
			sum = &routeSum{}
			s.byRoute[entry.Route] = sum
		}
		isTarget := entry.Version == r.TargetVersion
		sum.version(isTarget).add(entry)
		s.all.version(isTarget).add(entry)
	}
	return s
}

func (s *routeSum) version(isTarget bool) *versionSum {
	if isTarget {
		return &s.target
	}
	return &s.other
}

// add adds an entry. Entries of one node follow one another.
func (s *versionSum) add(entry *document.RolloutEvidence) {
	if entry.Responses() == 0 {
		return
	}
	if s.nodes == 0 || s.lastNode != entry.NodeID {
		s.nodes++
		s.lastNode, s.lastFailed = entry.NodeID, 0
	}
	s.lastFailed += entry.Failed
	s.mostFailed = max(s.mostFailed, s.lastFailed)
	s.counts.Add(&entry.RolloutCounts)
}

// of returns the sum for a route or allRoutes, without responses for an unknown route.
func (s *sums) of(route string) *routeSum {
	if route == allRoutes {
		return &s.all
	}
	if sum := s.byRoute[route]; sum != nil {
		return sum
	}
	return &routeSum{}
}

// totals returns the responses by version and route, which is all that is kept of the evidence of
// a rollout that has ended. Those of the other versions get none.
func (s *sums) totals(targetVersion string) []document.RolloutEvidence {
	var totals []document.RolloutEvidence
	for route, sum := range s.byRoute {
		totals = append(totals,
			document.RolloutEvidence{Route: route, RolloutCounts: sum.other.counts},
			document.RolloutEvidence{Route: route, Version: targetVersion, RolloutCounts: sum.target.counts})
	}
	slices.SortFunc(totals, document.CompareEvidence)
	return totals
}

// exposed reports whether the target version has got requests.
func exposed(p *document.RolloutProgress) bool { return len(p.Marks[allRoutes]) > 0 }

// mark returns the counts of a route at the given time.
func (s *sums) mark(route string, atMs int64) document.RolloutMark {
	sum := s.of(route)
	return document.RolloutMark{AtMs: atMs, Target: sum.target.counts, Other: sum.other.counts}
}

// firstMarks returns the marks of the time at which the target version gets its first request.
func (s *sums) firstMarks(atMs int64) map[string][]document.RolloutMark {
	marks := map[string][]document.RolloutMark{allRoutes: {s.mark(allRoutes, atMs)}}
	for route := range s.byRoute {
		marks[route] = []document.RolloutMark{s.mark(route, atMs)}
	}
	return marks
}

// updatedMarks returns the marks with one more for each route whose target version has served
// markResponses since the last. It returns p.Marks before the target version is exposed.
func (s *sums) updatedMarks(p *document.RolloutProgress) map[string][]document.RolloutMark {
	if !exposed(p) {
		return p.Marks
	}
	next := maps.Clone(p.Marks)
	for _, route := range s.judgedRoutes() {
		marks := next[route]
		if len(marks) == 0 {
			// The route had no response before the target version was exposed.
			marks = []document.RolloutMark{{AtMs: p.Marks[allRoutes][0].AtMs}}
		}
		current := s.mark(route, p.ElapsedMs)
		last := marks[len(marks)-1]
		if current.Target.Responses() >= last.Target.Responses()+markResponses {
			marks = append(slices.Clone(marks), current)
		}
		if len(marks) > 1+maxRecentMarks {
			marks = slices.Delete(slices.Clone(marks), 1, 2)
		}
		next[route] = marks
	}
	return next
}

// judgedRoutes returns the routes with responses of the target version, and allRoutes.
func (s *sums) judgedRoutes() []string {
	var routes []string
	for route, sum := range s.byRoute {
		if sum.target.nodes > 0 {
			routes = append(routes, route)
		}
	}
	slices.Sort(routes)
	return append(routes, allRoutes)
}

// series returns what the judge compares.
func (s *sums) series(p *document.RolloutProgress) []Series {
	var all []Series
	var wholes []Window
	for _, route := range s.judgedRoutes() {
		current := s.mark(route, p.ElapsedMs)
		sum := s.of(route)
		series := Series{
			Name:           "route " + route,
			TargetNodes:    sum.target.nodes,
			OtherNodes:     sum.other.nodes,
			SpreadFailures: sum.target.counts.Failed - sum.target.mostFailed,
		}
		if route == allRoutes {
			series.Name, series.Routes = "all routes", wholes
		}
		for i, mark := range p.Marks[route] {
			window := windowSince(&current, &mark)
			if i == 0 {
				series.Whole = window
				wholes = append(wholes, window)
			} else {
				series.Recent = append(series.Recent, window)
			}
		}
		all = append(all, series)
	}
	return all
}

func windowSince(current, earlier *document.RolloutMark) Window {
	return Window{
		Target: current.Target.Since(&earlier.Target),
		Other:  current.Other.Since(&earlier.Other),
		SpanMs: max(0, current.AtMs-earlier.AtMs),
	}
}
