package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// caller is the authenticated team of a request.
type caller struct {
	team  string
	admin bool
}

// handler serves an authenticated request.
type handler func(w http.ResponseWriter, r *http.Request, c caller)

// requireToken passes requests with the token of a team to next and rejects all others.
func (a *api) requireToken(next handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		view := a.Documents.View()
		if view.Revision == 0 {
			writeError(w, http.StatusServiceUnavailable, ErrorBody{
				Error:  "this member has no document yet",
				Reason: ReasonNoDocument,
			})
			return
		}
		c, ok := authenticate(view.Document, r)
		if !ok && a.mayLackToken() {
			writeError(w, http.StatusServiceUnavailable, ErrorBody{
				Error:  "this member lacks the latest state and cannot check the token",
				Reason: ReasonNoQuorum,
			})
			return
		}
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, ErrorBody{
				Error:  "a bearer token of a team is required",
				Reason: ReasonUnauthorized,
			})
			return
		}
		next(w, r, c)
	})
}

// mayLackToken reports whether this member may lack a token that is committed, because it
// has not applied every committed command or has no contact with a quorum.
func (a *api) mayLackToken() bool {
	status := a.Proposer.Status()
	return !status.QuorumContact || status.Applied < status.Commit
}

// authenticate returns the team whose token the request has. It compares the token's
// digest with those of all teams, so that the duration does not reveal whether or where
// it matches.
func authenticate(doc *document.Document, r *http.Request) (caller, bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return caller{}, false
	}
	digest := TokenDigest(token)
	found := caller{}
	matched := false
	for name, team := range doc.Teams {
		for _, teamDigest := range team.TokenSHA256 {
			if subtle.ConstantTimeCompare([]byte(teamDigest), []byte(digest)) == 1 {
				found = caller{team: name, admin: team.Admin}
				matched = true
			}
		}
	}
	return found, matched
}

// TokenDigest returns the hexadecimal SHA-256 digest of a token, which the section of a
// team holds instead of the token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
