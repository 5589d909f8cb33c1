package program

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chicorylever/chicorylever/internal/state/wal"
)

// TestCorruptionIsLogged guards against a member that ends again and again without a log line
// that names the file and what an operator can do.
func TestCorruptionIsLogged(t *testing.T) {
	var output bytes.Buffer
	logger := log.NewJSONLogger(&output)
	logCorruption(logger, "data", errors.New("another error"))
	assert.Equal(t, output.Len(), 0)

	corruption := &wal.CorruptionError{File: "data/0000000000000002.wal", Offset: 12, Reason: "invalid record"}
	logCorruption(logger, "data", errors.WithMessage(corruption, "replica: open log"))
	line := map[string]any{}
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.Equal(t, line["data_dir"], "data")
	assert.Equal(t, line["file"], corruption.File)
	assert.Equal(t, line["offset"], float64(12))
	assert.Equal(t, line["reason"], corruption.Reason)
	assert.Equal(t, line["action"], corruptionAction)
}
