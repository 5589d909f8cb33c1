package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, a line each with the time in seconds.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // the path comes from the script
	if err != nil {
		return nil, err
	}
	return &Record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes an event and its fields, given as names and values.
func (r *Record) add(event string, fields ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.writer.WriteString(line.String() + "\n")
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
