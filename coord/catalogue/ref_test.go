package catalogue_test

import (
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// A caller can send arbitrary text as its model. Accepted text must identify
// exactly one adapter and version, and must equal the name passed to the engine.
func FuzzParseRef(f *testing.F) {
	for _, text := range []string{"plan@1", "a@b@c", "@", "a@", "plan @1", "a/../b@1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ref, err := catalogue.ParseRef(text)
		if err != nil {
			return
		}
		again, err := catalogue.ParseRef(ref.String())
		if ref.String() != text || err != nil || again != ref {
			t.Errorf("%q was parsed as %q, then as %q, error %v", text, ref, again, err)
		}
	})
}
