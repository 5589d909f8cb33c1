package node

import (
	"sort"
	"sync"

	"github.com/chicorylever/chicorylever/internal/protocol/wire"
)

// burnCounts counts good and bad responses of callers since the node started.
// Heartbeats carry the totals, so that a lost or repeated heartbeat changes
// nothing. It holds one entry for each service of the document that was called.
type burnCounts struct {
	mu       sync.Mutex
	services map[string]*wire.BurnCount
}

// add takes counts since the last call.
func (c *burnCounts) add(counts []*wire.BurnCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*wire.BurnCount{}
	}
	for _, count := range counts {
		total := c.services[count.GetService()]
		if total == nil {
			total = &wire.BurnCount{Service: count.GetService()}
			c.services[count.GetService()] = total
		}
		total.Good += count.GetGood()
		total.Bad += count.GetBad()
	}
}

// totals returns a copy of the counts in order of service names.
func (c *burnCounts) totals() []*wire.BurnCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := make([]*wire.BurnCount, 0, len(c.services))
	for _, count := range c.services {
		totals = append(totals, &wire.BurnCount{Service: count.GetService(), Good: count.GetGood(), Bad: count.GetBad()})
	}
	sort.Slice(totals, func(i, j int) bool { return totals[i].GetService() < totals[j].GetService() })
	return totals
}
