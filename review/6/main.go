// Command 6 plays a server that leaves before its first heartbeat has arrived.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/review/harness2"
)

const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
	lateBy  = 2500 * time.Millisecond
	leaveAt = 800 * time.Millisecond
	serveOn = 9 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := harness2.New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.Close()
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		f.Record("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken > 0:
		f.Record("DRAIN is broken: %d requests", broken)
		fmt.Printf("DRAIN is broken: %d requests reached the server more than %v after its leave was acknowledged\n", broken, drain)
		return 1
	}
	f.Record("DRAIN held")
	fmt.Println("DRAIN held")
	return 0
}

// arrivals are the times at which requests reached the server that leaves.
type arrivals struct {
	mu  sync.Mutex
	at  []time.Time
	ids []string
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at, a.ids = append(a.at, time.Now()), append(a.ids, id)
}

func answer(conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(60 * time.Millisecond)
	return harness2.Answer(conn, r, http.StatusOK, "Server-Load: 1,0,6\r\n", "ok")
}

func play(f *harness2.Fleet, trouble bool) (broken int, err error) {
	if err := f.StartEntries(4, 2); err != nil {
		return 0, err
	}
	for i := range 3 {
		if _, err := f.StartServer(i, "desk", 6, nil, answer); err != nil {
			return 0, err
		}
	}
	config := harness2.Routes(1,
		[]string{`{"name":"deposit","host":"h","path-prefix":"/deposit/","kind":"unsafe","timeout-ms":4000,"target-latency-ms":300,"priority":2,"service":"desk","max-attempts":1}`},
		[]string{`{"name":"desk","health-path":"/health","max-conns":120,"protocol":"h1","tls":false}`}, "")
	if !f.Put("/Config.Put", config, 20*time.Second) || !f.AwaitReady(15*time.Second) {
		return 0, fmt.Errorf("the deployment is not ready")
	}
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Go(func() { send(f, i, stop) })
	}
	defer clients.Wait()
	defer close(stop)
	return leave(f, trouble)
}

// leave starts the server that leaves soon, and returns how many requests reached it too late.
func leave(f *harness2.Fleet, trouble bool) (late int, err error) {
	var reached arrivals
	s, err := f.StartSilentServer(3, "desk", func(conn net.Conn, reader *bufio.Reader, r *http.Request) bool {
		reached.add(r.Header.Get("Request-Id"))
		return answer(conn, reader, r)
	})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	beat, _ := json.Marshal(map[string]any{"service": "desk", "address": s.Address(), "zone": "z", "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0, "sequence": 1, "born": s.Born()})
	heartbeat := func(when string) {
		status, _ := f.Control(f.Entries[0], http.MethodPost, "/Instances.Heartbeat/"+s.ID, beat)
		f.Record("heartbeat 1 of %s arrives at %s, %s: %d", s.ID, f.Entries[0].IP, when, status)
	}
	if !trouble {
		heartbeat("in time")
	}
	time.Sleep(time.Until(began.Add(leaveAt)))
	body, _ := json.Marshal(map[string]any{"born": s.Born()})
	status, _ := f.Control(f.Entries[1], http.MethodPost, "/Instances.Leave/"+s.ID, body)
	acked := time.Now()
	f.Record("leave of %s to %s: %d", s.ID, f.Entries[1].IP, status)
	if status != http.StatusOK {
		return 0, fmt.Errorf("the leave was answered with %d", status)
	}
	if trouble {
		time.Sleep(time.Until(began.Add(lateBy)))
		heartbeat(fmt.Sprintf("%v late", lateBy))
	}
	time.Sleep(time.Until(acked.Add(serveOn)))
	s.Close()
	reached.mu.Lock()
	defer reached.mu.Unlock()
	for i, at := range reached.at {
		f.Record("request %s reached the server %.3f s after the acknowledgement", reached.ids[i], at.Sub(acked).Seconds())
		if at.Sub(acked) > drain {
			late++
		}
	}
	return late, nil
}

// send sends requests to all entries in turn.
func send(f *harness2.Fleet, number int, stop <-chan struct{}) {
	client := &http.Client{Timeout: 4 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		entry := f.Entries[(number+i)%len(f.Entries)]
		id := fmt.Sprintf("c%d-%d", number, i)
		status := f.Request(client, entry, http.MethodPost, "/deposit/"+id, "h", map[string]string{"Request-Id": id, "Deadline-Ms": "4000"}, "deposit")
		f.Record("request %s at %s: %d", id, entry.IP, status)
	}
}
