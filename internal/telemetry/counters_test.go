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
	counterCall = regexp.MustCompile(`telemetry\.(?:Counter|LatencyOf|UseOf)\((?:"([a-zA-Z0-9_]+)"(\)| \+ ))?`)
	pageName    = regexp.MustCompile("`([a-zA-Z0-9_]+)`")
)

// declaredCounters maps each counter in the code to the file that declares it. The
// part of a name that is known only at run time is written as CLAUSE.
func declaredCounters(t *testing.T) map[string]string {
	t.Helper()
	declared := make(map[string]string)
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, call := range counterCall.FindAllStringSubmatch(string(source), -1) {
			name := call[1]
			if name == "" {
				t.Errorf("%s: the name of a counter must start with a string literal", path)
			}
			if call[2] != ")" {
				name += "CLAUSE"
			}
			declared[name] = path
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

// documentedCounters returns the names in the first column of the operators' page,
// and checks that no column of any row is empty.
func documentedCounters(t *testing.T) map[string]bool {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(moduleRoot, counterPage))
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		columns := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(columns) != 4 {
			t.Errorf("%d columns, want 4: %s", len(columns), line)
		}
		for _, column := range columns {
			if strings.TrimSpace(column) == "" {
				t.Errorf("empty column: %s", line)
			}
		}
		for _, name := range pageName.FindAllStringSubmatch(columns[0], -1) {
			if documented[name[1]] {
				t.Errorf("%s is listed twice", name[1])
			}
			documented[name[1]] = true
		}
	}
	return documented
}

// A counter is added or renamed without an update of the operators' page. An
// operator then sees an undocumented name or looks for one that no longer exists.
func TestCountersAreDocumented(t *testing.T) {
	declared, documented := declaredCounters(t), documentedCounters(t)
	if len(declared) == 0 {
		t.Fatal("no counters found in the code")
	}
	for name, path := range declared {
		if !documented[name] {
			t.Errorf("%s, declared in %s, is not in %s", name, path, counterPage)
		}
	}
	for name := range documented {
		if declared[name] == "" {
			t.Errorf("%s is in %s but not in the code", name, counterPage)
		}
	}
}
