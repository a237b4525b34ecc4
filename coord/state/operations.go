package state

import (
	"crypto/sha256"
	"time"
)

// OperationAge is the time for which the result of an operation id is retained,
// by the machine's clock. A later retry is a new command: it fails the revision
// check of its object and returns a conflict.
const OperationAge = 24 * time.Hour

// MaxOperations is the maximum number of retained operation ids. At the limit,
// commands with a new id are refused: evicting an id early would let a retry after
// a lost answer run a second time.
const MaxOperations = 200_000

// MaxOperationID is the maximum length of an operation id in bytes.
const MaxOperationID = 128

// Operation is the retained result of an operation id.
type Operation struct {
	ID string `json:"id"`
	// Digest identifies the command, so that reuse of the id for another command
	// is refused instead of returning the first command's result.
	Digest []byte `json:"digest"`
	// Expires is the expiry time in milliseconds since the Unix epoch.
	Expires int64  `json:"expires"`
	Result  Result `json:"result"`
}

// operations holds results in order of expiry, which is the order in which they
// were recorded because the clock never goes backwards.
type operations struct {
	byID  map[string]Operation
	order []string
}

func newOperations() operations { return operations{byID: make(map[string]Operation)} }

func (o *operations) expire(clock int64) {
	expired := 0
	for expired < len(o.order) && o.byID[o.order[expired]].Expires <= clock {
		delete(o.byID, o.order[expired])
		expired++
	}
	o.order = o.order[expired:]
}

// refuse returns the result for an operation id that cannot be retained, or nil.
func (o *operations) refuse(command Command) *Result {
	switch {
	case len(command.OperationID) > MaxOperationID:
		return &Result{Code: CodeInvalid, Message: "the operation id is too long"}
	case command.OperationID != "" && len(o.byID) >= MaxOperations:
		return &Result{Code: CodeFull, Message: "too many operation ids are remembered"}
	default:
		return nil
	}
}

func (o *operations) find(command Command) (Result, bool) {
	first, seen := o.byID[command.OperationID]
	if !seen || command.OperationID == "" {
		return Result{}, false
	}
	if string(first.Digest) != string(digest(command)) {
		return Result{Code: CodeReused, Index: first.Result.Index, Message: "the operation id was used for another change"}, true
	}
	return first.Result, true
}

func (o *operations) record(command Command, result Result, clock int64) {
	if command.OperationID == "" {
		return
	}
	o.add(Operation{
		ID:      command.OperationID,
		Digest:  digest(command),
		Expires: clock + OperationAge.Milliseconds(),
		Result:  result,
	})
}

func (o *operations) add(operation Operation) {
	o.byID[operation.ID] = operation
	o.order = append(o.order, operation.ID)
}

func (o *operations) inOrder() []Operation {
	all := make([]Operation, 0, len(o.order))
	for _, id := range o.order {
		all = append(all, o.byID[id])
	}
	return all
}

// digest returns a digest of the command without its proposal time.
func digest(command Command) []byte {
	command.Time = 0
	data, err := command.Encode()
	if err != nil {
		panic("state: encode a decoded command: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return sum[:16]
}
