package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run has the same result. The flag
// -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "5000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
