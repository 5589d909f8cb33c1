package claims

import "flag"

// init fixes the random seed so that every run gives the same result; -rapid.seed on
// the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
