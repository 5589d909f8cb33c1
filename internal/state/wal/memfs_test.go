package wal

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var errInjected = errors.New("injected failure")

type memFile struct {
	data        []byte
	syncedBytes int
	// writebackFailed is set by a sync that failed: the bytes behind syncedBytes can still be
	// read, but no later sync makes them durable, although it reports success.
	writebackFailed bool
}

// sync makes all bytes of the file durable, unless an earlier sync has failed.
func (f *memFile) sync() {
	if !f.writebackFailed {
		f.syncedBytes = len(f.data)
	}
}

// dirChange is a creation, rename or removal in a directory.
type dirChange struct {
	dir   string
	apply func(files map[string]*memFile)
}

// memFS is an in-memory FS that tracks which changes are durable and which a crash may
// lose. After failAfterOperations more changes or syncs all further ones fail; a
// negative value disables this. A failing Write may store part of its data, and a
// failing Truncate still shortens the file.
type memFS struct {
	rng                 *rand.Rand
	files               map[string]*memFile // by path, as a running process sees them
	durable             map[string]*memFile // by path, as of the last directory sync
	unsyncedDirChanges  []dirChange
	failAfterOperations int
	injectedFailures    int
}

func newMemFS(rng *rand.Rand) *memFS {
	return &memFS{rng: rng, files: map[string]*memFile{}, durable: map[string]*memFile{}, failAfterOperations: -1}
}

func (m *memFS) injectFailure() error {
	if m.failAfterOperations == 0 {
		m.injectedFailures++
		return errInjected
	}
	if m.failAfterOperations > 0 {
		m.failAfterOperations--
	}
	return nil
}

// crash simulates a crash of the machine. It keeps a random number of the unsynced
// directory changes and of the unsynced bytes of each file, always the earliest ones.
func (m *memFS) crash() {
	for _, change := range m.unsyncedDirChanges[:m.rng.IntN(len(m.unsyncedDirChanges)+1)] {
		change.apply(m.durable)
	}
	maps.DeleteFunc(m.durable, func(path string, _ *memFile) bool { return !m.isDirDurable(filepath.Dir(path)) })
	for _, path := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[path]
		kept := f.syncedBytes + m.rng.IntN(len(f.data)-f.syncedBytes+1)
		f.data = slices.Clone(f.data[:kept])
		for i := f.syncedBytes; i < kept; i++ {
			if m.rng.IntN(4) == 0 {
				f.data[i] = 0 // A crash may lose blocks in the middle of an unsynced write.
			}
		}
		f.syncedBytes, f.writebackFailed = kept, false
	}
	m.files, m.unsyncedDirChanges, m.failAfterOperations = maps.Clone(m.durable), nil, -1
}

// kill simulates the end of the process without a loss of power: the next process sees all
// changes, of which those that were not synced are still not durable.
func (m *memFS) kill() { m.failAfterOperations = -1 }

// isDirDurable reports whether a directory outlives a crash, as a top-level one always does.
func (m *memFS) isDirDurable(dir string) bool {
	_, isDurable := m.durable[dir+"/"]
	return isDurable || !strings.Contains(dir, "/")
}

// changeDir makes a change in the directory of path.
func (m *memFS) changeDir(path string, apply func(map[string]*memFile)) {
	apply(m.files)
	m.unsyncedDirChanges = append(m.unsyncedDirChanges, dirChange{filepath.Dir(path), apply})
}

// MkdirAll stores a directory as an empty file whose path ends with a slash.
func (m *memFS) MkdirAll(dir string) error {
	path := dir + "/"
	if _, exists := m.files[path]; exists {
		return nil
	}
	if err := m.injectFailure(); err != nil {
		return err
	}
	m.changeDir(dir, func(files map[string]*memFile) { files[path] = &memFile{} })
	return nil
}

func (m *memFS) Create(path string) (File, error) {
	if err := m.injectFailure(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.changeDir(path, func(files map[string]*memFile) { files[path] = f })
	return &memHandle{m, f}, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	if f, ok := m.files[path]; ok {
		return slices.Clone(f.data), nil
	}
	return nil, os.ErrNotExist
}

func (m *memFS) ReadDir(dir string) ([]string, error) {
	var names []string
	for path := range m.files {
		name, isBelow := strings.CutPrefix(strings.TrimSuffix(path, "/"), dir+"/")
		if isBelow && !strings.Contains(name, "/") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// contents returns the content of a file as a running process sees it.
func (m *memFS) contents(path string) string { return string(m.files[path].data) }

func (m *memFS) Rename(from, to string) error {
	if err := m.injectFailure(); err != nil {
		return err
	}
	m.changeDir(to, func(files map[string]*memFile) { files[to] = files[from]; delete(files, from) })
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.injectFailure(); err != nil {
		return err
	}
	m.changeDir(path, func(files map[string]*memFile) { delete(files, path) })
	return nil
}

func (m *memFS) Truncate(path string, size int64) error {
	f := m.files[path]
	f.data, f.syncedBytes = f.data[:size], int(size)
	return m.injectFailure()
}

func (m *memFS) SyncFile(path string) error {
	if err := m.injectFailure(); err != nil {
		m.files[path].writebackFailed = true
		return err
	}
	m.files[path].sync()
	return nil
}

func (m *memFS) SyncDir(dir string) error {
	if err := m.injectFailure(); err != nil {
		return err
	}
	m.unsyncedDirChanges = slices.DeleteFunc(m.unsyncedDirChanges, func(change dirChange) bool {
		if change.dir == dir {
			change.apply(m.durable)
		}
		return change.dir == dir
	})
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memHandle struct {
	fs   *memFS
	file *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if err := h.fs.injectFailure(); err != nil {
		h.file.data = append(h.file.data, b[:h.fs.rng.IntN(len(b)+1)]...)
		return 0, err
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.injectFailure(); err != nil {
		h.file.writebackFailed = true
		return err
	}
	h.file.sync()
	return nil
}

func (h *memHandle) Close() error { return nil }
