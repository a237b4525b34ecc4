package serverrate

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// maxDigits bounds the length of a rate that is read, in characters.
const maxDigits = 24

// valid reports whether a rate, in requests a second, is one.
func valid(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }

// Parse reads the rate that an answer names, in requests a second: one decimal number without a sign or an
// exponent.
func Parse(values []string) (float64, error) {
	switch {
	case len(values) != 1:
		return 0, errors.Errorf("%d values", len(values))
	case values[0] == "":
		return 0, errors.New("empty")
	case len(values[0]) > maxDigits:
		return 0, errors.Errorf("%d characters long", len(values[0]))
	}
	text, point := values[0], false
	for i, c := range []byte(text) {
		switch {
		case '0' <= c && c <= '9':
		case c == '.' && !point && i > 0 && i < len(text)-1:
			point = true
		default:
			return 0, errors.Errorf("%q is not a decimal number", text)
		}
	}
	rate, err := strconv.ParseFloat(text, 64)
	return rate, errors.Wrap(err, "a rate")
}
