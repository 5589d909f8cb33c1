package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Outcome is the outcome of a command.
type Outcome string

const (
	// Accepted means that the document has the new content.
	Accepted Outcome = "accepted"
	// Conflict means that the section's version differs from the edit's base version.
	Conflict Outcome = "conflict"
	// Forbidden means that the team may not make the change.
	Forbidden Outcome = "forbidden"
	// Invalid means that the resulting document would be invalid.
	Invalid Outcome = "invalid"
	// EditIDReused means that the team already used the edit ID for a different edit.
	EditIDReused Outcome = "edit_id_reused"
	// NotEmpty means that a bootstrap was rejected because a document exists.
	NotEmpty Outcome = "not_empty"
	// Malformed means that the command could not be decoded or its edit ID is empty or
	// too long.
	Malformed Outcome = "malformed"
)

// Edit replaces, creates or removes one section.
type Edit struct {
	// EditID identifies the edit among those of the team. Resends of an edit carry the
	// same ID.
	EditID string `json:"edit_id"`
	// Team is the team that makes the edit.
	Team string `json:"team"`
	// Section is the path of the section, for example services/drafts.
	Section string `json:"section"`
	// Base is the version of the section that the edit replaces, 0 to create the section.
	Base uint64 `json:"base"`
	// Remove removes the section; Body is then empty.
	Remove bool `json:"remove,omitempty"`
	// Body is the new content of the section, encoded as JSON.
	Body json.RawMessage `json:"body,omitempty"`
	// AtMs is the time of the proposal as Unix time in milliseconds.
	AtMs int64 `json:"at_ms"`
}

// Result is the result of a command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the revision of the whole document after the command.
	Revision uint64 `json:"revision"`
	// Version is the version of the section: the new one, or the current one after a
	// conflict. It is 0 when the section does not exist.
	Version uint64 `json:"version"`
	// Field is the path of the invalid field.
	Field string `json:"field,omitempty"`
	// Problem says why the command was rejected.
	Problem string `json:"problem,omitempty"`
}

// command is the JSON structure of every command in the replicated log. One field is set.
type command struct {
	Edit      *Edit             `json:"edit,omitempty"`
	Bootstrap *bootstrap        `json:"bootstrap,omitempty"`
	Batch     *Batch            `json:"batch,omitempty"`
	Zone      *zoneStateCommand `json:"zone,omitempty"`
	// RolloutStart and RolloutAdvance are unknown to versions without rollouts.
	RolloutStart   *RolloutStart   `json:"rollout_start,omitempty"`
	RolloutAdvance *RolloutAdvance `json:"rollout_advance,omitempty"`
}

// bootstrap sets the first document.
type bootstrap struct {
	Document json.RawMessage `json:"document"`
	AtMs     int64           `json:"at_ms"`
}

// EncodeEdit returns the command that makes the edit. It returns a *FieldError when
// the body is not valid JSON.
func EncodeEdit(edit Edit) ([]byte, error) {
	if !edit.Remove && !json.Valid(edit.Body) {
		return nil, &FieldError{edit.Section, "not valid JSON"}
	}
	data, err := json.Marshal(command{Edit: &edit})
	return data, errors.Wrap(err, "encode edit command")
}

// EncodeBootstrap returns the command that sets the first document. It returns the
// error of Parse when the document is invalid.
func EncodeBootstrap(document []byte, at time.Time) ([]byte, error) {
	if _, err := Parse(document); err != nil {
		return nil, err
	}
	data, err := json.Marshal(command{Bootstrap: &bootstrap{document, at.UnixMilli()}})
	return data, errors.Wrap(err, "encode bootstrap command")
}

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := json.Unmarshal(data, &result)
	return result, errors.Wrap(err, "decode result of a document command")
}

// digest returns the SHA-256 of the base version, removal flag, section and body. It
// leaves out team and edit ID, which identify the edit, and the time, which differs
// between resends.
func (e Edit) digest() []byte {
	h := sha256.New()
	var header [9]byte
	binary.BigEndian.PutUint64(header[:8], e.Base)
	if e.Remove {
		header[8] = 1
	}
	h.Write(header[:])
	h.Write([]byte(e.Section))
	h.Write([]byte{0})
	h.Write(e.Body)
	return h.Sum(nil)
}

// invalidResult returns the result of a command that was rejected with a validation error.
func invalidResult(err error) Result {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return Result{Outcome: Invalid, Field: fieldErr.Path, Problem: fieldErr.Problem}
	}
	return Result{Outcome: Invalid, Problem: err.Error()}
}
