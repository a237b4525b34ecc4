package contract

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// limitsText is the JSON form of Limits, in which durations have a unit.
type limitsText struct {
	RequestsPerSecond float64      `json:"requestsPerSecond"`
	TokensPerMinute   int64        `json:"tokensPerMinute"`
	Concurrency       int          `json:"concurrency"`
	MaxWait           durationText `json:"maxWait"`
}

// durationText is a duration that is encoded as a string, such as "10s".
type durationText time.Duration

// MarshalJSON implements json.Marshaler.
func (w durationText) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(w).String()) }

// UnmarshalJSON implements json.Unmarshaler. It rejects a plain number: an operator
// who writes 10 for ten seconds would get a contract with a maximum wait of ten
// nanoseconds, whose requests are all refused under load.
func (w *durationText) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("maxWait: %s is not a duration: write text with a unit, such as \"10s\"", data)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("maxWait: %q is not a duration: write a number with a unit, such as \"10s\"", text)
	}
	*w = durationText(d)
	return nil
}

// MarshalJSON encodes MaxWait as a string with a unit.
func (l Limits) MarshalJSON() ([]byte, error) {
	return json.Marshal(limitsText{
		RequestsPerSecond: l.RequestsPerSecond,
		TokensPerMinute:   l.TokensPerMinute,
		Concurrency:       l.Concurrency,
		MaxWait:           durationText(l.MaxWait),
	})
}

// UnmarshalJSON decodes the format written by MarshalJSON.
func (l *Limits) UnmarshalJSON(data []byte) error {
	var text limitsText
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*l = Limits{
		RequestsPerSecond: text.RequestsPerSecond,
		TokensPerMinute:   text.TokensPerMinute,
		Concurrency:       text.Concurrency,
		MaxWait:           time.Duration(text.MaxWait),
	}
	return nil
}
