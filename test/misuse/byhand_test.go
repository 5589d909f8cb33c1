package misuse

import (
	"flag"
	"net"
	"testing"
	"time"
)

// byHandTime is the time for which the clients of BenchmarkByHand stay.
const byHandTime = 6 * time.Second

// connectionsFlag is the number of connections of each kind of client in BenchmarkByHand.
var connectionsFlag = flag.Int("misuse.connections", 300, "BenchmarkByHand uses `NUMBER` connections of each kind")

// BenchmarkByHand measures the peak memory of one node that meets many clients of one kind, for
// docs/CAPACITY.md.
func BenchmarkByHand(b *testing.B) {
	for _, k := range kinds {
		b.Run(k.name, func(b *testing.B) {
			s := startSystem(b, descriptorBound)
			to := target{s.node.EntryListen, "/svc/drafts/x"}
			started := time.Now()
			c := startCrowd(to.address, *connectionsFlag, func(conn net.Conn) { k.send(conn, to.path) })
			time.Sleep(max(0, byHandTime-time.Since(started)))
			c.leave()
			s.check(b)
		})
	}
}
