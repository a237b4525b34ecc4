package wire

// Methods that entries call at the agent beside an engine whose requests pass
// the agent by.
const (
	// MethodStartAdmit asks for the start of a request and returns when it may
	// start or is refused.
	MethodStartAdmit = "start.admit"
	// MethodStartBegun tells that a request has produced its first event.
	MethodStartBegun = "start.begun"
	// MethodStartDone tells that a request has ended or is not wanted any more.
	MethodStartDone = "start.done"
	// MethodStartWatch returns the engine's state when it has changed.
	MethodStartWatch = "start.watch"
)

// StartRequest asks for a start.
type StartRequest struct {
	ID string `json:"id"`
	// Try counts the starts that were asked for this request: an entry that asks
	// again tells of the end of the one before at the same time.
	Try int `json:"try"`
	// Adapter is model/adapter; empty for the base model alone.
	Adapter string `json:"adapter,omitempty"`
	// Version is the newest of the adapter that the entry has heard of, 0 when
	// none was named: the agent may not have heard of it yet.
	Version int64 `json:"version,omitempty"`
	// Rank orders waiting requests; 0 goes first.
	Rank int `json:"rank,omitempty"`
	// Prompt is the number of tokens to read, Tokens the most engine memory
	// that it takes.
	Prompt int `json:"prompt"`
	Tokens int `json:"tokens"`
	// Parts are the prompt's parts in order, which requests may share.
	Parts []PromptPart `json:"parts,omitempty"`
	// TargetMillis is how long until its first event is hoped for.
	TargetMillis int64 `json:"targetMillis,omitempty"`
	// WaitMillis is how long a start is of use.
	WaitMillis int64 `json:"waitMillis"`
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// StartReply grants or refuses a start.
type StartReply struct {
	Start bool `json:"start"`
	// Reason says why not.
	Reason string `json:"reason,omitempty"`
	// Version is the adapter's that the request will meet, 0 without one.
	Version int64 `json:"version,omitempty"`
}

// StartDone names a request whose start has ended or begun to show events.
type StartDone struct {
	ID  string `json:"id"`
	Try int    `json:"try"`
	// PauseMillis is the longest pause between two events of a stream that has
	// ended, AllowedMillis the one that its route allows; 0 where none was seen.
	PauseMillis   int64 `json:"pauseMillis,omitempty"`
	AllowedMillis int64 `json:"allowedMillis,omitempty"`
}

// StartWatch asks for a state newer than Change.
type StartWatch struct {
	Change uint64 `json:"change"`
	// HeldChange is that of the adapters that the caller knows.
	HeldChange uint64 `json:"heldChange"`
	WaitMillis int64  `json:"waitMillis"`
}

// EngineState is an engine as its agent sees it.
type EngineState struct {
	Change uint64 `json:"change"`
	// Known is false until the engine has reported.
	Known bool `json:"known"`
	// Leaving is true when it takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Tokens  int  `json:"tokens"`
	// Batch and MemoryTokens are what the agent lets run at once.
	Batch        int `json:"batch"`
	MemoryTokens int `json:"memoryTokens"`
	// DelayMillis is how long a start of each rank would wait now, apart from its
	// adapter; the last one holds for all higher ranks.
	DelayMillis []int64 `json:"delayMillis"`
	// PromptMillis is what 1,000 tokens of a prompt add to that.
	PromptMillis int64 `json:"promptMillis"`
	// LoadMillis is how long an adapter that is asked for now would take to
	// come, the loads before it included.
	LoadMillis int64 `json:"loadMillis"`
	// Models are the base models that it holds.
	Models []string `json:"models,omitempty"`
	// HeldChange counts the changes of Held and Stale, which are left out where
	// the caller knows them.
	HeldChange uint64 `json:"heldChange"`
	// Held are the adapters that start at once or after a load under way, Stale
	// those that are held in an outdated version and in use.
	Held  []string `json:"held,omitempty"`
	Stale []string `json:"stale,omitempty"`
}
