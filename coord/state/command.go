package state

import (
	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// Command is one proposed change. Exactly one of the pointers is set; each
// belongs to one aggregate.
type Command struct {
	// OperationID makes a command idempotent: a retry returns the first result.
	OperationID string `json:"operationId,omitempty"`
	// Time is the proposer's clock in milliseconds since the Unix epoch. The
	// machine's own clock is the highest Time of the applied commands.
	Time int64 `json:"time,omitempty"`

	PutContract   *PutContract       `json:"putContract,omitempty"`
	ChangeKeys    *ChangeKeys        `json:"changeKeys,omitempty"`
	PutModel      *catalogue.Model   `json:"putModel,omitempty"`
	PutAdapter    *catalogue.Adapter `json:"putAdapter,omitempty"`
	RetireAdapter *RetireAdapter     `json:"retireAdapter,omitempty"`
	PutService    *PutService        `json:"putService,omitempty"`
	PutServer     *PutServer         `json:"putServer,omitempty"`
	Fence         *Fence             `json:"fence,omitempty"`
	Claim         *claim.Command     `json:"claim,omitempty"`
	Suspicion     *suspicion.Command `json:"suspicion,omitempty"`
}

// PutContract creates or changes a contract. Expected is the revision that the
// writer read, 0 to create. A contract is retired by a change that sets Retired.
type PutContract struct {
	Expected uint64            `json:"expected"`
	Contract contract.Contract `json:"contract"`
}

// ChangeKeys adds or removes a caller's key of a contract; with both fields set it
// rotates a key. Additions and removals of different keys commute, so no expected
// revision is needed.
type ChangeKeys struct {
	Contract string `json:"contract"`
	// Add and Remove are hex SHA-256 digests of keys.
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// RetireAdapter retires an adapter version permanently: its name can never be
// reused for other weights.
type RetireAdapter struct {
	Ref catalogue.Ref `json:"ref"`
}

// PutService creates or changes a plain service. Expected is the revision that
// the writer read, 0 to create.
type PutService struct {
	Expected uint64            `json:"expected"`
	Service  catalogue.Service `json:"service"`
}

// PutServer sets the wanted state of a backend server. Expected is the revision
// that the writer read, 0 if there was none.
type PutServer struct {
	Expected uint64 `json:"expected"`
	Server   Server `json:"server"`
}

// Fence issues the next fencing number for orders to a backend server's engine.
type Fence struct {
	Server string `json:"server"`
	// Holder identifies the process that will send the orders.
	Holder string `json:"holder"`
}

// Code classifies the result of a command.
type Code string

const (
	// CodeOK means that the change is committed.
	CodeOK Code = "ok"
	// CodeConflict means that another writer changed the object first.
	CodeConflict Code = "conflict"
	// CodeInvalid means that the change breaks a rule of its aggregate.
	CodeInvalid Code = "invalid"
	// CodeNotFound means that the object to change does not exist.
	CodeNotFound Code = "not-found"
	// CodeReused means that the operation id was used for another command.
	CodeReused Code = "operation-reused"
	// CodeFull means that a bounded table is full.
	CodeFull Code = "full"
)

// Result is the result of a command, retained for retries.
type Result struct {
	Code Code `json:"code"`
	// Index is the log index of the command, which is the changed object's new
	// revision.
	Index   uint64 `json:"index"`
	Message string `json:"message,omitempty"`
	// Winner is the current object if Code is CodeConflict.
	Winner *Change `json:"winner,omitempty"`
	// Fencing is the number issued by a Fence command.
	Fencing uint64 `json:"fencing,omitempty"`
	// Claim is the reply to a Claim command.
	Claim *claim.Reply `json:"claim,omitempty"`
	// Suspicion is the verdict on a Suspicion command.
	Suspicion suspicion.Verdict `json:"suspicion,omitempty"`
}

// Change is an object after the command at Index. Exactly one of the pointers or
// Suspects is set.
type Change struct {
	Index    uint64             `json:"index"`
	Contract *contract.Contract `json:"contract,omitempty"`
	Model    *catalogue.Model   `json:"model,omitempty"`
	Adapter  *catalogue.Adapter `json:"adapter,omitempty"`
	Service  *catalogue.Service `json:"service,omitempty"`
	Server   *Server            `json:"server,omitempty"`
	// Suspects holds the requests whose record changed in a crash or trial.
	Suspects []suspicion.Record `json:"suspects,omitempty"`
}

func ok(index uint64) Result { return Result{Code: CodeOK, Index: index} }

func invalid(index uint64, err error) Result {
	return Result{Code: CodeInvalid, Index: index, Message: err.Error()}
}

func notFound(index uint64, object string) Result {
	return Result{Code: CodeNotFound, Index: index, Message: "there is no " + object}
}

func conflict(index uint64, message string, winner *Change) Result {
	return Result{Code: CodeConflict, Index: index, Message: message, Winner: winner}
}
