// Package claim decides whether a call that must run at most once may run now.
//
// A caller names such a call by a key. Table is a pure state machine behind a
// replicated log: each command is applied in log order with the log's clock,
// so every instance decides alike, whichever entry a resend comes through.
//
// An attempt is granted together with its start, before any byte is sent to a
// backend server. Another attempt is granted only after the first one has said
// that it did not run. An attempt that dies in between leaves its call in
// doubt for good, which is the price of never running it twice.
package claim

import (
	"time"

	"github.com/google/uuid"
)

const (
	// Age is how long a claim and its answer are kept.
	Age = 24 * time.Hour
	// TombstoneAge is how long an expired key is remembered, so that a late
	// resend does not run. Keys that carry their own time need no tombstone.
	TombstoneAge = 7 * 24 * time.Hour
	// MaxSkew is how far ahead of the log's clock a key's own time may be.
	MaxSkew = time.Hour
	// MaxKey bounds a key, in bytes.
	MaxKey = 255
	// MaxAnswer bounds an answer kept for replay, in bytes.
	MaxAnswer = 16 << 10
)

// ID names a claim. Keys of different contracts never meet.
type ID struct {
	Contract string `json:"contract"`
	Key      string `json:"key"`
}

// State is how far a claimed call has come.
type State string

const (
	// Free means that no attempt has run the call and none will any more.
	Free State = "not-run"
	// Started means that an attempt may be running the call, or died so.
	Started State = "started"
	// Finished means that the call ran and its answer is known.
	Finished State = "finished"
	// Expired means that the key was used too long ago to say more.
	Expired State = "expired"
)

// Field is one header line of an answer.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is a finished call's answer. Body and Header are nil when the answer
// was too large to keep.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Kept is false when only the status can be replayed.
	Kept   bool    `json:"kept"`
	Header []Field `json:"header,omitempty"`
	Body   []byte  `json:"body,omitempty"`
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for _, field := range a.Header {
		total += len(field.Name) + len(field.Value)
	}
	return total
}

// Claim is one call that must run at most once.
type Claim struct {
	ID ID `json:"id"`
	// Fingerprint identifies the call, so that a key that is used for
	// another call is refused. It is nil while only a release was seen.
	Fingerprint []byte `json:"fingerprint,omitempty"`
	// Attempt counts the granted attempts; Token names the last one.
	Attempt uint64  `json:"attempt"`
	Token   string  `json:"token"`
	State   State   `json:"state"`
	Answer  *Answer `json:"answer,omitempty"`
	// Expires is when the claim becomes a tombstone, by the log's clock, in
	// milliseconds since 1970.
	Expires int64 `json:"expires"`
}

// Command is one input of the table. Exactly one of the pointers is set.
type Command struct {
	ID     ID      `json:"id"`
	Begin  *Begin  `json:"begin,omitempty"`
	Finish *Finish `json:"finish,omitempty"`
	Free   *Done   `json:"release,omitempty"`
	Look   *Look   `json:"look,omitempty"`
}

// Begin asks to start an attempt. A resent Begin with the same token gets the
// same reply.
type Begin struct {
	Token       string `json:"token"`
	Fingerprint []byte `json:"fingerprint"`
}

// Finish records the answer of the attempt named by the token.
type Finish struct {
	Token  string `json:"token"`
	Answer Answer `json:"answer"`
}

// Done says that the attempt named by the token did not run the call and never
// will.
type Done struct {
	Token string `json:"token"`
}

// Look reads a claim and changes nothing.
type Look struct{}

// Verdict is the table's decision on a command.
type Verdict string

const (
	// Granted lets the attempt send the call to a backend server.
	Granted Verdict = "granted"
	// Replay means that the call ran; the reply carries its answer.
	Replay Verdict = "replay"
	// InDoubt means that another attempt may be running the call.
	InDoubt Verdict = "in-doubt"
	// Mismatch means that the key was used for another call.
	Mismatch Verdict = "mismatch"
	// TooOld means that the key was used too long ago to say more.
	TooOld Verdict = "too-old"
	// BadKey means that the key is too long or its time lies ahead.
	BadKey Verdict = "bad-key"
	// Full means that the table has no room for another claim.
	Full Verdict = "full"
	// Superseded means that the attempt is not the claim's last.
	Superseded Verdict = "superseded"
	// Noted means that a Finish, Release or Look took effect.
	Noted Verdict = "noted"
	// None means that there is no claim of that key.
	None Verdict = "none"
)

// Reply answers a command.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	State   State   `json:"state,omitempty"`
	// Attempt is the number of the last granted attempt, 0 when there was none.
	Attempt uint64 `json:"attempt,omitempty"`
	// Answer is set by Replay, and by a Look at a finished call.
	Answer *Answer `json:"answer,omitempty"`
}

// keyTime is the time that a key carries by itself, as a version 7 UUID does.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
