package wal

import "flag"

// init sets a fixed seed so that all runs give the same result; -rapid.seed on the
// command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1000")
}
