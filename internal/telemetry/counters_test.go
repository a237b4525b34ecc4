package telemetry_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	moduleRoot  = "../.."
	counterPage = "docs/operators/counters.md"
)

var (
	counterCall = regexp.MustCompile(`telemetry\.(?:Counter|LatencyOf)\((?:"([a-zA-Z0-9_]+)"(\)| \+ ))?`)
	pageName    = regexp.MustCompile("`([a-zA-Z0-9_]+)`")
)

// countersInCode returns where each counter is made. The part of a name that
// is known only when the program runs is written CLAUSE.
func countersInCode(t *testing.T) map[string]string {
	t.Helper()
	made := make(map[string]string)
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, call := range counterCall.FindAllStringSubmatch(string(source), -1) {
			name := call[1]
			if name == "" {
				t.Errorf("%s: a counter's name must begin with a literal", path)
			}
			if call[2] != ")" {
				name += "CLAUSE"
			}
			made[name] = path
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// countersOnPage returns the names in the first column, and checks that every
// row has all its columns filled.
func countersOnPage(t *testing.T) map[string]bool {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(moduleRoot, counterPage))
	if err != nil {
		t.Fatal(err)
	}
	named := make(map[string]bool)
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		columns := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(columns) != 4 {
			t.Errorf("%d columns instead of 4: %s", len(columns), line)
		}
		for _, column := range columns {
			if strings.TrimSpace(column) == "" {
				t.Errorf("an empty column: %s", line)
			}
		}
		for _, name := range pageName.FindAllStringSubmatch(columns[0], -1) {
			if named[name[1]] {
				t.Errorf("%s stands twice", name[1])
			}
			named[name[1]] = true
		}
	}
	return named
}

// A counter is added or renamed and the operators' page forgotten: an operator
// sees a name that no page explains, or looks for one that is gone.
func TestEveryCounterIsOnTheOperatorsPage(t *testing.T) {
	made, named := countersInCode(t), countersOnPage(t)
	if len(made) == 0 {
		t.Fatal("found no counters in the code")
	}
	for name, path := range made {
		if !named[name] {
			t.Errorf("%s of %s is not in %s", name, path, counterPage)
		}
	}
	for name := range named {
		if made[name] == "" {
			t.Errorf("%s is in %s and nowhere in the code", name, counterPage)
		}
	}
}
