package serverrate

import (
	"strings"
	"testing"
)

func TestParseTakesOneDecimalNumber(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   float64
		ok     bool
	}{
		{[]string{"2.5"}, 2.5, true}, {[]string{"0"}, 0, true}, {[]string{"0.0"}, 0, true}, {[]string{"300"}, 300, true}, {[]string{"007"}, 7, true},
		{nil, 0, false}, {[]string{""}, 0, false}, {[]string{"1", "1"}, 0, false}, {[]string{"1,2"}, 0, false}, {[]string{"-1"}, 0, false}, {[]string{"+1"}, 0, false},
		{[]string{"NaN"}, 0, false}, {[]string{"Inf"}, 0, false}, {[]string{"0x10"}, 0, false}, {[]string{"1e3"}, 0, false}, {[]string{"1_0"}, 0, false},
		{[]string{".5"}, 0, false}, {[]string{"5."}, 0, false}, {[]string{"1.2.3"}, 0, false}, {[]string{" 1"}, 0, false}, {[]string{strings.Repeat("9", 1000)}, 0, false},
	} {
		got, err := Parse(c.values)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("%.40q: %v, %v; want %v, ok %v", c.values, got, err, c.want, c.ok)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"2.5", "0", "-0", "1e9", "NaN", "0x1p4", "9.99999999999999999999", "1 "} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, err := Parse([]string{text})
		if err == nil && (!valid(rate) || strings.Trim(text, "0123456789.") != "") {
			t.Errorf("%q was read as %v", text, rate)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("an error of %d characters", len(err.Error()))
		}
	})
}
