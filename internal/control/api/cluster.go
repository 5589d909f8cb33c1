package api

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/strictjson"
)

// maxMemberBodyBytes bounds the size of the body of POST /v1/members.
const maxMemberBodyBytes = 4 << 10

// getStatus responds with this member's local state, so that it works without a quorum.
func (a *api) getStatus(w http.ResponseWriter, _ *http.Request, _ caller) {
	status := StatusBody{Revision: a.Documents.View().Revision, Cluster: a.Proposer.Status()}
	if a.Fleet != nil {
		status.Fleet = a.Fleet.Status()
	}
	writeJSON(w, http.StatusOK, status)
}

func (a *api) getInForce(w http.ResponseWriter, r *http.Request, _ caller) {
	if a.Fleet == nil {
		writeNotConfigured(w, "the list of nodes")
		return
	}
	revision, err := strconv.ParseUint(mux.Vars(r)["revision"], 10, 64)
	if err != nil {
		writeBadRequest(w, "the revision is too large")
		return
	}
	wait, ok := parseWait(r)
	if !ok {
		writeBadRequest(w, "wait must be a duration between 0s and 30s")
		return
	}
	select {
	case a.longPollSlots <- struct{}{}:
		defer func() { <-a.longPollSlots }()
	default:
		writeError(w, http.StatusServiceUnavailable, busyError())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	writeJSON(w, http.StatusOK, a.Fleet.WaitInForce(ctx, revision))
}

// parseWait returns the duration of the long poll in the query, 0 by default, and whether
// it is valid.
func parseWait(r *http.Request) (time.Duration, bool) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, true
	}
	wait, err := time.ParseDuration(text)
	return wait, err == nil && wait >= 0 && wait <= MaxWait
}

func (a *api) addMember(w http.ResponseWriter, r *http.Request, c caller) {
	if !a.checkMembershipRights(w, c) {
		return
	}
	var member replica.Member
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMemberBodyBytes))
	if err == nil {
		err = strictjson.UnmarshalKnown(data, &member)
	}
	if err != nil {
		writeBadRequest(w, `the body must be {"id": NUMBER, "address": "IP:port"}`)
		return
	}
	if member.ID == 0 {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: "must not be 0", Reason: ReasonInvalid, Field: "id"})
		return
	}
	if host, _, err := net.SplitHostPort(member.Address); err != nil || net.ParseIP(host) == nil {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: "must be IP:port", Reason: ReasonInvalid, Field: "address"})
		return
	}
	member.Learner = true
	a.changeMembership(w, r, c, "add", member.ID, func(ctx context.Context) error {
		return a.Membership.AddMember(ctx, member)
	})
}

func (a *api) removeMember(w http.ResponseWriter, r *http.Request, c caller) {
	if !a.checkMembershipRights(w, c) {
		return
	}
	id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	if err != nil {
		writeBadRequest(w, "the ID is too large")
		return
	}
	a.changeMembership(w, r, c, "remove", id, func(ctx context.Context) error {
		return a.Membership.RemoveMember(ctx, id)
	})
}

// checkMembershipRights reports whether the caller may change the membership and the
// membership is configured. If not, it has written the error response.
func (a *api) checkMembershipRights(w http.ResponseWriter, c caller) bool {
	if !c.admin {
		writeError(w, http.StatusForbidden, ErrorBody{Error: "only an admin team changes members", Reason: ReasonForbidden})
		return false
	}
	if a.Membership == nil {
		writeNotConfigured(w, "change of members")
		return false
	}
	return true
}

func (a *api) changeMembership(w http.ResponseWriter, r *http.Request, c caller, action string, id uint64, change func(context.Context) error) {
	ctx, cancel := context.WithTimeout(r.Context(), proposalTimeout)
	defer cancel()
	err := change(ctx)
	_ = level.Info(a.Logger).Log("msg", "membership change", "team", c.team, "action", action, "id", id, "err", err)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, a.Proposer.Status())
	case isReplicationError(err) && !errors.Is(err, replica.ErrNotLeader):
		// The member's ID makes the change idempotent, so it needs no edit ID.
		writeError(w, http.StatusServiceUnavailable, ErrorBody{
			Error: "unknown outcome, send the same change again", Reason: ReasonNoQuorum, Outcome: httpapi.OutcomeUnknown,
		})
	case isReplicationError(err):
		writeReplicationError(w, err, true)
	default:
		writeError(w, http.StatusConflict, ErrorBody{Error: err.Error(), Reason: ReasonConflict})
	}
}

// isReplicationError reports whether err is an error of replica.Proposer or of a context.
// Any other error of Membership means that the change was rejected.
func isReplicationError(err error) bool {
	for _, target := range []error{
		replica.ErrNotLeader, replica.ErrOutcomeUnknown, replica.ErrStopped,
		context.Canceled, context.DeadlineExceeded,
	} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func (a *api) getBurn(w http.ResponseWriter, r *http.Request, _ caller) {
	if a.Burn == nil {
		writeNotConfigured(w, "the burn report")
		return
	}
	a.Burn.ServeHTTP(w, r)
}
