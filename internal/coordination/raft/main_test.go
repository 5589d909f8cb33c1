package raft

import "flag"

// init fixes the seed for equal verdicts; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	// A run takes a few milliseconds; rare interleavings need many of them.
	_ = flag.Set("rapid.checks", "1000")
}
