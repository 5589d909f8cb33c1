package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// Answer is what a client got for one attempt.
type Answer struct {
	RequestID string
	Status    int // 0 without an answer
	Header    http.Header
	Body      []byte
	Err       error
}

// Send sends one client attempt to the node of a machine on a new connection.
func (f *Fleet) Send(m *Machine, method, host, path string, body []byte, deadline time.Duration) Answer {
	answer := Answer{RequestID: fmt.Sprintf("%016x", lastRequest.Add(1)+uint64(time.Now().UnixNano())<<20)}
	request, err := http.NewRequest(method, "http://"+m.Address(f.Ports.Outbound)+path, bytes.NewReader(body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = host
	request.Header.Set("X-Chicorylever-Request-Id", answer.RequestID)
	request.Header.Set("X-Chicorylever-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	f.Record.Logf("client -> %s: %s %s id %s", m.Name, method, path, answer.RequestID)
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
		f.Record.Logf("client <- %s: id %s: %v", m.Name, answer.RequestID, err)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status, answer.Header = response.StatusCode, response.Header
	answer.Body, answer.Err = io.ReadAll(response.Body)
	f.Record.Logf("client <- %s: id %s: %d, stamp %q, %d bytes, err %v", m.Name, answer.RequestID, answer.Status,
		response.Header.Get("X-Chicorylever-Response-Stamp"), len(answer.Body), answer.Err)
	return answer
}
