package admission_test

import (
	"flag"

	_ "pgregory.net/rapid"
)

// init fixes the seed of rapid so that runs are reproducible; -rapid.seed on the command
// line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
