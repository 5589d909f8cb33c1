package balance_test

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid"
)

// TestMain fixes the seed of the properties, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
