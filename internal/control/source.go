package control

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// documentSource distributes the replicated document.
type documentSource struct {
	machine  *document.Machine
	proposer replica.Proposer
}

// Confirm returns once everything accepted before the call is applied here.
func (s documentSource) Confirm(ctx context.Context) error {
	_, err := s.proposer.Confirm(ctx)
	return err
}

// Current returns the revision and the document without token digests.
func (s documentSource) Current() (revision uint64, data []byte) {
	view := s.machine.View()
	if view.Revision == 0 {
		return 0, nil
	}
	data, err := json.Marshal(view.Document.Redacted(""))
	if err != nil {
		panic(err) // a document holds only strings, numbers and maps of them
	}
	return view.Revision, data
}

// Changed returns a channel that is closed at the next revision.
func (s documentSource) Changed() <-chan struct{} { return s.machine.View().Replaced() }

// bootstrapDocument proposes the first document of a new cluster. It has no
// effect when there is one already.
func bootstrapDocument(ctx context.Context, proposer replica.Proposer, path string) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Wrap(err, "bootstrap_document")
	}
	command, err := document.EncodeBootstrap(data, time.Now())
	if err != nil {
		return errors.WithMessage(err, "bootstrap_document")
	}
	answer, _, err := proposer.Propose(ctx, command)
	if err != nil {
		return errors.WithMessage(err, "bootstrap_document")
	}
	result, err := document.DecodeResult(answer)
	if err != nil {
		return errors.WithMessage(err, "bootstrap_document")
	}
	if result.Outcome != document.Accepted && result.Outcome != document.NotEmpty {
		return errors.Errorf("bootstrap_document: %s", result.Problem)
	}
	return nil
}

func (c *Control) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/nodes", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.registry.Nodes())
	}).Methods(http.MethodGet)
	return router
}
