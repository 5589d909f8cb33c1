// Command 2 is case 2 of the review: requests on a dropped route still run, with another path,
// when the path begins with /svc/ and the name of a service.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/chicorylever/chicorylever/review/standin"
)

const (
	host    = "hulo84.example"
	service = "bookings"
	// prefix is the path prefix of the route.
	prefix = "/svc/" + service + "/"
	// apply is the bound config-apply-ms, contact the bound contact-ms.
	apply   = 2 * time.Second
	contact = 3 * time.Second
	// settle is the time that all machines have run before the route is dropped.
	settle = 4 * time.Second
	// perMachine is the number of requests from each machine before and after.
	perMachine = 5
)

// dropRoute is the call of the operator that drops the route.
const dropRoute = `{"upsert":{},"remove":{"routes":[{"name":"r-one","version":"00000009"}]}}`

func main() {
	var side []standin.SidePlacement
	for _, z := range []string{"mid-a", "mid-b", "mid-c"} {
		side = append(side, standin.SidePlacement{Service: service, Zone: z})
	}
	standin.Main(standin.Placement{Zones: []string{"mid-a", "mid-b", "mid-c"}, Core: 5, Tolerated: 2, Side: side}, run)
}

func run(c *standin.Case) (bool, error) {
	var instances []*standin.Instance
	for i, m := range c.Fleet.Side {
		instance, err := standin.StartInstance(m, fmt.Sprintf("i-%d", i+1), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer instance.Close()
		instances = append(instances, instance)
	}
	if err := order(c, standin.RouteConfig(host, prefix, "unsafe", service)); err != nil {
		return false, err
	}
	if err := c.Fleet.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(max(settle, contact))
	if served := sendAll(c); served == 0 {
		return false, fmt.Errorf("no request is served while the route is there")
	}
	if c.Trouble {
		if err := order(c, []byte(dropRoute)); err != nil {
			return false, err
		}
	}
	time.Sleep(apply + time.Second)
	from := time.Now()
	served := sendAll(c)
	run, changed := 0, 0
	for _, instance := range instances {
		for _, r := range instance.Runs() {
			if r.At.Before(from) {
				continue
			}
			run++
			if len(r.Target) < len(prefix) || r.Target[:len(prefix)] != prefix {
				changed++
			}
		}
	}
	c.Record.Logf("later than config-apply-ms after the acknowledgement: %d requests were served, instances ran %d, %d of them with another path",
		served, run, changed)
	return c.Trouble && run > 0 || changed > 0, nil
}

// order sends a configuration that has to be acknowledged.
func order(c *standin.Case, body []byte) error {
	status, _, err := c.Fleet.Order(http.MethodPost, "/config/patch", body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("configuration: status %d", status)
	}
	return nil
}

// sendAll sends requests from all machines and returns how many were answered with 200.
func sendAll(c *standin.Case) int {
	served := 0
	for i := range perMachine {
		for _, m := range c.Fleet.Side {
			answer := c.Fleet.Send(m, http.MethodPost, host, fmt.Sprintf("%sclub/%d", prefix, i), []byte("deposit"), 4*time.Second)
			if answer.Status == http.StatusOK {
				served++
			}
		}
	}
	return served
}
