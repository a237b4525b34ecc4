package docs_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// sampleTree is a small source tree with a workspace of two modules, in which two
// tests of one package and one test of another fail.
var sampleTree = map[string]string{
	"go.mod":            "module example.test/red\n\ngo 1.26\n",
	"go.work":           "go 1.26\n\nuse (\n\t.\n\t./coord\n)\n",
	"a/a_test.go":       "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fail() }\n\nfunc TestGreen(*testing.T) {}\n\nfunc TestParts(t *testing.T) {\n\tt.Run(\"red\", func(t *testing.T) { t.Fail() })\n\tt.Run(\"green\", func(t *testing.T) {})\n}\n",
	"b/b_test.go":       "package b\n\nimport \"testing\"\n\nfunc TestGreen(*testing.T) {}\n",
	"coord/go.mod":      "module example.test/red/coord\n\ngo 1.26\n",
	"coord/c/c_test.go": "package c\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fail() }\n",
	"coord/c/c.go":      "package c\n",
	"coord/d/d_test.go": "package d\n\nimport \"testing\"\n\nfunc TestGreen(*testing.T) {}\n",
}

// Guards against a list of known failures that hides other failures. CI passes over
// a test that is listed in KNOWN-RED.txt, but must fail on every other failing test
// and on a malformed or outdated entry. Each case is a list and whether CI may pass
// with it.
func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	script, err := os.ReadFile("../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	const entrySuffix = " | go test | it fails | 1\n"
	all := "./a TestRed" + entrySuffix + "./a TestParts/red" + entrySuffix + "./coord/c TestRed" + entrySuffix
	tests := []struct {
		name, list string
		pass       bool
		// failed is what the end of the output names.
		failed string
	}{
		{"all red tests are listed", all, true, ""},
		{"one failing test is not listed", "./a TestRed" + entrySuffix + "./coord/c TestRed" + entrySuffix, false, "--- FAIL: TestParts/red"},
		{"a failing test of the same name in another package is not listed", "./a TestRed" + entrySuffix + "./a TestParts/red" + entrySuffix, false, "--- FAIL: TestRed"},
		{"nothing is listed", "", false, "--- FAIL: TestParts/red"},
		{"a listed test does not exist", all + "./b TestRed" + entrySuffix, false, ""},
		{"a line without a reason", all + "./b TestGreen\n", false, ""},
		{"a line that matches all tests", all + "./a .*" + entrySuffix, false, ""},
	}
	tree := t.TempDir()
	write := func(name, content string) {
		path := filepath.Join(tree, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	for name, content := range sampleTree {
		write(name, content)
	}
	write(".ci/test", string(script))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			write("KNOWN-RED.txt", test.list)
			command := exec.Command("bash", ".ci/test")
			command.Dir = tree
			// An empty GOWORK makes go use the workspace of the sample tree.
			command.Env = append(os.Environ(), "GOWORK=")
			out, err := command.CombinedOutput()
			if (err == nil) != test.pass {
				t.Errorf("passed: %v, want %v\n%s", err == nil, test.pass, out)
			}
			if _, end, found := strings.Cut(string(out), "\nFailed:\n"); found != (test.failed != "") || !strings.Contains(end, test.failed) {
				t.Errorf("the end does not name what failed, want %q:\n%s", test.failed, out)
			}
			if test.pass && !strings.Contains(string(out), test.list) {
				t.Errorf("the list is not printed:\n%s", out)
			}
		})
	}
}
