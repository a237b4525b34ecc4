package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNotPersisted means that too few disks hold what is to be acknowledged: a restart of all entries could forget it.
var ErrNotPersisted = errors.New("most disks do not hold it yet")

// errNoDisk is the answer of a process without a disk that is asked to write something.
var errNoDisk = errors.New("this process has no disk")

const (
	// diskWriteTimeout bounds the wait of a process that is asked to write something, persistCallTimeout the
	// call that asks it. The call lasts longer, as one that is aborted closes the connection that others share.
	diskWriteTimeout   = 800 * time.Millisecond
	persistCallTimeout = time.Second
)

// persistOnMostDisks asks all processes with a disk to write something, and this one by own. It returns nil
// once more than half of the disks hold it, and at once where there are none.
func (m *Mesh) persistOnMostDisks(ctx context.Context, method string, message any, own func(context.Context) error) error {
	others := m.otherDisks()
	disks := len(others)
	results := make(chan error, disks+1)
	if m.options.Folder != "" {
		disks++
		go func() { results <- own(ctx) }()
	}
	for _, address := range others {
		go func() {
			call, cancel := context.WithTimeout(context.Background(), persistCallTimeout)
			defer cancel()
			results <- m.call(call, address, method, message, &struct{}{})
		}()
	}
	if disks == 0 {
		return nil
	}
	needed, spare := disks/2+1, (disks-1)/2
	for {
		select {
		case err := <-results:
			if err == nil {
				needed--
			} else if spare--; spare < 0 {
				return errors.Wrapf(err, "%d more of %d disks are needed", needed, disks)
			}
			if needed == 0 {
				return nil
			}
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d more of %d disks are needed", needed, disks)
		}
	}
}

// otherDisks lists the addresses of the other processes with a disk, those included that do not answer at
// present. Processes that nobody has heard for long are not counted, as they may have been removed.
func (m *Mesh) otherDisks() []string {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, q := range m.peers {
		if q.hasDisk(now) {
			addresses = append(addresses, q.process.Address)
		}
	}
	return addresses
}

// hasDisk reports whether the peer has a disk and was heard by any process within silentRetention. The caller
// holds mu.
func (q *peer) hasDisk(now time.Time) bool {
	return q.process.Started != 0 && q.process.Disk && now.Sub(q.lastHeardAny) < silentRetention
}
