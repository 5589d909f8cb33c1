package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":"the answer cannot be encoded","reason":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected. It can repeat its request.
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) {
	if body.Outcome != "" {
		w.Header().Set(httpapi.HeaderOutcome, body.Outcome)
	}
	writeJSON(w, status, body)
}

// busyError returns the body of the response to a request beyond a concurrency limit.
func busyError() ErrorBody {
	return ErrorBody{Error: "too many requests are being served", Reason: ReasonBusy, Outcome: httpapi.OutcomeNotRun}
}

func writeBadRequest(w http.ResponseWriter, problem string) {
	writeError(w, http.StatusBadRequest, ErrorBody{Error: problem, Reason: ReasonBadRequest})
}

func writeNotConfigured(w http.ResponseWriter, feature string) {
	writeError(w, http.StatusNotImplemented, ErrorBody{Error: feature + " is not configured", Reason: ReasonNotConfigured})
}

// writeReplicationError writes the response to a change or linearizable read that has no
// result from the replicated log. Only ErrNotLeader guarantees that a change was not made.
func writeReplicationError(w http.ResponseWriter, err error, isChange bool) {
	body := ErrorBody{Error: "no quorum: the read cannot be confirmed", Reason: ReasonNoQuorum}
	switch {
	case isChange && errors.Is(err, replica.ErrNotLeader):
		body.Error = "no quorum: the change was not made"
		body.Outcome = httpapi.OutcomeNotRun
	case isChange:
		body.Error = "unknown outcome, resend with the same " + HeaderEditID
		body.Outcome = httpapi.OutcomeUnknown
	}
	writeError(w, http.StatusServiceUnavailable, body)
}

// rejectedEdits maps the outcome of a rejected edit to the status and reason of the
// response.
var rejectedEdits = map[document.Outcome]struct {
	status int
	reason string
}{
	document.Conflict:     {http.StatusConflict, ReasonConflict},
	document.EditIDReused: {http.StatusConflict, ReasonEditIDReused},
	document.Forbidden:    {http.StatusForbidden, ReasonForbidden},
	document.Invalid:      {http.StatusUnprocessableEntity, ReasonInvalid},
	document.Malformed:    {http.StatusBadRequest, ReasonBadRequest},
}

// writeResult writes the response to an edit or its dry run.
func writeResult(w http.ResponseWriter, result document.Result, dryRun bool) {
	if result.Outcome == document.Accepted {
		w.Header().Set("ETag", etag(result.Version))
		writeJSON(w, http.StatusOK, EditBody{Revision: result.Revision, Version: result.Version, DryRun: dryRun})
		return
	}
	rejection, known := rejectedEdits[result.Outcome]
	if !known {
		rejection.status = http.StatusInternalServerError
		rejection.reason = string(result.Outcome)
	}
	body := ErrorBody{Error: result.Problem, Reason: rejection.reason, Field: result.Field}
	if result.Outcome == document.Conflict {
		body.Version = &result.Version
		w.Header().Set("ETag", etag(result.Version))
	}
	writeError(w, rejection.status, body)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
