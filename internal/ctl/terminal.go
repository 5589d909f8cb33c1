package ctl

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Standard returns the streams of the process. Progress goes to standard error
// when that is a terminal.
func Standard() Streams {
	streams := Streams{Out: os.Stdout, Err: os.Stderr}
	if isTerminal(os.Stderr) {
		streams.Progress = io.Writer(os.Stderr)
	}
	return streams
}

// isTerminal asks for terminal settings, which a character device such as
// /dev/null does not have.
func isTerminal(file *os.File) bool {
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}
