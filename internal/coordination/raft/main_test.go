package raft

import "flag"

// init fixes the seed so that runs are reproducible; -rapid.seed on the command line
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	// A check takes a few milliseconds; rare interleavings appear only over many checks.
	_ = flag.Set("rapid.checks", "1000")
}
