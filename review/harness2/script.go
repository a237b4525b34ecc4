package harness2

import (
	"os"
	"os/exec"
	"testing"
)

// RunScript runs the script of the case in the current folder, which needs the programs that the deploy file and
// review/build-2.sh build. It skips the test unless REVIEW is set.
func RunScript(t *testing.T) {
	t.Helper()
	if os.Getenv("REVIEW") == "" {
		t.Skip("a case of the review: set REVIEW to run it")
	}
	out, err := exec.Command("./run.sh").CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Fatalf("run.sh: %v (1: the rule was broken, 2: the case could not run)", err)
	}
}
