package main

import (
	"os"
	"os/exec"
	"testing"
)

// TestReviewCase5 runs the script of this case, which needs the programs that the deploy file and review/build.sh build.
func TestReviewCase5(t *testing.T) {
	if os.Getenv("REVIEW") == "" {
		t.Skip("a case of the review: REVIEW is not set")
	}
	out, err := exec.Command("./run.sh").CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Fatalf("run.sh: %v (1: the rule was broken, 2: the case could not run)", err)
	}
}
