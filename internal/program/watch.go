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

// watchInterval is the polling interval of the settings file, which may change without a
// signal.
const watchInterval = time.Second

// reloadFunc applies the changed settings file. It returns the names of the changed settings
// that need a restart.
type reloadFunc func() (needRestart []string, err error)

// watchSettings calls reload on SIGHUP and when the content of the settings file changes,
// until ctx ends. After a failed reload the previous settings stay in force.
func watchSettings(ctx context.Context, path string, logger log.Logger, reload reloadFunc) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	file := &watchedFile{path: path}
	file.refresh()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			file.refresh()
		case <-ticker.C:
			if !file.refresh() {
				continue
			}
			reason = "file changed"
		}
		needRestart, err := reload()
		if err != nil {
			_ = level.Error(logger).Log("msg", "settings not reloaded", "reason", reason, "err", err)
			continue
		}
		_ = level.Info(logger).Log("msg", "settings reloaded", "reason", reason, "need_restart", needRestart)
	}
}

// watchedFile is the last known content of a file.
type watchedFile struct {
	path     string
	modified time.Time
	size     int64
	content  []byte
}

// refresh reports whether the content differs from that at the last call. The file is read
// only if its modification time or size has changed.
func (f *watchedFile) refresh() bool {
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
