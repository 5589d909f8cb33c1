package httpapi

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSignals guards against a limit that is read from a malformed value, and against a
// malformed limit that hides that the upstream is leaving.
func TestSignals(t *testing.T) {
	cases := []struct {
		name     string
		headers  map[string]string
		expected UpstreamSignals
		invalid  bool
	}{
		{name: "none"},
		{name: "limit", headers: map[string]string{HeaderRateLimit: " 3.9 "}, expected: UpstreamSignals{IsRateLimited: true, RateLimit: 3.9}},
		{name: "limit of 0", headers: map[string]string{HeaderRateLimit: "0"}, expected: UpstreamSignals{IsRateLimited: true}},
		{name: "leaving", headers: map[string]string{HeaderLeaving: "1"}, expected: UpstreamSignals{Leaving: true}},
		{name: "not leaving", headers: map[string]string{HeaderLeaving: "0"}},
		{name: "negative", headers: map[string]string{HeaderRateLimit: "-1", HeaderLeaving: "1"}, expected: UpstreamSignals{Leaving: true}, invalid: true},
		{name: "not a number", headers: map[string]string{HeaderRateLimit: "NaN"}, invalid: true},
		{name: "infinite", headers: map[string]string{HeaderRateLimit: "1e999"}, invalid: true},
		{name: "text", headers: map[string]string{HeaderRateLimit: "many"}, invalid: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			header := http.Header{}
			for name, value := range c.headers {
				header.Set(name, value)
			}
			signals, err := DefaultDialect().Signals(header)
			assert.Equal(t, signals, c.expected)
			assert.Equal(t, err != nil, c.invalid)
		})
	}
}
