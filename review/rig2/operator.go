package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// hostName is the host of the routes.
	hostName = "kazi0.example"
	// viewPath, bookPath and uploadPath are the prefixes of the routes of the three kinds.
	viewPath   = "/view0/"
	bookPath   = "/book0/"
	uploadPath = "/upload0/"
)

// firstConfiguration is the operator's first call, with the figures of kth-mesh.
func firstConfiguration() string {
	route := func(name, path, kind, service string, timeoutMs int) string {
		return fmt.Sprintf(`%q:{"hostname":%q,"path-prefix":%q,"kind":%q,"timeout-ms":%d,"target-latency-ms":600,"priority":1,"service":%q,"max-attempts":2,"version":"00000001"}`,
			name, hostName, path, kind, timeoutMs, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`%q:{"health-path":%q,"max-connections":260,"protocol":"h1","tls":false,"cold-start-s":3.0,"warmup-per-s":8.2,"version":"00000001"}`, name, healthPath)
	}
	routes := []string{
		route("r-view", viewPath, "safe", services[0], 1500),
		route("r-book", bookPath, "unsafe", services[1], 2000),
		route("r-upload", uploadPath, "upload", services[1], 2000),
	}
	return fmt.Sprintf(`{"upsert":{"routes":{%s},"services":{%s,%s},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000,"version":"00000001"}},"remove":{"routes":[]}}`,
		strings.Join(routes, ","), service(services[0]), service(services[1]))
}

// configure sends a configuration to the core machines in turn until one acknowledges it.
func configure(p *Plan, patch string) error {
	client := &http.Client{Timeout: 2 * time.Second}
	deadline := time.Now().Add(startTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		url := "http://" + p.Core[i%len(p.Core)].address(p.Ports.Control) + "/config/patch"
		response, err := client.Post(url, "application/json", bytes.NewReader([]byte(patch)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no core machine acknowledged the configuration within %v", startTimeout)
}

// awaitReady waits until all side machines say that they are ready.
func awaitReady(p *Plan) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startTimeout)
	for _, m := range p.Side {
		for {
			response, err := client.Get("http://" + m.address(p.Ports.Readiness) + "/readyz")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", m.Name, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// awaitServed waits until each side machine serves a request of each route.
func awaitServed(p *Plan) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range p.Side {
		for _, path := range []string{viewPath, bookPath, uploadPath} {
			client := &Client{address: m.address(p.Ports.Outbound)}
			for {
				o := client.send(http.MethodPost, hostName, path+"x?work=5", []byte("first"), clientDeadline)
				if o.Status == http.StatusOK {
					break
				}
				if time.Now().After(deadline) {
					return fmt.Errorf("%s does not serve %s: status %d, %w", m.Name, path, o.Status, o.Err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			client.close()
		}
	}
	return nil
}
