package wal

import (
	"io"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// FS is the part of a filesystem that the log uses.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file for writing; an existing one is emptied.
	Create(path string) (File, error)
	// ReadFile returns an error that matches os.ErrNotExist for a missing file.
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a folder, sorted.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// Truncate shortens a file and syncs it.
	Truncate(path string, size int64) error
	// SyncDir makes creations, renames and removals in the folder durable.
	SyncDir(dir string) error
	// Lock takes a lock that ends with Close or with the process, or returns ErrLocked.
	Lock(path string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}

// OS is the operating system's filesystem.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error {
	return os.MkdirAll(dir, dirMode)
}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FS.
func (OS) Remove(path string) error {
	return os.Remove(path)
}

// Truncate implements FS.
func (OS) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

// Lock implements FS with flock, which the kernel releases when the process ends.
func (OS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "wal: open lock file")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.WithMessagef(ErrLocked, "%s: %v", path, err)
	}
	return file, nil
}
