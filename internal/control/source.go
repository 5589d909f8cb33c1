package control

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/coordination/replica"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

// bootstrapRetryInterval is the delay between two proposals of the bootstrap document.
const bootstrapRetryInterval = time.Second

// bootstrapTimeout bounds one proposal of the bootstrap document.
const bootstrapTimeout = 5 * time.Second

// documentSource implements distribute.Source for the replicated document.
type documentSource struct {
	machine  *document.Machine
	proposer replica.Proposer

	mu sync.Mutex
	// encodedView is the view that encoded is the document of; nil before the first.
	encodedView *document.View
	encoded     []byte
}

// ReadBarrier returns once every command that was committed before the call is applied on
// this member.
func (s *documentSource) ReadBarrier(ctx context.Context) error {
	_, err := s.proposer.ReadIndex(ctx)
	return err
}

// Current returns the revision and the JSON document without token digests and with
// digests in place of the organisations' keys. The revision
// is 0 while there is no document. Each view is encoded once: all nodes subscribe at the same
// time after a loss of all power, and each of them asks for the current document.
func (s *documentSource) Current() (revision uint64, data []byte) {
	view := s.machine.View()
	if view.Revision == 0 {
		return 0, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encodedView != view {
		encoded, err := json.Marshal(view.Document.ForNodes())
		if err != nil {
			panic(err) // unreachable: a document consists of strings, numbers and maps of them
		}
		s.encodedView, s.encoded = view, encoded
	}
	return view.Revision, s.encoded
}

// Changed returns a channel that is closed when a new revision is applied.
func (s *documentSource) Changed() <-chan struct{} { return s.machine.View().Replaced() }

// checkBootstrapDocument returns a *settings.Error for an invalid bootstrap document.
// A missing file is valid, since the file is needed only until a document exists.
func checkBootstrapDocument(path string) error {
	data, err := os.ReadFile(path) //nolint:gosec // the path comes from the operator's settings
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

// bootstrapUntilDocumentExists proposes the bootstrap document until a document is
// applied on this member or ctx ends.
func (c *Control) bootstrapUntilDocumentExists(ctx context.Context) {
	for c.documentMachine.View().Revision == 0 {
		err := proposeBootstrapDocument(ctx, c.proposerFor(componentDocument), c.settings.BootstrapDocument)
		if err != nil {
			_ = level.Warn(c.logger).Log("msg", "bootstrap document not accepted; retrying", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapRetryInterval):
		}
	}
}

// proposeBootstrapDocument proposes the document in the file as the first one of a new
// cluster. It has no effect if the cluster already has a document.
func proposeBootstrapDocument(ctx context.Context, proposer replica.Proposer, path string) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	data, err := os.ReadFile(path) //nolint:gosec // the path comes from the operator's settings
	if err != nil {
		return errors.Wrap(err, "bootstrap_document")
	}
	command, err := document.EncodeBootstrap(data, time.Now())
	if err != nil {
		return errors.WithMessage(err, "bootstrap_document")
	}
	encodedResult, _, err := proposer.Propose(ctx, command)
	if err != nil {
		return errors.WithMessage(err, "bootstrap_document")
	}
	result, err := document.DecodeResult(encodedResult)
	if err != nil {
		return errors.WithMessage(err, "bootstrap_document")
	}
	if result.Outcome != document.Accepted && result.Outcome != document.NotEmpty {
		return errors.Errorf("bootstrap_document: %s", result.Problem)
	}
	return nil
}
