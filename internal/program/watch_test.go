package program

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// TestWatchSettingsReloads guards against a SIGHUP that ends the process, and against a
// changed settings file that takes effect only after a restart.
func TestWatchSettingsReloads(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte("{}"), 0o600))
	reloads := make(chan struct{}, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logged := make(chan struct{}, 4)
	logger := log.LoggerFunc(func(...any) error { logged <- struct{}{}; return nil })
	go watchSettings(ctx, path, logger, func() ([]string, error) {
		reloads <- struct{}{}
		return nil, nil
	})
	await := func(c chan struct{}) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(10 * watchInterval):
			t.Fatal("the settings were not reloaded, or the reload was not logged")
		}
	}
	time.Sleep(watchInterval / 10) // until watchSettings handles SIGHUP
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await(reloads)
	await(logged)
	assert.NilError(t, os.WriteFile(path, []byte("{ }"), 0o600))
	await(reloads)
	await(logged)
}
