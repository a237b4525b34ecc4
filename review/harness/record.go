package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a case at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf adds a line with the time since the start in seconds.
func (r *Record) Printf(format string, args ...any) { r.At(time.Now(), format, args...) }

// At adds a line of something that happened at a time.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the disruption of the case is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and returns its exit code. The argument of the command is the path of the record.
func Main(run func(f *Fleet) (broken []string, err error)) int {
	if len(os.Args) < 2 {
		fmt.Println("the path of the record is missing")
		return NotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	f, err := NewFleet(record)
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer f.Close(os.Getenv("KEEP") != "")
	record.Printf("trouble: %v", Trouble())
	broken, err := run(f)
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return NotRun
	case len(broken) > 0:
		for _, line := range broken {
			record.Printf("BROKEN: %s", line)
		}
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return Broken
	}
	record.Printf("the rule held")
	fmt.Println("the rule held")
	return Held
}
