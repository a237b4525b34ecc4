package harness2

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Verdict is what a report of the bench says of a day.
type Verdict struct {
	// Breaks are the broken rules, Short is why the day fails the gate, Missed are the duties that were missed.
	Breaks map[string]any `json:"breaks"`
	Short  []string       `json:"short"`
	Missed []string       `json:"missed"`
	Fault  any            `json:"fault"`
}

// RunDay plays the day file of the case in the current folder at a site on three seeds, and fails the test if broken
// holds on two or more. It skips the test unless REVIEW is set. The bench stands beside the repository.
func RunDay(t *testing.T, site string, broken func(Verdict) bool) {
	t.Helper()
	if os.Getenv("REVIEW") == "" {
		t.Skip("a case of the review: set REVIEW to run it")
	}
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root := filepath.Join(folder, "..", "..")
	system := filepath.Join("..", "given", "kit", "more", "system")
	day, err := filepath.Rel(root, filepath.Join(folder, "day.toml"))
	if err != nil {
		t.Fatal(err)
	}
	report := filepath.Join(filepath.Dir(day), "report.json")
	count := 0
	for seed := 1; seed <= 3; seed++ {
		bench := exec.Command(filepath.Join(system, "bin", "fleetbench"), "run", filepath.Join(system, site), day, "--seed", fmt.Sprint(seed), "--report", report)
		bench.Dir = root
		if out, err := bench.CombinedOutput(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, out)
		}
		data, err := os.ReadFile(filepath.Join(root, report))
		if err != nil {
			t.Fatal(err)
		}
		var v Verdict
		if err := json.Unmarshal(data, &v); err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %+v", seed, v)
		if broken(v) {
			count++
		}
	}
	if count >= 2 {
		t.Errorf("the rule was broken on %d of 3 seeds", count)
	}
}
