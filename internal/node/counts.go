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

// add counts one response to a caller.
func (c *burnCounts) add(service string, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[string]*wire.BurnCount{}
	}
	count := c.services[service]
	if count == nil {
		count = &wire.BurnCount{Service: service}
		c.services[service] = count
	}
	if good {
		count.Good++
	} else {
		count.Bad++
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
