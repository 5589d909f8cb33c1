package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chicorylever/chicorylever/internal/coordination/organisation"
	"github.com/chicorylever/chicorylever/internal/coordination/overload"
	"github.com/chicorylever/chicorylever/internal/node/directory"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/wire"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// maxKeyWait bounds the wait of a request without a known key for a revision that a peer
	// has stated. Control sends a revision to the nodes within about 60 ms, and a fetch from
	// a peer takes one round trip.
	maxKeyWait = 500 * time.Millisecond
	// keyWaitDivisor divides the remaining time of such a request; the wait is no longer than
	// the result.
	keyWaitDivisor = 3
	// keyRefusalLogInterval is the minimum interval between log lines about refused keys.
	keyRefusalLogInterval = time.Second
)

// keyError refuses a request that has no valid key. Its text never contains a key.
type keyError struct {
	// reason is one of the httpapi.ReasonKey constants.
	reason string
	// organisation is the one that the key belonged to when the request arrived, empty when
	// that is not known.
	organisation string
}

var keyProblems = map[string]string{
	httpapi.ReasonKeyMissing:  "the request needs the key of an organisation",
	httpapi.ReasonKeyRepeated: "the request has several keys",
	httpapi.ReasonKeyUnknown:  "the key belongs to no organisation",
	httpapi.ReasonKeyRemoved:  "the key has been removed",
}

// Error implements error.
func (e *keyError) Error() string { return keyProblems[e.reason] }

// isKeyError reports whether err refuses a request for its key.
func isKeyError(err error) bool {
	var refused *keyError
	return errors.As(err, &refused)
}

// authenticate sets the organisation of a call. A nested call has that of its parent, and
// needs no key: upstreams do not receive the keys of the requests that they process. It
// returns a *keyError for a request that needs a key and has none that is valid.
func (n *Node) authenticate(c *call) error {
	c.parent, c.isNested = n.upstream.requestTracker.Parent(c.request.Header.Get(n.dialect.RequestID))
	if c.isNested {
		c.organisation = c.parent.Organisation
	}
	if c.view.Organisations.IsEmpty() || n.dialect.APIKey == "" || (c.route != nil && c.route.Public) {
		return nil
	}
	keys := c.request.Header.Values(n.dialect.APIKey)
	switch {
	case len(keys) == 0 && c.isNested:
		return nil
	case len(keys) == 0 || keys[0] == "":
		return &keyError{reason: httpapi.ReasonKeyMissing}
	case len(keys) > 1:
		return &keyError{reason: httpapi.ReasonKeyRepeated}
	}
	c.keyDigest = document.DigestKey(keys[0])
	if c.organisation, c.hasKey = c.view.Organisations.AuthenticateDigest(c.keyDigest); !c.hasKey {
		return &keyError{reason: httpapi.ReasonKeyUnknown}
	}
	return nil
}

// newAuthenticatedCall returns the call of a request. A request that the view refuses for its
// key is checked again with the highest revision that a peer has stated, which may have the
// key.
func (n *Node) newAuthenticatedCall(view *directory.View, r *http.Request, arrivedAt time.Time) (*call, *directory.View, error) {
	c, err := n.newCall(view, r, arrivedAt)
	if !isKeyError(err) {
		return c, view, err
	}
	newer := n.awaitObservedRevision(r, arrivedAt)
	if newer.Revision <= view.Revision {
		return c, view, err
	}
	c, err = n.newCall(newer, r, arrivedAt)
	return c, newer, err
}

// awaitObservedRevision waits for the highest revision that a peer has stated, until at most
// maxKeyWait after the arrival of the request.
func (n *Node) awaitObservedRevision(r *http.Request, arrivedAt time.Time) *directory.View {
	remaining, err := n.requestTimeout(r, defaultCallerTimeout)
	if err != nil {
		remaining = defaultCallerTimeout
	}
	deadline := arrivedAt.Add(min(maxKeyWait, remaining/keyWaitDivisor))
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	return n.directory.AwaitObserved(ctx)
}

// checkKeyAgain returns a *keyError if the key of a call has been removed since the call
// arrived. It is called before the first attempt, since the body may have taken long to
// arrive.
func (c *call) checkKeyAgain() error {
	if !c.hasKey {
		return nil
	}
	if name, ok := c.view.Organisations.AuthenticateDigest(c.keyDigest); !ok || name != c.organisation {
		return &keyError{reason: httpapi.ReasonKeyRemoved, organisation: c.organisation}
	}
	return nil
}

// addOrganisationHeader adds the organisation to the headers for the upstream if the caller
// has sent its key.
func (n *Node) addOrganisationHeader(c *call) {
	if c.hasKey && n.dialect.Organisation != "" {
		c.headers = append(c.headers, &wire.Header{Name: proto.String(n.dialect.Organisation), Values: []string{c.organisation}})
	}
}

// ownPriority returns the priority of a call, before that of a parent request applies.
func (c *call) ownPriority() int {
	routePriority := 0
	if c.route != nil {
		routePriority = c.route.Priority
	}
	if !c.hasKey {
		return routePriority
	}
	configured, _ := c.view.Organisations.Get(c.organisation)
	return organisation.Rank(configured.Priority, routePriority)
}

// nestedPriority returns the priority of a nested call: that of its parent request if this
// runs on behalf of an organisation, otherwise the lower one of its own and its parent's.
func (c *call) nestedPriority(parent *overload.Parent) int {
	if parent.Organisation != "" {
		return parent.Priority
	}
	return max(c.priority, parent.Priority)
}

// refuseKey responds to a request that has no valid key, and counts and logs it.
func (n *Node) refuseKey(w http.ResponseWriter, r *http.Request, refused *keyError, view *directory.View, arrivedAt time.Time) {
	n.metrics.keyRefusals[refused.reason].Inc()
	_, requestID := parseRequestID(r, n.dialect.RequestID)
	_ = n.keyLogger.Log("msg", "request refused for its key", "reason", refused.reason, "organisation", refused.organisation,
		"request", requestID, "host", r.Host, "path", r.URL.Path, "revision", view.Revision,
		"waited_ms", time.Since(arrivedAt).Milliseconds())
	w.Header().Set("WWW-Authenticate", "ApiKey")
	writeError(w, http.StatusUnauthorized, httpapi.ErrorBody{
		Error: refused.Error(), Outcome: httpapi.OutcomeNotRun, Reason: refused.reason,
	})
}
