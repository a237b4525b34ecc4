package main

import (
	"testing"

	"github.com/rosemarypass/rosemarypass/review/harness2"
)

// TestReviewCase6 runs the script of this case.
func TestReviewCase6(t *testing.T) { harness2.RunScript(t) }
