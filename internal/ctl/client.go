package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/control/api"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	// attemptTimeout bounds one request without a wait. It is longer than the
	// API's own bound on a proposal.
	attemptTimeout = 15 * time.Second
	// roundPause is the time between two rounds through all members; a new leader
	// is elected within about 1 s.
	roundPause = 300 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
)

// client sends requests to the members in turn until one answers for the cluster.
type client struct {
	urls    []string
	token   string
	http    *http.Client
	timeout time.Duration
}

// request is sent unchanged to each member, so a resend carries the same edit ID.
type request struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
	// change marks a request whose outcome matters when no answer arrives.
	change bool
	// wait is the time that the API may take on purpose.
	wait time.Duration
}

func newClient(urls []string, tokenFile, caFile string, timeout time.Duration) (*client, error) {
	token, err := os.ReadFile(tokenFile) //nolint:gosec // the operator names the token file
	if err != nil {
		return nil, usage("--token-file: %v", err)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		pool, err := certificates(caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c := &client{token: strings.TrimSpace(string(token)), http: &http.Client{Transport: transport}, timeout: timeout}
	for _, url := range urls {
		c.urls = append(c.urls, strings.TrimRight(url, "/"))
	}
	return c, nil
}

func certificates(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, usage("--ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usage("--ca: %s holds no PEM certificate", file)
	}
	return pool, nil
}

// do sends the request to the members in turn, round after round, until one gives a
// definite answer or the timeout ends. The answer of a success is decoded into target,
// or kept as it is when target is a *[]byte.
func (c *client) do(ctx context.Context, r request, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.wait)
	defer cancel()
	var last error
	unknown := false
	for {
		for _, url := range c.urls {
			if ctx.Err() != nil {
				return gaveUp(r, last, unknown)
			}
			answer := c.attempt(ctx, url, r, target)
			if answer.definite(unknown) {
				return answer.err
			}
			last = answer.err
			unknown = unknown || (r.change && answer.unknown)
		}
		sleep(ctx, roundPause)
	}
}

func gaveUp(r request, last error, unknown bool) error {
	if last == nil {
		last = context.Canceled
	}
	if unknown {
		return fail(ExitUnknown, errors.WithMessage(last, "the outcome is unknown"))
	}
	if r.change {
		return fail(ExitError, errors.WithMessage(last, "nothing was changed"))
	}
	return fail(ExitError, last)
}

// answer is the result of one request to one member.
type answer struct {
	err error
	// retry is set when another member, or the same one later, may answer.
	retry bool
	// unknown is set when the change may have been made.
	unknown bool
	status  int
}

// definite tells whether the answer ends the request. After an attempt with an
// unknown outcome only an answer of the log itself does: a token that was revoked
// meanwhile, for example, says nothing of the earlier attempt.
func (a answer) definite(unknown bool) bool {
	if a.retry {
		return false
	}
	switch a.status {
	case http.StatusOK, http.StatusConflict, http.StatusForbidden, http.StatusUnprocessableEntity:
		return true
	}
	return !unknown
}

func (c *client) attempt(ctx context.Context, url string, r request, target any) answer {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+r.wait)
	defer cancel()
	var connected atomic.Bool
	req, err := http.NewRequestWithContext(traceConnection(ctx, &connected), r.method, url+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{err: usage("--api: %v", err)}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err, retry: true, unknown: connected.Load()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{err: err, retry: true, unknown: true}
	}
	return decodeAnswer(resp.StatusCode, data, target)
}

// traceConnection sets connected once there is a connection, with TLS if
// configured, that the request is then written to.
func traceConnection(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

func decodeAnswer(status int, data []byte, target any) answer {
	if page, ok := target.(*[]byte); ok && status == http.StatusOK {
		*page = data
		return answer{status: status}
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(data, target); err != nil {
			return answer{err: errors.Wrap(err, "decode the answer"), retry: true, unknown: true}
		}
		return answer{status: status}
	}
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		body.Error = http.StatusText(status)
	}
	return answer{
		err:     refused(status, body),
		retry:   status == http.StatusServiceUnavailable,
		unknown: body.Outcome == httpapi.OutcomeUnknown,
		status:  status,
	}
}
