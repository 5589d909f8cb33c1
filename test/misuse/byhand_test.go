package misuse

import (
	"flag"
	"net"
	"testing"
	"time"
)

// byHandTime is the time for which the clients of TestByHand stay.
const byHandTime = 6 * time.Second

// connectionsFlag is the number of connections of each kind of client in TestByHand.
var connectionsFlag = flag.Int("misuse.connections", 0, "run TestByHand with `NUMBER` connections of each kind")

// TestByHand measures the peak memory of one node that meets many clients of one kind, for
// docs/CAPACITY.md. It runs only with -misuse.connections.
func TestByHand(t *testing.T) {
	if *connectionsFlag == 0 {
		t.Skip("measurement: needs -misuse.connections")
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, descriptorBound)
			to := target{s.node.EntryListen, "/svc/drafts/x"}
			started := time.Now()
			c := startCrowd(to.address, *connectionsFlag, func(conn net.Conn) { k.send(conn, to.path) })
			time.Sleep(max(0, byHandTime-time.Since(started)))
			c.leave()
			s.check(t)
		})
	}
}
