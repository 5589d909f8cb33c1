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
	// attemptTimeout limits one HTTP round trip, not counting request.serverWait. It
	// is longer than the time limit of the API for a proposal.
	attemptTimeout = 15 * time.Second
	// retryDelay is the delay between two passes over all members, and between two
	// long polls. A new leader is elected within about 1 s.
	retryDelay = 300 * time.Millisecond
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 64 << 20
)

// client sends requests to the API of the control members, failing over from one
// member to the next.
type client struct {
	memberURLs []string
	token      string
	httpClient *http.Client
	// timeout limits a request with its retries, not counting request.serverWait, and
	// also the wait of waitInForce.
	timeout time.Duration
}

// request is sent unchanged to each member, so a retry carries the same edit ID.
type request struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
	// mutating is set when the request may change the cluster, so that its outcome is
	// unknown when no response arrives.
	mutating bool
	// serverWait is how long the API may hold a long poll before it responds.
	serverWait time.Duration
}

func newClient(memberURLs []string, tokenFile, caFile string, timeout time.Duration) (*client, error) {
	token, err := os.ReadFile(tokenFile) //nolint:gosec // path given by the operator
	if err != nil {
		return nil, usageErrorf("--token-file: %v", err)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile != "" {
		pool, err := loadCertPool(caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c := &client{token: strings.TrimSpace(string(token)), httpClient: &http.Client{Transport: transport}, timeout: timeout}
	for _, memberURL := range memberURLs {
		c.memberURLs = append(c.memberURLs, strings.TrimRight(memberURL, "/"))
	}
	return c, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file) //nolint:gosec // path given by the operator
	if err != nil {
		return nil, usageErrorf("--ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usageErrorf("--ca: %s contains no PEM certificate", file)
	}
	return pool, nil
}

// do sends the request to the members in turn, over and over, until one returns a final
// response or the timeout expires. The body of a successful response is decoded into
// target, or stored undecoded when target is a *[]byte.
func (c *client) do(ctx context.Context, r request, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.serverWait)
	defer cancel()
	var lastErr error
	outcomeUnknown := false
	for {
		for _, memberURL := range c.memberURLs {
			if ctx.Err() != nil {
				return retriesExhaustedError(r, lastErr, outcomeUnknown)
			}
			result := c.attempt(ctx, memberURL, r, target)
			if result.final(outcomeUnknown) {
				return result.err
			}
			lastErr = result.err
			outcomeUnknown = outcomeUnknown || (r.mutating && result.outcomeUnknown)
		}
		sleep(ctx, retryDelay)
	}
}

// retriesExhaustedError returns the error of a request that got no final response in
// time. lastErr is the error of the last attempt, nil when there was none.
func retriesExhaustedError(r request, lastErr error, outcomeUnknown bool) error {
	if lastErr == nil {
		lastErr = context.Canceled
	}
	if outcomeUnknown {
		return withExitCode(ExitUnknown, errors.WithMessage(lastErr, "the outcome of the change is unknown"))
	}
	if r.mutating {
		return withExitCode(ExitError, errors.WithMessage(lastErr, "nothing was changed"))
	}
	return withExitCode(ExitError, lastErr)
}

// attemptResult is the result of sending a request to one member once.
type attemptResult struct {
	err error
	// retryable is set when the request may succeed at another member, or at the same
	// one later.
	retryable bool
	// outcomeUnknown is set when the change may have been made.
	outcomeUnknown bool
	// status is the HTTP status code, 0 when no complete and valid response arrived.
	status int
}

// final reports whether the result ends the request. After an earlier attempt with an
// unknown outcome, only a status that the replicated log decides on is final. Any other
// one, such as 401 for a token that was revoked meanwhile, does not tell whether the
// earlier attempt made the change.
func (r attemptResult) final(outcomeUnknown bool) bool {
	if r.retryable {
		return false
	}
	switch r.status {
	case http.StatusOK, http.StatusConflict, http.StatusForbidden, http.StatusUnprocessableEntity:
		return true
	}
	return !outcomeUnknown
}

func (c *client) attempt(ctx context.Context, memberURL string, r request, target any) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+r.serverWait)
	defer cancel()
	var connected atomic.Bool
	req, err := http.NewRequestWithContext(withConnectionTrace(ctx, &connected), r.method, memberURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return attemptResult{err: usageErrorf("--api: %v", err)}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return attemptResult{err: err, retryable: true, outcomeUnknown: connected.Load()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return attemptResult{err: err, retryable: true, outcomeUnknown: true}
	}
	return decodeResponse(resp.StatusCode, data, target)
}

// withConnectionTrace returns a context that sets connected once the request has a
// connection to be written to, after the handshake when TLS is used.
func withConnectionTrace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

func decodeResponse(status int, data []byte, target any) attemptResult {
	if rawBody, ok := target.(*[]byte); ok && status == http.StatusOK {
		*rawBody = data
		return attemptResult{status: status}
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(data, target); err != nil {
			return attemptResult{err: errors.Wrap(err, "decode the response"), retryable: true, outcomeUnknown: true}
		}
		return attemptResult{status: status}
	}
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		body.Error = http.StatusText(status)
	}
	return attemptResult{
		err:            responseError(status, body),
		retryable:      status == http.StatusServiceUnavailable,
		outcomeUnknown: body.Outcome == httpapi.OutcomeUnknown,
		status:         status,
	}
}
