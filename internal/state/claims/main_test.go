package claims

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	fixed := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
