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
	// reach back over 80 responses, more than the 50 bad ones that a verdict may take.
	maxRecentMarks = 8
)

// sums holds the responses of both versions over all nodes.
type sums struct {
	target, other           map[string]*document.RolloutCounts
	targetTotal, otherTotal document.RolloutCounts
	// targetNodes and otherNodes count the nodes with responses of each version by route.
	targetNodes, otherNodes map[string]int
	// spreadFailures is Series.SpreadFailures by route.
	spreadFailures map[string]uint64
}

func newSums(r *document.Rollout, p *document.RolloutProgress) *sums {
	s := &sums{targetNodes: map[string]int{}, otherNodes: map[string]int{}, spreadFailures: map[string]uint64{}}
	s.target, s.other = p.Sum(r.TargetVersion)
	for _, route := range slices.Sorted(maps.Keys(s.target)) {
		s.targetTotal.Add(s.target[route])
	}
	for _, route := range slices.Sorted(maps.Keys(s.other)) {
		s.otherTotal.Add(s.other[route])
	}
	s.countNodes(r, p)
	return s
}

// countNodes counts the nodes with responses, and the failures of the target version by node.
func (s *sums) countNodes(r *document.Rollout, p *document.RolloutProgress) {
	type source struct{ route, node string }
	seen := map[source]bool{}
	failures := map[source]uint64{}
	for i := range p.Totals {
		entry := &p.Totals[i]
		isTarget := entry.Version == r.TargetVersion
		for _, route := range []string{entry.Route, allRoutes} {
			key := source{route, entry.NodeID}
			if isTarget {
				failures[key] += entry.Failed
			}
			if entry.Responses() == 0 || seen[key] {
				continue
			}
			seen[key] = true
			if isTarget {
				s.targetNodes[route]++
			} else {
				s.otherNodes[route]++
			}
		}
	}
	most, total := map[string]uint64{}, map[string]uint64{}
	for key, failed := range failures {
		most[key.route] = max(most[key.route], failed)
		total[key.route] += failed
	}
	for route := range total {
		s.spreadFailures[route] = total[route] - most[route]
	}
}

// exposed reports whether the target version has got requests.
func exposed(p *document.RolloutProgress) bool { return len(p.Marks[allRoutes]) > 0 }

// mark returns the counts of a route at the given time.
func (s *sums) mark(route string, atMs int64) document.RolloutMark {
	m := document.RolloutMark{AtMs: atMs}
	if route == allRoutes {
		m.Target, m.Other = s.targetTotal, s.otherTotal
		return m
	}
	if counts := s.target[route]; counts != nil {
		m.Target = *counts
	}
	if counts := s.other[route]; counts != nil {
		m.Other = *counts
	}
	return m
}

// firstMarks returns the marks of the time at which the target version gets its first request.
func (s *sums) firstMarks(atMs int64) map[string][]document.RolloutMark {
	marks := map[string][]document.RolloutMark{allRoutes: {s.mark(allRoutes, atMs)}}
	for route := range s.other {
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
	routes := slices.Sorted(maps.Keys(s.target))
	return append(routes, allRoutes)
}

// series returns what the judge compares.
func (s *sums) series(p *document.RolloutProgress) []Series {
	var all []Series
	for _, route := range s.judgedRoutes() {
		current := s.mark(route, p.ElapsedMs)
		series := Series{
			Name:           "route " + route,
			TargetNodes:    s.targetNodes[route],
			OtherNodes:     s.otherNodes[route],
			SpreadFailures: s.spreadFailures[route],
		}
		if route == allRoutes {
			series.Name, series.FailuresOnly = "all routes", true
		}
		for i, mark := range p.Marks[route] {
			window := windowSince(&current, &mark)
			if i == 0 {
				series.Whole = window
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
