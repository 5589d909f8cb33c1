package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// warmupPerS, coldBurstFactor and coldSlack are those of kth-mesh, and coldBound is the
	// bound of the rule for any second.
	warmupPerS      = 8.2
	coldBurstFactor = 1.5
	coldSlack       = 5
	coldBound       = warmupPerS*coldBurstFactor + coldSlack
	// crashFactor times the bound is the rate at which a cold instance crashes: a rate well
	// above what it tolerates.
	crashFactor = 2
	// coldTime is how long an instance stays cold.
	coldTime = 3 * time.Second
	// downTime is how long an instance is down after a crash.
	downTime = time.Second

	bookClients = 20
	bookWorkMs  = 40
	bookPause   = 100 * time.Millisecond
	// coldTurns is the number of times that the instances become cold, coldInterval the time
	// between two of them.
	coldTurns    = 4
	coldInterval = 8 * time.Second
)

// arrival is when a request was sent by its client and when it arrived at an instance.
type arrival struct {
	sent, arrived time.Time
}

// coldState is whether an instance is cold, and the requests that it has got meanwhile.
type coldState struct {
	mu       sync.Mutex
	until    time.Time
	arrivals []arrival
	// worst is the largest number of requests that were sent and arrived in one second while the
	// instance was cold.
	worst int
	// crashing is set from a crash to the next start.
	crashing bool
}

// begin makes the instance cold.
func (c *coldState) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.arrivals, c.crashing = now.Add(coldTime), nil, false
}

func (c *coldState) remainingMs() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, time.Until(c.until).Milliseconds())
}

// arrive counts a request and reports whether the instance crashes now. A request that was sent
// before the instance became cold isn't counted, nor one whose client isn't known.
func (c *coldState) arrive(now, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.until) || c.crashing || sent.Before(c.until.Add(-coldTime)) {
		return false
	}
	c.arrivals = append(c.arrivals, arrival{sent, now})
	// The second that ends with this arrival.
	begin, count := now.Add(-time.Second), 0
	for _, a := range c.arrivals {
		if a.sent.After(begin) && a.arrived.After(begin) {
			count++
		}
	}
	c.worst = max(c.worst, count)
	c.crashing = float64(count) > crashFactor*coldBound
	return c.crashing
}

func (c *coldState) worstSecond() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst
}

// crash ends an instance with all that it runs. It starts again, cold and with another ID.
func (i *Instance) crash() {
	i.record.add("crash", "instance", i.currentID())
	i.closeServer()
	time.Sleep(downTime)
	i.renew()
	i.cold.begin(time.Now())
	if err := i.listen(); err != nil {
		i.record.add("no-restart", "instance", i.currentID(), "err", err)
	}
}

// runCold lets the instances of one service become cold while they serve. It returns whether the
// rule was kept.
func runCold(ctx context.Context, p *Plan, instances []*Instance, record *Record, trouble bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, coldInterval*(coldTurns+1))
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	answered, lost := map[int]int{}, 0
	for k := range bookClients {
		group.Go(func() {
			client := &Client{address: p.Side[k%len(p.Side)].address(p.Ports.Outbound)}
			defer client.close()
			for ctx.Err() == nil {
				o := client.send(http.MethodPost, hostName, fmt.Sprintf("%sx?work=%d", bookPath, bookWorkMs), []byte("deposit"), clientDeadline)
				ran := hasRun(instances, o.ID)
				record.add("answer", "id", o.ID, "status", o.Status, "stamp", o.Stamp, "ran", ran, "err", o.Err)
				mu.Lock()
				answered[o.Status]++
				if ran && o.Stamp == "" {
					lost++
				}
				mu.Unlock()
				time.Sleep(bookPause)
			}
		})
	}
	for range coldTurns {
		time.Sleep(coldInterval)
		for _, i := range instances {
			if trouble && i.machine.Service == services[1] {
				record.add("becomes-cold", "instance", i.currentID())
				i.cold.begin(time.Now())
			}
		}
	}
	group.Wait()
	worst := 0
	for _, i := range instances {
		worst = max(worst, i.cold.worstSecond())
	}
	summary := fmt.Sprintf("answered %v, requests that had begun to run and were lost %d, most requests at a cold instance in a second %d (at most %.1f allowed)",
		answered, lost, worst, coldBound)
	record.add("summary", "text", summary)
	fmt.Println(summary)
	return float64(worst) <= coldBound, nil
}

// hasRun reports whether an instance has begun to run a request.
func hasRun(instances []*Instance, id string) bool {
	for _, i := range instances {
		if i.hasRun(id) {
			return true
		}
	}
	return false
}
