package raft

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	// A run takes a few milliseconds; rare interleavings need many of them.
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}
