package wal

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"

	"github.com/pkg/errors"
)

var errInjected = errors.New("injected failure")

type memFile struct {
	data   []byte
	synced int
}

// memFS keeps apart what is durable and what a crash loses. After failAfter
// operations each further one fails; the first of them may do half its work.
type memFS struct {
	rng       *rand.Rand
	files     map[string]*memFile
	durable   map[string]*memFile
	pending   []func(map[string]*memFile)
	failAfter int
	failures  int
}

func newMemFS(rng *rand.Rand) *memFS {
	return &memFS{rng: rng, files: map[string]*memFile{}, durable: map[string]*memFile{}, failAfter: -1}
}

func (m *memFS) step() error {
	if m.failAfter == 0 {
		m.failures++
		return errInjected
	}
	if m.failAfter > 0 {
		m.failAfter--
	}
	return nil
}

// crash loses directory changes and bytes that were not synced, or keeps some of them.
func (m *memFS) crash() {
	for _, change := range m.pending[:m.rng.IntN(len(m.pending)+1)] {
		change(m.durable)
	}
	for _, path := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[path]
		kept := f.synced + m.rng.IntN(len(f.data)-f.synced+1)
		f.data = slices.Clone(f.data[:kept])
		for i := f.synced; i < kept; i++ {
			if m.rng.IntN(4) == 0 {
				f.data[i] = 0 // Blocks of an unsynced write may be missing in the middle.
			}
		}
		f.synced = kept
	}
	m.files, m.pending, m.failAfter = maps.Clone(m.durable), nil, -1
}

func (m *memFS) change(f func(map[string]*memFile)) {
	f(m.files)
	m.pending = append(m.pending, f)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(path string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.change(func(files map[string]*memFile) { files[path] = f })
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
		names = append(names, path[len(dir)+1:])
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.change(func(files map[string]*memFile) { files[to] = files[from]; delete(files, from) })
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.change(func(files map[string]*memFile) { delete(files, path) })
	return nil
}

func (m *memFS) Truncate(path string, size int64) error {
	f := m.files[path]
	f.data, f.synced = f.data[:size], int(size)
	return m.step()
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable, m.pending = maps.Clone(m.files), nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memHandle struct {
	fs *memFS
	f  *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if err := h.fs.step(); err != nil {
		h.f.data = append(h.f.data, b[:h.fs.rng.IntN(len(b)+1)]...)
		return 0, err
	}
	h.f.data = append(h.f.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.f.synced = len(h.f.data)
	return nil
}

func (h *memHandle) Close() error { return nil }
