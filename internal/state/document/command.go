package document

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Outcome tells what became of a command.
type Outcome string

const (
	// Accepted means that the document has the new content.
	Accepted Outcome = "accepted"
	// Conflict means that the section has another version than the edit's base.
	Conflict Outcome = "conflict"
	// Forbidden means that the team may not make the edit.
	Forbidden Outcome = "forbidden"
	// Invalid means that the resulting document would be invalid.
	Invalid Outcome = "invalid"
	// EditIDReused means that the team used the edit ID for another edit.
	EditIDReused Outcome = "edit_id_reused"
	// NotEmpty means that there is a document already, so a first one is refused.
	NotEmpty Outcome = "not_empty"
	// Malformed means that the command could not be decoded.
	Malformed Outcome = "malformed"
)

// Edit replaces, creates or removes one section.
type Edit struct {
	// EditID identifies the edit among those of the team; resends carry the same.
	EditID string `json:"edit_id"`
	// Team that makes the edit.
	Team string `json:"team"`
	// Section is the path, for example services/drafts.
	Section string `json:"section"`
	// Base is the version that the edit replaces, 0 to create the section.
	Base uint64 `json:"base"`
	// Remove removes the section; Body is then empty.
	Remove bool `json:"remove,omitempty"`
	// Body is the JSON form of the new content.
	Body json.RawMessage `json:"body,omitempty"`
	// AtMs is the time of the proposal in milliseconds since 1970.
	AtMs int64 `json:"at_ms"`
}

// Result of a command.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision of the whole document after the command.
	Revision uint64 `json:"revision"`
	// Version of the section: the new one, or the current one after a conflict.
	// It is 0 when the section does not exist.
	Version uint64 `json:"version"`
	// Field is the path of the invalid field.
	Field string `json:"field,omitempty"`
	// Problem says why the command was refused.
	Problem string `json:"problem,omitempty"`
}

// command is the form of every command in the log.
type command struct {
	Edit      *Edit      `json:"edit,omitempty"`
	Bootstrap *bootstrap `json:"bootstrap,omitempty"`
	Batch     *Batch     `json:"batch,omitempty"`
	Zone      *zoneOrder `json:"zone,omitempty"`
}

type bootstrap struct {
	Document json.RawMessage `json:"document"`
	AtMs     int64           `json:"at_ms"`
}

// EncodeEdit returns the command that makes the edit. It returns a *FieldError
// when the body is not JSON.
func EncodeEdit(edit Edit) ([]byte, error) {
	if !edit.Remove && !json.Valid(edit.Body) {
		return nil, &FieldError{edit.Section, "not valid JSON"}
	}
	data, err := json.Marshal(command{Edit: &edit})
	return data, errors.Wrap(err, "encode edit")
}

// EncodeBootstrap returns the command that sets the first document. The document
// must satisfy Parse.
func EncodeBootstrap(document []byte, at time.Time) ([]byte, error) {
	if _, err := Parse(document); err != nil {
		return nil, err
	}
	data, err := json.Marshal(command{Bootstrap: &bootstrap{document, at.UnixMilli()}})
	return data, errors.Wrap(err, "encode first document")
}

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := json.Unmarshal(data, &result)
	return result, errors.Wrap(err, "decode result of an edit")
}

// digest covers all content of the edit but its identity and its time, which
// differs between resends.
func (e Edit) digest() []byte {
	h := sha256.New()
	var base [9]byte
	binary.BigEndian.PutUint64(base[:8], e.Base)
	if e.Remove {
		base[8] = 1
	}
	h.Write(base[:])
	h.Write([]byte(e.Section))
	h.Write([]byte{0})
	h.Write(e.Body)
	return h.Sum(nil)
}

func invalid(err error) Result {
	var field *FieldError
	if errors.As(err, &field) {
		return Result{Outcome: Invalid, Field: field.Path, Problem: field.Problem}
	}
	return Result{Outcome: Invalid, Problem: err.Error()}
}
