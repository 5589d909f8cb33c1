package control

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/coordination/quota"
	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/frame"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// quotaCluster connects the quota services of fake members through pipes.
type quotaCluster struct {
	t *testing.T
	// mu guards the fields below.
	mu       sync.Mutex
	leader   uint64
	term     uint64
	streams  []net.Conn
	services []*quotaService
}

// newQuotaCluster starts members with IDs from 1; the first leads. The organisation o may
// send 50 requests per second.
func newQuotaCluster(t *testing.T, ctx context.Context, members int) *quotaCluster {
	c := &quotaCluster{t: t, leader: 1, term: 1}
	view := &document.View{Revision: 1, Document: &document.Document{Organisations: map[string]document.Organisation{
		"o": {RatePerSecond: 50, Burst: 50},
	}}}
	for id := range members {
		c.services = append(c.services, &quotaService{
			bound:     quota.Bound{}.WithDefaults(),
			status:    func() replica.Status { return c.status(uint64(id + 1)) },
			view:      func() *document.View { return view },
			dial:      c.dial,
			collector: quota.NewCollector(string(rune('a'+id)), 1, nil),
			logger:    log.NewNopLogger(),
		})
	}
	for _, service := range c.services {
		go service.run(ctx)
	}
	return c
}

func (c *quotaCluster) status(id uint64) replica.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := replica.Status{ID: id, Leader: c.leader, Term: c.term, QuorumContact: c.leader != 0}
	for i := range c.services {
		status.Members = append(status.Members, replica.Member{ID: uint64(i + 1), Address: string(rune('a' + i))})
	}
	return status
}

func (c *quotaCluster) dial(_ context.Context, address string) (frameStream, error) {
	local, remote := net.Pipe()
	c.mu.Lock()
	c.streams = append(c.streams, local, remote)
	owner := c.services[address[0]-'a']
	c.mu.Unlock()
	go func() {
		defer func() { _ = remote.Close() }()
		conn := frame.NewConn(remote)
		if first, err := conn.Receive(); err == nil {
			_ = owner.serveStream(first, conn)
		}
	}()
	return meshFrameStream{frame.NewConn(local), local}, nil
}

// elect makes a member the leader; 0 stands for none. Streams to the old one end.
func (c *quotaCluster) elect(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.term = id, c.term+1
	c.cutStreams()
}

func (c *quotaCluster) cutStreams() {
	for _, stream := range c.streams {
		_ = stream.Close()
	}
	c.streams = nil
}

// entryLoad sends requests of the organisation through one node of each member and returns
// how many of them were admitted.
func (c *quotaCluster) entryLoad(meters []*quota.Meter, perSecond int, duration time.Duration) (admitted int) {
	const tick = 10 * time.Millisecond
	sent := 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		time.Sleep(tick)
		now := time.Now()
		for due := int(float64(perSecond) * (elapsed + tick).Seconds()); sent < due; sent++ {
			if meters[sent%len(meters)].Admit(now, "o", 50, 50).Admitted {
				admitted++
			}
		}
		if elapsed%quota.ReportInterval != 0 {
			continue
		}
		for i, meter := range meters {
			if report := meter.Report(now); report != nil {
				collector := c.services[i].collector
				collector.Observe(now, report)
				meter.Apply(now, collector.Grant(now, report.GetSender(), report.GetSequence()))
			}
		}
	}
	return admitted
}

func newMeters(count int) []*quota.Meter {
	var meters []*quota.Meter
	for i := range count {
		meter := quota.NewMeter(string(rune('x'+i)), quota.Bound{}, func() float64 { return 0.5 })
		meter.SetNodes(count)
		meter.Connect(time.Now(), 1)
		meters = append(meters, meter)
	}
	return meters
}

// TestQuotaExchange guards against members whose sums do not reach the owner, and against
// more requests than the bound of 350 in 5 s after the owner is lost or a stream with an
// unanswered report ends, while the demand is 4.7 times the rate; and against refusals of a
// demand below the rate.
func TestQuotaExchange(t *testing.T) {
	failures := map[string]func(c *quotaCluster){
		"none":              func(*quotaCluster) {},
		"owner lost":        func(c *quotaCluster) { c.elect(0); time.AfterFunc(1200*time.Millisecond, func() { c.elect(2) }) },
		"owner replaced":    func(c *quotaCluster) { c.elect(3) },
		"report lost":       func(c *quotaCluster) { c.mu.Lock(); c.cutStreams(); c.mu.Unlock() },
		"all control lost":  func(c *quotaCluster) { c.elect(0) },
		"leader is unknown": func(c *quotaCluster) { c.elect(9) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(2 * time.Second)
				defer cancel()
				c := newQuotaCluster(t, ctx, 3)
				meters := newMeters(3)
				assert.Equal(t, c.entryLoad(meters, 30, 8*time.Second), 240)
				fail(c)
				admitted := c.entryLoad(meters, 235, 5*time.Second)
				assert.Assert(t, admitted > 150 && admitted <= 350, "%d admitted", admitted)
			})
		})
	}
}
