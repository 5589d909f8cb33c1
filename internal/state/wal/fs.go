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
	// Create opens a file for writing; it creates the file or truncates an existing one.
	Create(path string) (File, error)
	// ReadFile returns an error that matches os.ErrNotExist for a missing file.
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the sorted names of the files in a directory.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(path string, size int64) error
	// SyncFile makes the content of a file durable that an earlier process may have written.
	SyncFile(path string) error
	// SyncDir makes creations, renames and removals in the directory durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which is released by Close or when the process
	// exits. It returns an error that matches ErrLocked if the lock is already held.
	Lock(path string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}

// OS implements FS with the filesystem of the operating system.
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

// SyncFile implements FS. It opens the file for writing, since some filesystems sync no
// file that is open for reading only.
func (OS) SyncFile(path string) error {
	return syncPath(path, os.O_WRONLY)
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	return syncPath(dir, os.O_RDONLY)
}

func syncPath(path string, flag int) error {
	file, err := os.OpenFile(path, flag, 0)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return file.Sync()
}

// Lock implements FS with flock, which the kernel releases when the process exits.
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
