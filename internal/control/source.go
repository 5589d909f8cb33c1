package control

import (
	"context"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

// fileSource distributes the document of a file as revision 1.
type fileSource struct {
	data    []byte
	changed chan struct{}
}

func newFileSource(path string) (*fileSource, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, errors.Wrap(err, "bootstrap_document")
	}
	doc, err := document.Parse(data)
	if err != nil {
		return nil, errors.WithMessage(err, "bootstrap_document")
	}
	doc.Teams = nil
	public, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Wrap(err, "bootstrap_document")
	}
	return &fileSource{data: public, changed: make(chan struct{})}, nil
}

func (s *fileSource) Confirm(context.Context) error { return nil }

func (s *fileSource) Current() (uint64, []byte) { return 1, s.data }

func (s *fileSource) Changed() <-chan struct{} { return s.changed }
