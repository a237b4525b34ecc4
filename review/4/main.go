// Command 4 shows that an agent that was killed and started again starts requests on an adapter's old version.
package main

import (
	"os"
	"syscall"
	"time"

	"github.com/rosemarypass/rosemarypass/review/harness"
)

func main() { os.Exit(harness.Main(run)) }

const (
	// longEvents are those of a long stream, 12 s, and shortEvents those of the others.
	longEvents  = 240
	shortEvents = 20
	// killAt and lastAt are times after the acknowledgement of the new version.
	killAt = 6 * time.Second
	lastAt = 9 * time.Second
)

func run(f *harness.Fleet) ([]string, error) {
	v, err := harness.StartVersions(f, 12)
	if err != nil {
		return nil, err
	}
	// A long stream keeps the old version at the engine until it ends.
	v.Stream(0, longEvents)
	time.Sleep(300 * time.Millisecond)
	acked, err := v.Name()
	if err != nil {
		return nil, err
	}
	killed := false
	for i := 1; time.Since(acked) < lastAt; i++ {
		if !killed && harness.Trouble() && time.Since(acked) >= killAt {
			killed = true
			v.Agent.Signal(syscall.SIGKILL)
			go func() {
				if err := v.Agent.Restart(); err != nil {
					f.Record.Printf("the agent was not restarted: %v", err)
				}
			}()
		}
		v.Stream(i, shortEvents)
		time.Sleep(200 * time.Millisecond)
	}
	v.Wait()
	return v.Broken(), nil
}
