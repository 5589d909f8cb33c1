package api

import (
	"encoding/json"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// HeaderEditID is the request header that identifies an edit. A retry carries the same
// value.
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
	// Outcome is not-run or unknown for a change without a result from the replicated
	// log, and not-run for a request beyond a concurrency limit.
	Outcome string `json:"outcome,omitempty"`
	// Field is the path of the invalid field.
	Field string `json:"field,omitempty"`
	// Version is the section's current version after a conflict, 0 if the section does
	// not exist.
	Version *uint64 `json:"version,omitempty"`
}

// DocumentBody is the response to GET /v1/document.
type DocumentBody struct {
	Revision uint64                 `json:"revision"`
	Sections []document.SectionInfo `json:"sections"`
	Document *document.Document     `json:"document"`
}

// SectionBody is the response to GET /v1/sections/{path}.
type SectionBody struct {
	document.SectionInfo
	// Revision is that of the whole document at the time of the read.
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body"`
}

// EditBody is the response to an accepted PUT or DELETE, or its dry run.
type EditBody struct {
	Revision uint64 `json:"revision"`
	// Version is the section's new version, 0 if it was removed.
	Version uint64 `json:"version"`
	DryRun  bool   `json:"dry_run,omitempty"`
}

// HistoryBody is the response to GET /v1/history, with the latest change first.
type HistoryBody struct {
	Changes []document.Change `json:"changes"`
}

// StatusBody is the response to GET /v1/status.
type StatusBody struct {
	Revision uint64         `json:"revision"`
	Cluster  replica.Status `json:"cluster"`
	Fleet    FleetStatus    `json:"fleet"`
}

// FleetStatus holds the nodes and upstreams that a member knows.
type FleetStatus struct {
	// Stale is set while the member does not expire leases (after its start, a pause of
	// its process, a loss of contact with a quorum, or many late nodes at once), so that
	// the lists may contain nodes and upstreams that no longer run.
	Stale     bool       `json:"stale"`
	Nodes     []Node     `json:"nodes"`
	Upstreams []Upstream `json:"upstreams"`
}

// Node is a node with a lease.
type Node struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Revision is the document revision in force at the node.
	Revision uint64 `json:"revision"`
	// Lagging is set if the revision is older than that applied on the member.
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

// InForce is the response to GET /v1/revisions/{n}/in-force.
type InForce struct {
	Revision uint64 `json:"revision"`
	// InForce is set if every node with a lease has the revision or a later one.
	InForce bool `json:"in_force"`
	// Nodes is the number of nodes with a lease.
	Nodes int `json:"nodes"`
	// Lagging counts the nodes with an older revision.
	Lagging int `json:"lagging"`
	// LaggingNodes holds the IDs of some lagging nodes.
	LaggingNodes []string `json:"lagging_nodes,omitempty"`
	// Stale has the meaning of FleetStatus.Stale.
	Stale bool `json:"stale"`
}
