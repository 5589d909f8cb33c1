package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdConnections is the number of clients that stop before the end of their body.
	crowdConnections = 1400
	// crowdBodyBytes is the declared size of their bodies, far below max-body-bytes.
	crowdBodyBytes = 3_000
	// crowdPause is how long such a client waits before it tries again.
	crowdPause = time.Second

	// pipelineClients is the number of ordinary clients, each of which sends pipelineDepth safe
	// requests at a time over a kept connection.
	pipelineClients = 6
	pipelineDepth   = 4
	viewWorkMs      = 160
	viewPause       = 400 * time.Millisecond
	// clientDeadline is the deadline of all clients, as in kth-mesh.
	clientDeadline = 4 * time.Second
	// pressTime is how long the ordinary clients send.
	pressTime = 20 * time.Second
	// maxLost is the number of lost requests that the rule allows.
	maxLost = 3
)

// crowdClient opens connections one after the other, and on each sends a request that stops short
// of the end of its body.
func crowdClient(ctx context.Context, address string, opened, closed *atomic.Int64) {
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		bookPath, hostName, headerRequestID, newID(), headerDeadline, clientDeadline.Milliseconds(), crowdBodyBytes)
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			opened.Add(1)
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(clientDeadline))
			_, _ = conn.Write(append([]byte(head), make([]byte, crowdBodyBytes-1)...))
			_, _ = conn.Read(make([]byte, 4096)) // an answer, or the end of the connection
			closed.Add(1)
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(crowdPause):
		}
	}
}

// lossCount counts the ends of ordinary requests.
type lossCount struct {
	mu       sync.Mutex
	answered map[int]int
	lost     int
	other    int
}

// runCrowd lets ordinary clients send safe requests to one machine while a crowd of others holds
// unfinished requests there. It returns whether the rule was kept.
func runCrowd(ctx context.Context, p *Plan, instances []*Instance, record *Record, trouble bool) (bool, error) {
	address := p.Side[0].address(p.Ports.Outbound)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var opened, closed atomic.Int64
	if trouble {
		for range crowdConnections {
			go crowdClient(ctx, address, &opened, &closed)
		}
		time.Sleep(3 * time.Second)
	}
	count := &lossCount{answered: map[int]int{}}
	var group sync.WaitGroup
	for range pipelineClients {
		group.Go(func() { pipelineClient(address, instances, record, count) })
	}
	group.Wait()
	record.add("summary", "answered", count.answered, "lost-after-run", count.lost, "other-ends", count.other,
		"crowd-opened", opened.Load(), "crowd-closed", closed.Load())
	fmt.Printf("answered %v, closed without an answer after the instance ran it, on a kept connection: %d (at most %d allowed), other ends %d, crowd connections %d\n",
		count.answered, count.lost, maxLost, count.other, opened.Load())
	return count.lost <= maxLost, nil
}

// pipelineClient sends safe requests over a kept connection for pressTime.
func pipelineClient(address string, instances []*Instance, record *Record, count *lossCount) {
	client := &Client{address: address}
	defer client.close()
	for end := time.Now().Add(pressTime); time.Now().Before(end); time.Sleep(viewPause) {
		for _, o := range client.pipeline(hostName, fmt.Sprintf("%sx?work=%d", viewPath, viewWorkMs), pipelineDepth, clientDeadline) {
			count.add(o, instances, record)
		}
	}
}

// add counts the end of a request. One that the client itself has given up isn't lost.
func (l *lossCount) add(o Outcome, instances []*Instance, record *Record) {
	ran := hasRun(instances, o.ID)
	record.add("answer", "id", o.ID, "status", o.Status, "stamp", o.Stamp, "kept", o.Kept, "ran", ran, "err", o.Err)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case o.Status != 0:
		l.answered[o.Status]++
	case ran && o.Kept && !errors.Is(o.Err, os.ErrDeadlineExceeded):
		l.lost++
	default:
		l.other++
	}
}
