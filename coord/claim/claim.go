// Package claim decides whether a call that must run at most once may run now.
//
// Callers identify such a call by an idempotency key. Table is a pure state
// machine behind a replicated log: each command is applied in log order with the
// log's clock, so that every instance makes the same decision, regardless of the
// entry that receives a retry.
//
// Granting an attempt also records it as started, before any byte is sent to a
// backend server. Another attempt is granted only after the previous one has
// reported that it did not run. An attempt that fails without a report leaves
// its call in doubt permanently, which is the cost of never running it twice.
package claim

import (
	"time"

	"github.com/google/uuid"
)

const (
	// Age is the retention period of a claim and its answer.
	Age = 24 * time.Hour
	// TombstoneAge is the time from the creation of a claim to the deletion of its
	// tombstone, within which a late retry does not run. Keys with a timestamp need
	// no tombstone.
	TombstoneAge = 7 * 24 * time.Hour
	// MaxSkew is the maximum time by which a key's timestamp may be ahead of the
	// log's clock.
	MaxSkew = time.Hour
	// MaxKey is the maximum length of a key in bytes.
	MaxKey = 255
	// MaxAnswer is the maximum size in bytes of an answer kept for replay.
	MaxAnswer = 16 << 10
)

// ID identifies a claim. Equal keys of different contracts do not collide.
type ID struct {
	Contract string `json:"contract"`
	Key      string `json:"key"`
}

// State is the state of a claimed call.
type State string

const (
	// Free means that no attempt has run the call and none granted so far will.
	Free State = "not-run"
	// Started means that an attempt may be running the call, or failed while it
	// did.
	Started State = "started"
	// Finished means that the call ran and its answer is known.
	Finished State = "finished"
	// Expired means that the key was used too long ago for its outcome to be known.
	Expired State = "expired"
)

// Field is one header field of an answer.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the answer of a finished call. Body and Header are nil if the answer
// was too large to keep.
type Answer struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Kept is false if only the status can be replayed.
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
	// Fingerprint identifies the call, so that reuse of the key for another call
	// is refused. It is nil if only a release has been received.
	Fingerprint []byte `json:"fingerprint,omitempty"`
	// Attempt is the number of granted attempts; Token identifies the last one.
	Attempt uint64  `json:"attempt"`
	Token   string  `json:"token"`
	State   State   `json:"state"`
	Answer  *Answer `json:"answer,omitempty"`
	// Expires is the time at which the claim becomes a tombstone, by the log's
	// clock, in milliseconds since the Unix epoch.
	Expires int64 `json:"expires"`
}

// Command is an input of the table. Exactly one of the pointers is set.
type Command struct {
	ID      ID       `json:"id"`
	Begin   *Begin   `json:"begin,omitempty"`
	Finish  *Finish  `json:"finish,omitempty"`
	Release *Release `json:"release,omitempty"`
	Look    *Look    `json:"look,omitempty"`
}

// Begin requests the start of an attempt. A repeated Begin with the same token
// gets the same reply.
type Begin struct {
	Token       string `json:"token"`
	Fingerprint []byte `json:"fingerprint"`
}

// Finish records the answer of the attempt identified by the token.
type Finish struct {
	Token  string `json:"token"`
	Answer Answer `json:"answer"`
}

// Release reports that the attempt identified by the token did not run the call and
// never will.
type Release struct {
	Token string `json:"token"`
}

// Look reads a claim without changing it.
type Look struct{}

// Verdict is the table's decision on a command.
type Verdict string

const (
	// Granted lets the attempt send the call to a backend server.
	Granted Verdict = "granted"
	// Replay means that the call ran; the reply contains its answer.
	Replay Verdict = "replay"
	// InDoubt means that another attempt may be running the call.
	InDoubt Verdict = "in-doubt"
	// Mismatch means that the key was used for another call.
	Mismatch Verdict = "mismatch"
	// TooOld means that the key was used too long ago for its outcome to be known.
	TooOld Verdict = "too-old"
	// BadKey means that the key is empty or too long, or that its timestamp is in
	// the future.
	BadKey Verdict = "bad-key"
	// Full means that the table has no room for another claim.
	Full Verdict = "full"
	// Superseded means that the attempt is not the claim's current one.
	Superseded Verdict = "superseded"
	// Noted means that a Finish, Release or Look took effect.
	Noted Verdict = "noted"
	// None means that there is no claim for the key.
	None Verdict = "none"
)

// Reply is the table's reply to a command.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	State   State   `json:"state,omitempty"`
	// Attempt is the number of the last granted attempt, 0 if there is none.
	Attempt uint64 `json:"attempt,omitempty"`
	// Answer is set for Replay and for a Look at a finished call.
	Answer *Answer `json:"answer,omitempty"`
}

// keyTime returns the timestamp contained in a key that is a version 7 UUID.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
