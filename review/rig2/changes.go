package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// changeCount is the number of changes: "a day may be long and may contain hundreds".
	changeCount = 950
	// routesPerChange is the largest count of big_config in the site files, and
	// calmRoutesPerChange that of a run without trouble.
	routesPerChange     = 1400
	calmRoutesPerChange = 1
	// changesAtOnce is the number of calls in progress, as many as are allowed.
	changesAtOnce = 8
	// changeGap is the smallest time between two changes.
	changeGap = 60 * time.Millisecond
	// changeTime bounds the time for all changes.
	changeTime = 88 * time.Second
	// quietTime is the time without an acknowledgement after which no more changes are sent.
	quietTime = 10 * time.Second
	// readBackTime is how long the operator asks for the configuration at the end; at least
	// contact-ms, which is 3 s.
	readBackTime = 12 * time.Second
	// callTimeout is longer than the second after which an operator may turn to another
	// node: large calls have more.
	callTimeout = 4 * time.Second
)

// changeRun is the state of a run of runChanges.
type changeRun struct {
	plan   *Plan
	record *Record
	routes int
	client *http.Client

	mu sync.Mutex
	// acked is the highest version that was acknowledged, refused the number of final refusals.
	acked, count, refused int
	lastAck               time.Time
	failed                map[string]int
}

// patch returns a change of all routes, whose timeouts and weights differ from one version to the
// next.
func (c *changeRun) patch(version int) string {
	var routes []string
	for k := range c.routes {
		routes = append(routes, fmt.Sprintf(`"r-more%04d":{"hostname":%q,"path-prefix":"/more%04d/","kind":"safe","timeout-ms":%d,"target-latency-ms":600,"priority":1,"traffic-split":[{"service":%q,"weight":%d},{"service":%q,"weight":10}],"max-attempts":2,"version":"%08x"}`,
			k, hostName, k, 1000+version%500, services[0], 50+version%50, services[1], version))
	}
	return `{"upsert":{"routes":{` + strings.Join(routes, ",") + `}},"remove":{"routes":[]}}`
}

// change sends a change to the core machines in turn until one acknowledges it or ctx ends.
func (c *changeRun) change(ctx context.Context, version int) {
	patch := c.patch(version)
	for try := version; ctx.Err() == nil; try++ {
		m := c.plan.Core[try%len(c.plan.Core)]
		status, err := c.post(ctx, m, patch)
		c.record.add("change", "version", version, "bytes", len(patch), "to", m.Name, "status", status, "err", err)
		c.mu.Lock()
		switch status {
		case http.StatusOK:
			c.acked = max(c.acked, version)
			c.count++
			c.lastAck = time.Now()
		case http.StatusBadRequest:
			c.refused++
		default:
			c.failed[m.Name]++
		}
		c.mu.Unlock()
		if status == http.StatusOK || status == http.StatusBadRequest {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *changeRun) post(ctx context.Context, m *Machine, patch string) (int, error) {
	url := "http://" + m.address(c.plan.Ports.Control) + "/config/patch"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(patch)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// readBack asks a core machine for the configuration and returns the lowest version of the
// routes, -1 without an answer.
func (c *changeRun) readBack(m *Machine) int {
	response, err := c.client.Get("http://" + m.address(c.plan.Ports.Control) + "/config/get")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	var configuration struct {
		Routes map[string]struct {
			Version string `json:"version"`
		} `json:"routes"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&configuration) != nil {
		return -1
	}
	lowest := -1
	for k := range c.routes {
		version := 0
		_, _ = fmt.Sscanf(configuration.Routes[fmt.Sprintf("r-more%04d", k)].Version, "%x", &version)
		if lowest < 0 || version < lowest {
			lowest = version
		}
	}
	return lowest
}

// endWhenQuiet cancels the changes once none has been acknowledged for quietTime.
func (c *changeRun) endWhenQuiet(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		time.Sleep(changeGap)
		c.mu.Lock()
		isQuiet := time.Since(c.lastAck) >= quietTime
		c.mu.Unlock()
		if isQuiet {
			cancel()
		}
	}
}

// runChanges sends the changes of a long day and reads the configuration back. It returns whether
// the rule was kept.
func runChanges(ctx context.Context, p *Plan, _ []*Instance, record *Record, trouble bool) (bool, error) {
	c := &changeRun{plan: p, record: record, routes: calmRoutesPerChange, client: &http.Client{Timeout: callTimeout}, failed: map[string]int{}, lastAck: time.Now()}
	if trouble {
		c.routes = routesPerChange
	}
	changeCtx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	inProgress := make(chan struct{}, changesAtOnce)
	var group sync.WaitGroup
	started := time.Now()
	go c.endWhenQuiet(changeCtx, cancel)
	for version := 2; version < changeCount+2 && changeCtx.Err() == nil; version++ {
		inProgress <- struct{}{}
		group.Go(func() {
			defer func() { <-inProgress }()
			c.change(changeCtx, version)
		})
		time.Sleep(changeGap)
	}
	group.Wait()
	sendTime := time.Since(started)
	answers, older := 0, 0
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range p.Core {
			lowest := c.readBack(m)
			record.add("read-back", "from", m.Name, "lowest", lowest, "acknowledged", c.acked)
			if lowest >= 0 {
				answers++
			}
			if lowest >= 0 && lowest < c.acked {
				older++
			}
		}
	}
	summary := fmt.Sprintf("%d changes of %d routes acknowledged in %.0f s, %d refused, failed tries %v; read back for %v: %d answers, %d of them older than acknowledged",
		c.count, c.routes, sendTime.Seconds(), c.refused, c.failed, readBackTime, answers, older)
	record.add("summary", "text", summary)
	fmt.Println(summary)
	return answers > 0 && older == 0, nil
}
