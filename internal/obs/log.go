// Package obs builds the loggers of the programs.
package obs

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// NewLogger returns a logger that writes JSON lines with UTC timestamps to w. levelName is
// debug, info, warn or error.
func NewLogger(w io.Writer, levelName string) (log.Logger, error) {
	parsed, err := level.Parse(levelName)
	if err != nil {
		return nil, errors.Errorf("log_level: unknown level %q", levelName)
	}
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(parsed))
	return log.With(logger, "ts", log.DefaultTimestampUTC), nil
}
