package control

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// bootstrapRetryInterval is the time between two proposals of the first document.
const bootstrapRetryInterval = time.Second

// bootstrapTimeout bounds one proposal of the first document.
const bootstrapTimeout = 5 * time.Second

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

// checkBootstrapDocument returns a *settings.Error for an invalid bootstrap document.
// A missing file is no error, since the file is needed only once.
func checkBootstrapDocument(path string) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if path == "" || errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		_, err = document.Parse(data)
	}
	if err != nil {
		return &settings.Error{File: path, Field: "bootstrap_document", Problem: err.Error()}
	}
	return nil
}

// bootstrapUntilDocumentExists proposes the bootstrap document until a document is in force.
func (c *Control) bootstrapUntilDocumentExists(ctx context.Context) {
	for c.documentMachine.View().Revision == 0 {
		err := proposeBootstrapDocument(ctx, c.proposerFor(componentDocument), c.settings.BootstrapDocument)
		if err != nil {
			_ = level.Warn(c.logger).Log("msg", "first document is not in force", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapRetryInterval):
		}
	}
}

// proposeBootstrapDocument proposes the first document of a new cluster. It has no
// effect when there is one already.
func proposeBootstrapDocument(ctx context.Context, proposer replica.Proposer, path string) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
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
