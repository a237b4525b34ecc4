package answer_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const moduleRoot = "../.."

// writers are the files that see a connection beside this package: those that
// hand it on to it, and what speaks to operators and to tests.
var writers = []string{
	"internal/agent/gate.go", "internal/entry/visit.go", "internal/gateway/gateway.go",
	"internal/control/", "internal/fleet/fleet.go", "internal/standin/",
}

// A handler that holds a caller's connection can write a second header, join
// another body to the first and return in the middle. The next one that does must
// be a decision, not an oversight.
func TestNobodyElseWritesToCallers(t *testing.T) {
	met := make(map[string]bool)
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil || !strings.Contains(string(source), "http.ResponseWriter") || strings.HasPrefix(name, "internal/answer/") {
			return err
		}
		for _, writer := range writers {
			if strings.HasPrefix(filepath.ToSlash(name), writer) {
				met[writer] = true
				return nil
			}
		}
		t.Errorf("%s writes to a connection past package answer", name)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, writer := range writers {
		if !met[writer] {
			t.Errorf("%s sees no connection any more: take it off the list", writer)
		}
	}
}
