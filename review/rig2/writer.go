package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTime is how long the instances announce themselves before the other writer sends.
	settleTime = 4 * time.Second
	// writerClients is the number of clients of runWriter, and writerTime how long they send.
	writerClients = 8
	writerTime    = 30 * time.Second
	writerPause   = 200 * time.Millisecond
	// unknownService is a service that no configuration names.
	unknownService = "another0"
)

// sendForeignHeartbeat sends one heartbeat of another writer: that of an instance of a service
// that no configuration names.
func sendForeignHeartbeat(p *Plan, m *Machine) (int, error) {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":1,"cold-remaining-ms":0}}`,
		m.address(1), time.Now().UnixMilli(), unknownService, m.Zone, instanceSlots)
	client := &http.Client{Timeout: time.Second}
	url := "http://" + m.address(p.Ports.Control) + "/instances/i-another/heartbeat"
	response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// runWriter lets another writer send one heartbeat to each machine before the clients begin. It
// returns whether any request was served.
func runWriter(_ context.Context, p *Plan, instances []*Instance, record *Record, trouble bool) (bool, error) {
	time.Sleep(settleTime)
	for _, m := range p.Side {
		if !trouble {
			continue
		}
		status, err := sendForeignHeartbeat(p, m)
		if err != nil {
			return false, err
		}
		record.add("foreign-heartbeat", "to", m.Name, "answered", status)
	}
	time.Sleep(time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	answered := map[int]int{}
	paths := []string{viewPath, bookPath, uploadPath}
	for k := range writerClients {
		group.Go(func() {
			client := &Client{address: p.Side[k%len(p.Side)].address(p.Ports.Outbound)}
			defer client.close()
			for end := time.Now().Add(writerTime); time.Now().Before(end); time.Sleep(writerPause) {
				o := client.send(http.MethodPost, hostName, paths[k%len(paths)]+"x?work=20", []byte("body"), clientDeadline)
				record.add("answer", "id", o.ID, "status", o.Status, "stamp", o.Stamp, "ran", hasRun(instances, o.ID), "err", o.Err)
				mu.Lock()
				answered[o.Status]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	summary := fmt.Sprintf("answered in %v, beginning a second after the heartbeats: %v", writerTime, answered)
	record.add("summary", "text", summary)
	fmt.Println(summary)
	return answered[http.StatusOK] > 0, nil
}
