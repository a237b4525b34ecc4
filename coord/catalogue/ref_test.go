package catalogue_test

import (
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// A caller may write anything as its model. What is accepted must name exactly
// one adapter and version, by the text that an engine will be given.
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
			t.Errorf("%q was read as %q, then %q, %v", text, ref, again, err)
		}
	})
}
