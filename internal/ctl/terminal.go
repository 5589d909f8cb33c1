package ctl

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// StandardStreams returns the standard streams of the process. Progress is standard error
// when that is a terminal, and nil otherwise.
func StandardStreams() Streams {
	streams := Streams{Out: os.Stdout, Err: os.Stderr}
	if isTerminal(os.Stderr) {
		streams.Progress = io.Writer(os.Stderr)
	}
	return streams
}

// isTerminal queries the terminal attributes, because a file mode check would take any
// character device, such as /dev/null, for a terminal.
func isTerminal(file *os.File) bool {
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}
