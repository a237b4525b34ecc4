package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Log makes commands durable and passes them to Control.Apply on every control
// instance in the same order.
type Log interface {
	// Propose commits an encoded command and returns the result of Apply on
	// this or another instance. ErrNotAccepted means that the command was
	// not committed and never will be; after any other error it is unknown
	// whether it was or will be committed.
	Propose(ctx context.Context, data []byte) ([]byte, error)
	// Barrier returns nil once a quorum has confirmed that every command
	// committed on any instance before the call has been applied on this one.
	Barrier(ctx context.Context) error
	// Standing describes the log on this instance: its term, last entry,
	// applied entry, leader and number of voters. It must not block, and must
	// not report an entry as applied before Apply has returned for it.
	Standing() freshness.Standing
}

// ErrNotAccepted means that a command was not committed and never will be.
var ErrNotAccepted = errors.New("not accepted")

var undecodedCount = telemetry.Counter("control_commands_undecoded")

// UseLog replaces the log. It must be called before Run. By default commands are
// applied on this instance only and are lost when it stops.
func (c *Control) UseLog(log Log) { c.commandLog = log }

// Propose commits a command through the log and returns its result.
func (c *Control) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	if ahead, tooFar := c.clock.check(); tooFar {
		clockRefusedCount.Add(1)
		return state.Result{}, errors.Wrapf(ErrNotAccepted, "this instance's clock is %s ahead of the others", ahead)
	}
	if command.Time == 0 {
		command.Time = time.Now().UnixMilli()
	}
	data, err := command.Encode()
	if err != nil {
		return state.Result{}, err
	}
	answer, err := c.commandLog.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(answer)
}

// Apply executes one committed command and returns its encoded result. The log
// calls it in the order of the indexes.
func (c *Control) Apply(index uint64, data []byte) []byte {
	command, err := state.DecodeCommand(data)
	if err != nil {
		// An instance with another program version may have written the
		// command. Every instance with this version treats it the same way, as
		// an empty command, which is refused.
		undecodedCount.Add(1)
		c.log.Error("cannot decode committed command", zap.Uint64("index", index), zap.Error(err))
		command = state.Command{}
	}
	result := c.apply(index, command)
	answer, err := result.Encode()
	if err != nil {
		panic("control: cannot encode result: " + err.Error())
	}
	return answer
}

func (c *Control) apply(index uint64, command state.Command) state.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, change := c.machine.Apply(index, command)
	if change != nil {
		c.tail.append(*change)
		c.publish(time.Now())
	}
	return result
}

// Snapshot returns the encoded state for the log's compaction.
func (c *Control) Snapshot() ([]byte, error) {
	c.mu.Lock()
	frozen := c.machine.Freeze()
	c.mu.Unlock()
	return frozen.Encode()
}

// Restore replaces the state by a snapshot. Daemons that are behind it also get a
// snapshot, because the changes in between are not available.
func (c *Control) Restore(data []byte) error {
	machine, err := state.Decode(data)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine = machine
	c.pages = nil
	c.tail.reset(machine.ConfigIndex())
	c.publishNow(time.Now())
	return nil
}

// localLog applies commands immediately, on this instance only.
type localLog struct {
	control *Control
	mu      sync.Mutex
	index   uint64
	applied atomic.Uint64
}

// Propose implements Log.
func (l *localLog) Propose(_ context.Context, data []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	answer := l.control.Apply(l.index, data)
	l.applied.Store(l.index)
	return answer, nil
}

// Barrier implements Log. A single instance is its own quorum.
func (l *localLog) Barrier(context.Context) error { return nil }

// Standing implements Log.
func (l *localLog) Standing() freshness.Standing {
	applied := l.applied.Load()
	return freshness.Standing{LastIndex: applied, Applied: applied, Leader: l.control.options.Instance, Voter: true, Voters: l.control.options.Peers}
}
