package docs_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// redTree is a small tree of its own, in which two tests of one package and one
// of another fail.
var redTree = map[string]string{
	"go.mod":            "module example.test/red\n\ngo 1.26\n",
	"go.work":           "go 1.26\n\nuse (\n\t.\n\t./coord\n)\n",
	"a/a_test.go":       "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fail() }\n\nfunc TestGreen(*testing.T) {}\n\nfunc TestParts(t *testing.T) {\n\tt.Run(\"red\", func(t *testing.T) { t.Fail() })\n\tt.Run(\"green\", func(t *testing.T) {})\n}\n",
	"b/b_test.go":       "package b\n\nimport \"testing\"\n\nfunc TestGreen(*testing.T) {}\n",
	"coord/go.mod":      "module example.test/red/coord\n\ngo 1.26\n",
	"coord/c/c_test.go": "package c\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fail() }\n",
	"coord/c/c.go":      "package c\n",
	"coord/d/d_test.go": "package d\n\nimport \"testing\"\n\nfunc TestGreen(*testing.T) {}\n",
}

// A test that is known to fail is listed, so that a landing can go on. A list
// that let anything else pass would hide the next fault: each row is a list and
// whether the tests may pass under it.
func TestOnlyListedTestsArePassedOver(t *testing.T) {
	script, err := os.ReadFile("../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	const because = " | go test | it fails | 1\n"
	all := "./a TestRed" + because + "./a TestParts/red" + because + "./coord/c TestRed" + because
	tests := []struct {
		name, list string
		pass       bool
	}{
		{"all red tests are listed", all, true},
		{"one is left out", "./a TestRed" + because + "./coord/c TestRed" + because, false},
		{"one of the same name elsewhere is left out", "./a TestRed" + because + "./a TestParts/red" + because, false},
		{"nothing is listed", "", false},
		{"a listed test is not there", all + "./b TestRed" + because, false},
		{"a line without a reason", all + "./b TestGreen\n", false},
		{"a line that names all tests", all + "./a .*" + because, false},
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
	for name, content := range redTree {
		write(name, content)
	}
	write(".ci/test", string(script))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			write("KNOWN-RED.txt", test.list)
			command := exec.Command("bash", ".ci/test")
			command.Dir = tree
			// The tree has a workspace of its own.
			command.Env = append(os.Environ(), "GOWORK=")
			out, err := command.CombinedOutput()
			if (err == nil) != test.pass {
				t.Errorf("passes: %v, want %v\n%s", err == nil, test.pass, out)
			}
			if test.pass && !strings.Contains(string(out), test.list) {
				t.Errorf("the list is not printed:\n%s", out)
			}
		})
	}
}
