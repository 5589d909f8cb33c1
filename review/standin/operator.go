package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// orderTimeout is the time after which an operator asks another node.
	orderTimeout = time.Second
	// orderBackoff is added to the pause before each further try.
	orderBackoff = 50 * time.Millisecond
	// maxOrderTries bounds the tries of one order.
	maxOrderTries = 20
)

// Order sends an order of the operator to the core machines in turn, beginning with the given
// ones, until one acknowledges or refuses it. It returns the status and the body.
func (f *Fleet) Order(method, path string, body []byte, first ...*Machine) (int, []byte, error) {
	targets := append(append([]*Machine{}, first...), f.Core...)
	for try := range maxOrderTries {
		m := targets[try%len(targets)]
		status, answer, err := f.orderOnce(m, method, path, body)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer, nil
		}
		time.Sleep(time.Duration(try+1) * orderBackoff)
	}
	return 0, nil, fmt.Errorf("%s %s: no clear answer", method, path)
}

// orderOnce sends an order to one machine on a connection of its own, which is closed after
// orderTimeout.
func (f *Fleet) orderOnce(m *Machine, method, path string, body []byte) (int, []byte, error) {
	f.Record.Logf("operator -> %s: %s %s (%d bytes)", m.Name, method, path, len(body))
	request, err := http.NewRequest(method, "http://"+m.Address(f.Ports.Control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		f.Record.Logf("operator <- %s: %s %s: no answer within %v, connection closed", m.Name, method, path, orderTimeout)
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	f.Record.Logf("operator <- %s: %s %s: %d", m.Name, method, path, response.StatusCode)
	return response.StatusCode, answer, err
}

// RouteConfig returns a first call of the operator with one route to a service.
func RouteConfig(host, prefix, kind, service string) []byte {
	return fmt.Appendf(nil, `{"upsert":{"routes":{"r-one":{"hostname":%q,"path-prefix":%q,"kind":%q,"timeout-ms":1500,`+
		`"target-latency-ms":500,"priority":1,"service":%q,"max-attempts":2,"version":"00000007"}},`+
		`"services":{%q:{"health-path":"/healthz","max-connections":260,"protocol":"h1","tls":false,"cold-start-s":3.0,`+
		`"warmup-per-s":8.2,"version":"00000007"}},`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000,"version":"00000007"}},`+
		`"remove":{"routes":[]}}`, host, prefix, kind, service, service)
}
