package api

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/strictjson"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// defaultHistoryLimit and maxHistoryLimit bound the number of changes in a response.
	defaultHistoryLimit = 100
	maxHistoryLimit     = 1000
)

// viewForRead makes a linearizable read of the document, or a read of this member's
// applied state if the query has stale=1. After an error it has written the error response
// and returns false.
func (a *api) viewForRead(w http.ResponseWriter, r *http.Request) (*document.View, bool) {
	if r.URL.Query().Get("stale") != "1" {
		ctx, cancel := context.WithTimeout(r.Context(), proposalTimeout)
		defer cancel()
		if _, err := a.Proposer.ReadIndex(ctx); err != nil {
			writeReplicationError(w, err, false)
			return nil, false
		}
	}
	return a.Documents.View(), true
}

func (a *api) getDocument(w http.ResponseWriter, r *http.Request, c caller) {
	view, ok := a.viewForRead(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, DocumentBody{
		Revision: view.Revision,
		Sections: view.Sections(),
		Document: view.Document.Redacted(c.team),
	})
}

func (a *api) getSection(w http.ResponseWriter, r *http.Request, c caller) {
	view, ok := a.viewForRead(w, r)
	if !ok {
		return
	}
	info, body, found := view.Section(mux.Vars(r)["path"], c.team)
	if !found {
		writeError(w, http.StatusNotFound, ErrorBody{Error: "no such section", Reason: ReasonNotFound})
		return
	}
	w.Header().Set("ETag", etag(info.Version))
	if r.Header.Get("If-None-Match") == etag(info.Version) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, SectionBody{SectionInfo: info, Revision: view.Revision, Body: body})
}

func (a *api) putSection(w http.ResponseWriter, r *http.Request, c caller) {
	edit, ok := newEdit(w, r, c)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxSectionBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, ErrorBody{Error: "a section has at most 64 KiB", Reason: ReasonTooLarge})
		return
	}
	if err != nil {
		writeBadRequest(w, "the body cannot be read")
		return
	}
	if err := strictjson.Check(body); err != nil {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: err.Error(), Reason: ReasonInvalid, Field: edit.Section})
		return
	}
	edit.Body = body
	a.edit(w, r, edit)
}

func (a *api) deleteSection(w http.ResponseWriter, r *http.Request, c caller) {
	edit, ok := newEdit(w, r, c)
	if !ok {
		return
	}
	edit.Remove = true
	a.edit(w, r, edit)
}

// newEdit returns an edit with the section path, base version and edit ID of the request.
// If they are invalid, it has written the error response and returns false.
func newEdit(w http.ResponseWriter, r *http.Request, c caller) (document.Edit, bool) {
	edit := document.Edit{Team: c.team, Section: mux.Vars(r)["path"], EditID: r.Header.Get(HeaderEditID)}
	ifMatch := r.Header.Get("If-Match")
	if ifMatch == "" || edit.EditID == "" {
		writeError(w, http.StatusPreconditionRequired, ErrorBody{
			Error:  "If-Match with the section's version and " + HeaderEditID + " are required",
			Reason: ReasonPrecondition,
		})
		return edit, false
	}
	if len(edit.EditID) > document.MaxEditIDBytes {
		writeBadRequest(w, HeaderEditID+" has more than 128 bytes")
		return edit, false
	}
	base, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil {
		writeBadRequest(w, `If-Match must be one version, for example "7", or "0" to create the section`)
		return edit, false
	}
	edit.Base = base
	return edit, true
}

// edit proposes the edit, or makes a dry run if the query asks for one.
func (a *api) edit(w http.ResponseWriter, r *http.Request, edit document.Edit) {
	edit.AtMs = a.Now().UnixMilli()
	command, err := document.EncodeEdit(edit)
	var fieldErr *document.FieldError
	if errors.As(err, &fieldErr) {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: fieldErr.Problem, Reason: ReasonInvalid, Field: fieldErr.Path})
		return
	}
	if err != nil {
		writeBadRequest(w, "the edit cannot be encoded")
		return
	}
	if r.URL.Query().Get("dry_run") == "1" {
		if view, ok := a.viewForRead(w, r); ok {
			writeResult(w, view.DryRun(edit), true)
		}
		return
	}
	a.propose(w, r, edit, command)
}

func (a *api) propose(w http.ResponseWriter, r *http.Request, edit document.Edit, command []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), proposalTimeout)
	defer cancel()
	encodedResult, _, err := a.Proposer.Propose(ctx, command)
	logger := level.Info(a.Logger)
	if err != nil {
		_ = logger.Log("msg", "edit has no result from the replicated log", "team", edit.Team, "section", edit.Section, "edit_id", edit.EditID, "err", err)
		writeReplicationError(w, err, true)
		return
	}
	result, err := document.DecodeResult(encodedResult)
	if err != nil {
		writeReplicationError(w, err, true)
		return
	}
	_ = logger.Log("msg", "edit", "team", edit.Team, "section", edit.Section, "edit_id", edit.EditID,
		"outcome", string(result.Outcome), "revision", result.Revision, "version", result.Version)
	writeResult(w, result, false)
}

func (a *api) getHistory(w http.ResponseWriter, r *http.Request, _ caller) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxHistoryLimit {
			writeBadRequest(w, "limit must be between 1 and 1000")
			return
		}
		limit = number
	}
	view, ok := a.viewForRead(w, r)
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, HistoryBody{Changes: latestChanges(view.History(), r.URL.Query().Get("section"), limit)})
}

// latestChanges returns up to limit changes, the latest first. If section is not empty,
// it returns only the changes of that section.
func latestChanges(history []document.Change, section string, limit int) []document.Change {
	changes := []document.Change{}
	for i := len(history) - 1; i >= 0 && len(changes) < limit; i-- {
		if section == "" || history[i].Section == section {
			changes = append(changes, history[i])
		}
	}
	return changes
}
