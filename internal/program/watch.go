package program

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// watchInterval is the time between two looks at the settings file, which may change
// without a signal.
const watchInterval = time.Second

// reloader takes changed settings. It returns the names of changed settings that need a
// restart.
type reloader func() (fixed []string, err error)

// watchSettings reloads the settings file on SIGHUP and when its content changes, until
// ctx ends. A file that cannot be used leaves the settings in force.
func watchSettings(ctx context.Context, path string, logger log.Logger, reload reloader) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	w := &settingsFile{path: path}
	w.isChanged()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			w.isChanged()
		case <-ticker.C:
			if !w.isChanged() {
				continue
			}
			reason = "file changed"
		}
		fixed, err := reload()
		if err != nil {
			_ = level.Error(logger).Log("msg", "settings not reloaded", "reason", reason, "err", err)
			continue
		}
		_ = level.Info(logger).Log("msg", "settings reloaded", "reason", reason, "need_restart", fixed)
	}
}

// settingsFile remembers the content of a file.
type settingsFile struct {
	path     string
	modified time.Time
	size     int64
	content  []byte
}

// isChanged reports whether the content differs from that of the last call. The
// content is read only when time or size differ.
func (f *settingsFile) isChanged() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modified) && info.Size() == f.size {
		return false
	}
	content, err := os.ReadFile(f.path)
	if err != nil {
		return false
	}
	f.modified, f.size = info.ModTime(), info.Size()
	changed := !bytes.Equal(content, f.content)
	f.content = content
	return changed
}
