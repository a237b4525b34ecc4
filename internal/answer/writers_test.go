package answer_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const moduleRoot = "../.."

// allowedWriters lists the files outside this package that use a connection directly:
// those that pass it to this package, and those that serve operators and tests.
var allowedWriters = []string{
	"internal/agent/gate.go", "internal/entry/inbound.go", "internal/gateway/gateway.go",
	"internal/control/", "internal/fleet/fleet.go", "internal/fleet/panics.go", "internal/standin/",
}

// A handler with access to the caller's connection can write a second header,
// append another body to the first or return in the middle of one. Adding another
// such handler must be a deliberate decision, not an oversight.
func TestOnlyListedFilesUseResponseWriter(t *testing.T) {
	found := make(map[string]bool)
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
		for _, writer := range allowedWriters {
			if strings.HasPrefix(filepath.ToSlash(name), writer) {
				found[writer] = true
				return nil
			}
		}
		t.Errorf("%s uses http.ResponseWriter without package answer", name)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, writer := range allowedWriters {
		if !found[writer] {
			t.Errorf("%s no longer uses http.ResponseWriter: remove it from allowedWriters", writer)
		}
	}
}
