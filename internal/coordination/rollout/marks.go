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
	markResponses = 15
	// maxRecentMarks bounds the marks of a route besides the first. With markResponses they
	// reach back over 240 responses, of which 50 are bad if a fifth is.
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

// updatedMarks returns the marks with one more of each route when the target version has served
// markResponses since the last. The marks of all routes are of the same times. It returns p.Marks
// before the target version is exposed.
func (s *sums) updatedMarks(p *document.RolloutProgress) map[string][]document.RolloutMark {
	if !exposed(p) {
		return p.Marks
	}
	all := p.Marks[allRoutes]
	isDue := s.all.target.counts.Responses() >= all[len(all)-1].Target.Responses()+markResponses
	next := maps.Clone(p.Marks)
	for _, route := range s.markedRoutes() {
		marks := next[route]
		if len(marks) == 0 {
			marks = unseenMarks(all)
		}
		if isDue {
			marks = append(slices.Clone(marks), s.mark(route, p.ElapsedMs))
		}
		if len(marks) > 1+maxRecentMarks {
			marks = slices.Delete(marks, 1, 2)
		}
		next[route] = marks
	}
	return next
}

// unseenMarks returns the marks of a route that had no response before.
func unseenMarks(all []document.RolloutMark) []document.RolloutMark {
	marks := make([]document.RolloutMark, len(all))
	for i := range all {
		marks[i].AtMs = all[i].AtMs
	}
	return marks
}

// markedRoutes returns the routes with responses, and allRoutes.
func (s *sums) markedRoutes() []string {
	return append(slices.Sorted(maps.Keys(s.byRoute)), allRoutes)
}

// judgedRoutes returns the routes with responses of the target version.
func (s *sums) judgedRoutes() []string {
	var routes []string
	for route, sum := range s.byRoute {
		if sum.target.nodes > 0 {
			routes = append(routes, route)
		}
	}
	slices.Sort(routes)
	return routes
}

// series returns what the judge compares: each route with responses of the target version, and all
// routes together.
func (s *sums) series(p *document.RolloutProgress) []Series {
	var all []Series
	routes := s.judgedRoutes()
	for _, route := range routes {
		all = append(all, s.seriesOf(p, route))
	}
	together := s.seriesOf(p, allRoutes)
	together.Name = "all routes"
	for i := range all {
		together.Whole.Routes = append(together.Whole.Routes, all[i].Whole)
		for j := range together.Recent {
			together.Recent[j].Routes = append(together.Recent[j].Routes, all[i].Recent[j])
		}
	}
	return append(all, together)
}

func (s *sums) seriesOf(p *document.RolloutProgress, route string) Series {
	current := s.mark(route, p.ElapsedMs)
	sum := s.of(route)
	series := Series{
		Name:           "route " + route,
		TargetNodes:    sum.target.nodes,
		OtherNodes:     sum.other.nodes,
		SpreadFailures: sum.target.counts.Failed - sum.target.mostFailed,
	}
	for i, mark := range p.Marks[route] {
		window := windowSince(&current, &mark)
		if i == 0 {
			series.Whole = window
		} else {
			series.Recent = append(series.Recent, window)
		}
	}
	return series
}

func windowSince(current, earlier *document.RolloutMark) Window {
	return Window{
		Target: current.Target.Since(&earlier.Target),
		Other:  current.Other.Since(&earlier.Other),
		SpanMs: max(0, current.AtMs-earlier.AtMs),
	}
}
