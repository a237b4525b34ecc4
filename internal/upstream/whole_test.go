package upstream

import (
	"context"
	"testing"
)

// An engine's report grows beyond what its reader holds. Cut at the bound it
// would pass for the whole report, and whatever stands behind the cut for not
// being there.
func TestAnAnswerBeyondItsBoundIsNotWhole(t *testing.T) {
	for limit, fits := range map[int64]bool{4: false, 5: true, 6: true} {
		target, _ := script(t, whole)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, _, body, err := NewPool(patience).CallWhole(ctx, target, ask("r1"), limit)
		if (err == nil) != fits || fits && string(body) != "hello" || !fits && body != nil {
			t.Errorf("of at most %d bytes: got %q, %v", limit, body, err)
		}
	}
}
