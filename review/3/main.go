// Command 3 is case 3 of the review: an order to take a zone back, which a frozen core machine
// holds, takes effect after a later evacuation of the zone was acknowledged.
package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/chicorylever/chicorylever/review/standin"
)

const (
	host   = "jepu9.example"
	prefix = "/lepu270/"
	// zone is the one that is evacuated.
	zone = "mid-c"
	// rounds is the number of core machines that are frozen, one after the other.
	rounds = 5
	// catchUp is the time after which all core machines that have just started count again.
	catchUp = 4 * time.Second
	// contact, evacuate and outer are the bounds contact-ms, evacuate-ms and outer-ms.
	contact  = 3 * time.Second
	evacuate = 5 * time.Second
	outer    = 5 * time.Second
	// settle is the time for which a machine has been frozen when it gets an order.
	settle = 100 * time.Millisecond
	// probes is the number of requests that are sent once all bounds have passed.
	probes = 30
)

func main() {
	var side []standin.SidePlacement
	for _, z := range []string{"mid-a", "mid-b", "mid-c"} {
		side = append(side, standin.SidePlacement{Service: "fleet", Zone: z}, standin.SidePlacement{Service: "fleet", Zone: z})
	}
	standin.Main(standin.Placement{Zones: []string{"mid-a", "mid-b", "mid-c"}, Core: 5, Tolerated: 2, Side: side}, run)
}

func run(c *standin.Case) (bool, error) {
	var instances []*standin.Instance
	for i, m := range c.Fleet.Side {
		instance, err := standin.StartInstance(m, fmt.Sprintf("i-%d", i+1), 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer instance.Close()
		instances = append(instances, instance)
	}
	if err := order(c, "/config/patch", standin.RouteConfig(host, prefix, "safe", "fleet")); err != nil {
		return false, err
	}
	if err := c.Fleet.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	if !serves(c) {
		return false, fmt.Errorf("requests are not served before the disruption")
	}
	for round := range rounds {
		broken, err := runRound(c, instances, c.Fleet.Core[round], c.Fleet.Core[(round+1)%len(c.Fleet.Core)])
		if broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

// runRound evacuates the zone, takes it back and evacuates it again. The machine is frozen from
// before the order to take the zone back until after the last acknowledgement. It returns
// whether requests then reach the zone.
func runRound(c *standin.Case, instances []*standin.Instance, frozen, next *standin.Machine) (bool, error) {
	if err := order(c, "/evacuations/"+zone+"/start", nil, next); err != nil {
		return false, err
	}
	if c.Trouble {
		frozen.Signal(syscall.SIGSTOP)
		time.Sleep(settle)
	}
	err := order(c, "/evacuations/"+zone+"/finish", nil, frozen, next)
	if err == nil {
		err = order(c, "/evacuations/"+zone+"/start", nil, next)
	}
	acknowledged := time.Now()
	if c.Trouble {
		frozen.Signal(syscall.SIGCONT)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(max(evacuate+outer, contact))))
	c.Record.Logf("all bounds have passed: requests to zone %s count from here", zone)
	from := time.Now()
	for i := range probes {
		c.Fleet.Send(c.Fleet.Side[i%len(c.Fleet.Side)], http.MethodGet, host, fmt.Sprintf("%s%d", prefix, i), nil, 3*time.Second)
	}
	count := 0
	for _, instance := range instances {
		if instance.Machine.Zone != zone {
			continue
		}
		for _, r := range instance.Runs() {
			if r.At.After(from) {
				count++
			}
		}
	}
	c.Record.Logf("%d requests reached zone %s, %.1f s after its evacuation was acknowledged; it was not taken back since",
		count, zone, from.Sub(acknowledged).Seconds())
	return count > 0, nil
}

// order sends an order that has to be acknowledged.
func order(c *standin.Case, path string, body []byte, first ...*standin.Machine) error {
	status, _, err := c.Fleet.Order(http.MethodPost, path, body, first...)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, status)
	}
	return nil
}

func serves(c *standin.Case) bool {
	answer := c.Fleet.Send(c.Fleet.Side[0], http.MethodGet, host, prefix+"first", nil, 3*time.Second)
	return answer.Err == nil && answer.Status == http.StatusOK
}
