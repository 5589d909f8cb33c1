// Package api serves the operators' HTTP interface of a control member.
//
// Every request needs a bearer token of a team. A team reads everything but the
// token digests of other teams, and edits only its own sections. Reads are
// confirmed by a quorum unless the query has stale=1. Tokens are checked against
// this member's applied state, so a member without a quorum may accept a token for
// stale reads that was revoked meanwhile; it cannot make edits.
package api

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// proposalTimeout bounds a proposal or a confirmed read.
	proposalTimeout = 10 * time.Second
	// MaxWait bounds the time of a long poll.
	MaxWait = 30 * time.Second
	// maxConcurrentRequests bounds the requests being served; further ones get 503.
	maxConcurrentRequests = 512
	// maxLongPolls bounds the long polls among them, so that they never block edits.
	maxLongPolls = 256
)

// Documents gives the applied state of the document.
type Documents interface {
	View() *document.View
}

// Fleet knows the nodes and announced upstreams of all control members.
type Fleet interface {
	// Status describes nodes and upstreams.
	Status() FleetStatus
	// WaitInForce returns when the revision, or a later one, is in force at every
	// node with a lease, or when ctx ends, with what is known then.
	WaitInForce(ctx context.Context, revision uint64) InForce
}

// Membership changes the members of the replicated log. Both calls return once the
// change is committed, and succeed when the change was made before. Errors are as
// those of replica.Proposer; any other error means that the change was refused.
type Membership interface {
	// AddMember adds a learner, which votes once it has caught up.
	AddMember(ctx context.Context, member replica.Member) error
	RemoveMember(ctx context.Context, id uint64) error
}

// Config holds what the API is built from. Proposer and Documents are required.
type Config struct {
	Proposer  replica.Proposer
	Documents Documents
	// Fleet may be nil; status then has no nodes and waits answer 501.
	Fleet Fleet
	// Membership may be nil; changes of members then answer 501.
	Membership Membership
	// Burn serves GET /v1/burn and /v1/burn.html to every team; nil answers 501.
	Burn http.Handler
	// Metrics serves GET /metrics without a token; nil answers 404.
	Metrics http.Handler
	// Logger gets one line for each edit; nil logs nothing.
	Logger log.Logger
	// Now gives the time of commands; nil means time.Now.
	Now func() time.Time
}

type api struct {
	Config
	requestSlots  chan struct{}
	longPollSlots chan struct{}
}

// New returns the handler of the API. It returns an error when the configuration
// lacks a required part.
func New(config Config) (http.Handler, error) {
	if config.Proposer == nil || config.Documents == nil {
		return nil, errors.New("api: Proposer and Documents are required")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	a := &api{
		Config:        config,
		requestSlots:  make(chan struct{}, maxConcurrentRequests),
		longPollSlots: make(chan struct{}, maxLongPolls),
	}
	return a.limitRequests(a.routes()), nil
}

func (a *api) routes() http.Handler {
	router := mux.NewRouter()
	if a.Metrics != nil {
		router.Handle("/metrics", a.Metrics).Methods(http.MethodGet)
	}
	handle := func(method, path string, h handler) {
		router.Handle(path, a.requireToken(h)).Methods(method)
	}
	handle(http.MethodGet, "/v1/document", a.getDocument)
	handle(http.MethodGet, "/v1/sections/{path:.+}", a.getSection)
	handle(http.MethodPut, "/v1/sections/{path:.+}", a.putSection)
	handle(http.MethodDelete, "/v1/sections/{path:.+}", a.deleteSection)
	handle(http.MethodGet, "/v1/history", a.getHistory)
	handle(http.MethodGet, "/v1/status", a.getStatus)
	handle(http.MethodGet, "/v1/revisions/{revision:[0-9]+}/in-force", a.getInForce)
	handle(http.MethodPost, "/v1/members", a.addMember)
	handle(http.MethodDelete, "/v1/members/{id:[0-9]+}", a.removeMember)
	handle(http.MethodGet, "/v1/burn", a.getBurn)
	handle(http.MethodGet, "/v1/burn.html", a.getBurn)
	return router
}

// limitRequests refuses requests beyond maxRequests without queueing them.
func (a *api) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.requestSlots <- struct{}{}:
			defer func() { <-a.requestSlots }()
			next.ServeHTTP(w, r)
		default:
			writeError(w, http.StatusServiceUnavailable, busyError())
		}
	})
}
