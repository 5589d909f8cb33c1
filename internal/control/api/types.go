package api

import (
	"encoding/json"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// HeaderEditID identifies an edit; a resend carries the same value.
const HeaderEditID = "Edit-Id"

// The values of ErrorBody.Reason.
const (
	ReasonUnauthorized  = "unauthorized"
	ReasonForbidden     = "forbidden"
	ReasonConflict      = "conflict"
	ReasonEditIDReused  = "edit_id_reused"
	ReasonInvalid       = "invalid"
	ReasonPrecondition  = "precondition_required"
	ReasonBadRequest    = "bad_request"
	ReasonNotFound      = "not_found"
	ReasonTooLarge      = "too_large"
	ReasonNoQuorum      = "no_quorum"
	ReasonNoDocument    = "no_document"
	ReasonBusy          = "busy"
	ReasonNotConfigured = "not_configured"
)

// ErrorBody is the JSON body of every error.
type ErrorBody struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
	// Outcome is not-run or unknown for a change that was not answered by the log.
	Outcome string `json:"outcome,omitempty"`
	// Field is the path of the invalid field.
	Field string `json:"field,omitempty"`
	// Version is the section's current version after a conflict; 0 when the
	// section does not exist.
	Version *uint64 `json:"version,omitempty"`
}

// DocumentBody answers GET /v1/document.
type DocumentBody struct {
	Revision uint64                 `json:"revision"`
	Sections []document.SectionInfo `json:"sections"`
	Document *document.Document     `json:"document"`
}

// SectionBody answers GET /v1/sections/{path}.
type SectionBody struct {
	document.SectionInfo
	// Revision of the whole document at the time of the answer.
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// EditBody answers an accepted PUT or DELETE, and a dry run.
type EditBody struct {
	Revision uint64 `json:"revision"`
	// Version is the section's new version, 0 after its removal.
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dry_run,omitempty"`
}

// HistoryBody answers GET /v1/history, latest change first.
type HistoryBody struct {
	Changes []document.Change `json:"changes"`
}

// StatusBody answers GET /v1/status.
type StatusBody struct {
	Revision uint64         `json:"revision"`
	Cluster  replica.Status `json:"cluster"`
	Fleet    FleetStatus    `json:"fleet"`
}

// FleetStatus describes nodes and upstreams.
type FleetStatus struct {
	// Stale is set when the list is kept from before leases or quorum were lost.
	Stale     bool       `json:"stale"`
	Nodes     []Node     `json:"nodes"`
	Upstreams []Upstream `json:"upstreams"`
}

// Node is a node with a lease.
type Node struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Revision in force at the node.
	Revision uint64 `json:"revision"`
	// Lagging is set when the revision is older than the member's.
	Lagging bool `json:"lagging"`
}

// Upstream is an announced upstream.
type Upstream struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Node     string `json:"node"`
	// State is warm, cold or leaving.
	State string `json:"state"`
}

// InForce answers GET /v1/revisions/{n}/in-force.
type InForce struct {
	Revision uint64 `json:"revision"`
	// InForce is set when every node with a lease has the revision or a later one.
	InForce bool `json:"in_force"`
	// Nodes is the number of nodes with a lease.
	Nodes int `json:"nodes"`
	// Lagging counts the nodes with an older revision.
	Lagging int `json:"lagging"`
	// LaggingNodes names some of them.
	LaggingNodes []string `json:"lagging_nodes,omitempty"`
	// Stale is as in FleetStatus.
	Stale bool `json:"stale"`
}
