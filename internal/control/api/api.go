// Package api serves the operators' HTTP interface of a control member.
//
// Every request, except for metrics, needs a bearer token of a team. A team can read
// everything except the token digests of other teams, and edit only its own sections.
// Reads are linearizable unless the query has stale=1. Tokens are checked against this
// member's applied state, so a member without a quorum may still accept a revoked token
// for stale reads, but not for edits, which need a quorum.
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
	// proposalTimeout bounds a proposal or a linearizable read.
	proposalTimeout = 10 * time.Second
	// MaxWait bounds the duration of a long poll.
	MaxWait = 30 * time.Second
	// maxConcurrentRequests bounds the requests in progress; further ones get 503.
	maxConcurrentRequests = 512
	// maxLongPolls bounds the long polls in progress. It is less than
	// maxConcurrentRequests, so that long polls never block edits.
	maxLongPolls = 256
)

// Documents provides the document as applied on this member.
type Documents interface {
	View() *document.View
	// RolloutProgress returns the progress of the latest rollout of a service, false
	// without one.
	RolloutProgress(service string) (document.RolloutProgress, bool)
}

// Fleet provides the nodes and announced upstreams that are known to the control members.
type Fleet interface {
	// Status returns the nodes and upstreams.
	Status() FleetStatus
	// WaitInForce returns once the revision, or a later one, is in force at every node
	// with a lease, or when ctx ends, with the state at that time.
	WaitInForce(ctx context.Context, revision uint64) InForce
}

// Membership changes the members of the replicated log. Both methods return once the
// change is committed and are idempotent. They return the errors of replica.Proposer; any
// other error means that the change was rejected.
type Membership interface {
	// AddMember adds a learner, which is promoted to a voter once it has caught up.
	AddMember(ctx context.Context, member replica.Member) error
	RemoveMember(ctx context.Context, id uint64) error
}

// Config holds the dependencies of the API. Proposer and Documents are required.
type Config struct {
	Proposer  replica.Proposer
	Documents Documents
	// Fleet may be nil. The status then has no nodes, and long polls get 501.
	Fleet Fleet
	// Membership may be nil. Membership changes then get 501.
	Membership Membership
	// Burn serves GET /v1/burn and /v1/burn.html, the report on error budgets, to every
	// team. If nil, they get 501.
	Burn http.Handler
	// Metrics serves GET /metrics without a token. If nil, it gets 404.
	Metrics http.Handler
	// RolloutTerms are the limits of the rollouts that are started through this member.
	RolloutTerms document.RolloutTerms
	// Logger receives one message for each edit and each membership change; nil
	// discards them.
	Logger log.Logger
	// Now returns the time that commands carry; nil means time.Now.
	Now func() time.Time
}

type api struct {
	Config
	operations *Operations
	// requestSlots and longPollSlots are counting semaphores.
	requestSlots  chan struct{}
	longPollSlots chan struct{}
}

// New returns the handler of the API. It returns an error if a required field of the
// configuration is nil.
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
		operations:    NewOperations(config.Proposer, config.Documents, config.Now, config.RolloutTerms),
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
	handle(http.MethodPost, "/v1/rollouts", a.startRollout)
	handle(http.MethodGet, "/v1/rollouts", a.listRollouts)
	handle(http.MethodGet, "/v1/rollouts/{service}", a.getRollout)
	handle(http.MethodPost, "/v1/members", a.addMember)
	handle(http.MethodDelete, "/v1/members/{id:[0-9]+}", a.removeMember)
	handle(http.MethodGet, "/v1/burn", a.getBurn)
	handle(http.MethodGet, "/v1/burn.html", a.getBurn)
	return router
}

// limitRequests rejects requests beyond maxConcurrentRequests without queueing them.
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
