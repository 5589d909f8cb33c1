package httpapi

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// UpstreamSignals is what an upstream states about itself in the headers of a response.
type UpstreamSignals struct {
	// IsRateLimited is set when the upstream states a rate limit.
	IsRateLimited bool
	// RateLimit is the number of requests per second that the upstream accepts from all nodes
	// together; 0 unless IsRateLimited is set.
	RateLimit float64
	// Leaving is set when the upstream states that it is leaving.
	Leaving bool
}

// Signals returns what the upstream states about itself in the headers of a response. For a
// rate limit that is not a finite number of at least 0, the error names the value; Leaving is
// valid nevertheless.
func (d *Dialect) Signals(response http.Header) (UpstreamSignals, error) {
	signals := UpstreamSignals{
		Leaving: d.Leaving != "" && strings.TrimSpace(response.Get(d.Leaving)) == LeavingValue,
	}
	if d.RateLimit == "" {
		return signals, nil
	}
	text := strings.TrimSpace(response.Get(d.RateLimit))
	if text == "" {
		return signals, nil
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return signals, errors.Errorf("%s: %q is not a number of requests per second", d.RateLimit, text)
	}
	signals.IsRateLimited, signals.RateLimit = true, perSecond
	return signals, nil
}
