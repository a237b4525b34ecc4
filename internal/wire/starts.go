package wire

// Methods that entries call on the agent of an engine whose requests bypass the
// agent.
const (
	// MethodStartAdmit requests permission to start a request and returns when the
	// permission is granted or refused.
	MethodStartAdmit = "start.admit"
	// MethodStartFirstEvent reports that a request has produced its first event.
	MethodStartFirstEvent = "start.begun"
	// MethodStartDone reports that a request has ended or is no longer wanted.
	MethodStartDone = "start.done"
	// MethodStartWatch returns the engine's state once it has changed.
	MethodStartWatch = "start.watch"
)

// StartRequest requests permission to start a request.
type StartRequest struct {
	ID string `json:"id"`
	// Attempt numbers the attempts to start this request. A new attempt also ends
	// the one before it.
	Attempt int `json:"try"`
	// Engine is the ID of the engine's incarnation that the entry chose, Born its time of birth in Unix
	// milliseconds. The agent cannot ask its engine for the ID.
	Engine string `json:"engine,omitempty"`
	Born   int64  `json:"born,omitempty"`
	// Adapter has the form model/adapter. It is empty for the base model alone.
	Adapter string `json:"adapter,omitempty"`
	// Version is the newest version of the adapter that the entry knows, or 0 if
	// it knows none. It is sent because the agent may not know that version yet.
	Version int64 `json:"version,omitempty"`
	// VersionAgeMillis is how long ago that version was announced, as far as the entry
	// knows: an agent that has restarted learns of old versions as if they were new.
	VersionAgeMillis int64 `json:"versionAgeMillis,omitempty"`
	// Rank orders waiting requests; rank 0 starts first. Among equal ranks, teams take
	// turns.
	Rank int    `json:"rank,omitempty"`
	Team string `json:"team,omitempty"`
	// Share is the team's recent use in percent of an equal part of the use of all teams;
	// 0 where it is not known. Teams within their share go first.
	Share int `json:"share,omitempty"`
	// BehindMillis is for how long the request goes behind all others of its rank, since
	// its caller returned before the time that it was told.
	BehindMillis int64 `json:"behindMillis,omitempty"`
	// Prompt is the number of prompt tokens to process, Tokens the maximum engine
	// memory that the request takes, in tokens.
	Prompt int `json:"prompt"`
	Tokens int `json:"tokens"`
	// TargetMillis is the target for the time to the first event.
	TargetMillis int64 `json:"targetMillis,omitempty"`
	// WaitMillis is how long the caller waits for the start.
	WaitMillis int64 `json:"waitMillis"`
	// GapMillis is the longest pause between two events that the route allows; 0 for no limit.
	GapMillis int64 `json:"gapMillis,omitempty"`
	// MaxDelayMillis is the delay of the start beyond which the agent declines at
	// once; 0 for no limit. OnlyIfHeld makes it decline unless the engine holds the
	// adapter or is loading it.
	MaxDelayMillis int64 `json:"maxDelayMillis,omitempty"`
	OnlyIfHeld     bool  `json:"onlyIfHeld,omitempty"`
	// HeldChange is the EngineState.HeldChange of the adapters that the entry
	// already has.
	HeldChange uint64 `json:"heldChange"`
}

// StartReply grants or refuses a start.
type StartReply struct {
	Start bool `json:"start"`
	// Reason is why the start is refused. Declined is set if the request's own
	// conditions were not met: another engine is likely to serve it sooner.
	Reason   string `json:"reason,omitempty"`
	Declined bool   `json:"declined,omitempty"`
	// Version is the adapter version that the request will run on, 0 without an
	// adapter.
	Version int64 `json:"version,omitempty"`
	// State is the state of the engine after this decision, as in the reply to a
	// StartWatch.
	State EngineState `json:"state"`
}

// StartDone identifies a request that has ended or produced its first event.
type StartDone struct {
	ID      string `json:"id"`
	Attempt int    `json:"try"`
	// PauseMillis is the longest pause between two events of a stream that has
	// ended, AllowedMillis the longest pause that its route allows. They are 0 if
	// no pause was measured.
	PauseMillis   int64 `json:"pauseMillis,omitempty"`
	AllowedMillis int64 `json:"allowedMillis,omitempty"`
	// SlowPercent is how long work took on the engine's machine, in percent of the
	// baseline, as the engine told with its answer; 0 when it told nothing.
	// SlowAgeMillis is how long before this message the entry received it.
	SlowPercent   int   `json:"slowPercent,omitempty"`
	SlowAgeMillis int64 `json:"slowAgeMillis,omitempty"`
}

// StartWatch requests the EngineState once it is newer than Change.
type StartWatch struct {
	Change uint64 `json:"change"`
	// HeldChange is the EngineState.HeldChange of the adapters that the caller
	// already has.
	HeldChange uint64 `json:"heldChange"`
	WaitMillis int64  `json:"waitMillis"`
}

// EngineState is the state of an engine as observed by its agent.
type EngineState struct {
	Change uint64 `json:"change"`
	// Known is false until the engine has sent a report.
	Known bool `json:"known"`
	// Born is the start time of the engine's incarnation, in Unix milliseconds of its own
	// clock; 0 if its reports tell none.
	Born int64 `json:"born,omitempty"`
	// Leaving is true if the engine accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Tokens  int  `json:"tokens"`
	// Batch and MemoryTokens limit the requests, and the tokens of engine memory,
	// that the agent lets run at once.
	Batch        int `json:"batch"`
	MemoryTokens int `json:"memoryTokens"`
	// DelayMillis is the current waiting time of a start by rank, without the time
	// to load its adapter. The last value applies to all higher ranks.
	DelayMillis []int64 `json:"delayMillis"`
	// WithinShareMillis is DelayMillis for requests of teams within their shares; omitted while
	// no request of a team above its share waits.
	WithinShareMillis []int64 `json:"withinShareMillis,omitempty"`
	// PromptMillis is the time that 1,000 prompt tokens add to DelayMillis.
	PromptMillis int64 `json:"promptMillis"`
	// PlaceMillis is the time in which a place of a full batch becomes free.
	PlaceMillis int64 `json:"placeMillis,omitempty"`
	// SlotMillis is how long an adapter requested now would wait for an adapter
	// slot.
	SlotMillis int64 `json:"slotMillis,omitempty"`
	// LoadMillis is how long loading an adapter requested now would take,
	// including the loads queued before it.
	LoadMillis int64 `json:"loadMillis"`
	// SlowPercent is how long work takes on the engine's machine now, in percent of
	// the baseline; 0 while unknown. The delays above include it.
	SlowPercent int `json:"slowPercent,omitempty"`
	// HoldAbove is the number of prompt tokens above which a start is held now
	// because reading the prompt would stall streams; 0 when none is held. HoldMillis
	// is how long such a start is expected to be held.
	HoldAbove  int   `json:"holdAbove,omitempty"`
	HoldMillis int64 `json:"holdMillis,omitempty"`
	// Models are the base models that the engine has loaded.
	Models []string `json:"models,omitempty"`
	// HeldChange counts the changes of Held and Stale, which are omitted if the
	// caller already knows them.
	HeldChange uint64 `json:"heldChange"`
	// Held are the adapters whose requests can start immediately or after a load in
	// progress, Stale those that are loaded in an outdated version and in use.
	Held  []string `json:"held,omitempty"`
	Stale []string `json:"stale,omitempty"`
}
