package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// node is one process of a fleet on loopback.
type node struct {
	*Mesh
	cancel  context.CancelFunc
	stopped chan struct{}
}

// fleet starts processes that all have only the first one as their seed.
type fleet struct {
	t         *testing.T
	addresses []string
	folders   []string
	nodes     []*node
	// losses is the number of disks that may be lost at the same time.
	losses int
	// configure, when set, changes a process before it runs.
	configure func(*Mesh)
	// handlers, when set, changes the methods of a process.
	handlers func(*Mesh, map[string]rpc.Handler)
	// links are the rates, in bytes per second and each way, of the connections to a process, by its number; without
	// one they are as fast as they can be.
	links map[int]rate.Limit
}

// slowListener limits the rate of its connections, as a slow link does.
type slowListener struct {
	net.Listener
	limit rate.Limit
}

// slowChunk is the most, in bytes, that a slow connection carries at once.
const slowChunk = 4 << 10

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{conn, rate.NewLimiter(l.limit, slowChunk), rate.NewLimiter(l.limit, slowChunk)}, nil
}

type slowConn struct {
	net.Conn
	in, out *rate.Limiter
}

func (c slowConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), slowChunk)])
	_ = c.in.WaitN(context.Background(), n)
	return n, err
}

func (c slowConn) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		chunk := data[written:min(len(data), written+slowChunk)]
		_ = c.out.WaitN(context.Background(), len(chunk))
		var n int
		n, err = c.Conn.Write(chunk)
		written += n
	}
	return written, err
}

func decode(body []byte) (*route.Document, error) {
	var d route.Document
	return &d, json.Unmarshal(body, &d)
}

// startFleet starts a fleet with the given numbers of processes with and without a disk.
func startFleet(t *testing.T, disks, others int) *fleet {
	t.Helper()
	f := newFleet(t, disks, others)
	for i := range f.nodes {
		f.start(i, true)
	}
	return f
}

// newFleet returns a fleet in which no process has started.
func newFleet(t *testing.T, disks, others int) *fleet {
	t.Helper()
	addresses, err := loopback.Addresses(disks + others)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, addresses: addresses, losses: 1}
	for i := range disks + others {
		folder := ""
		if i < disks {
			folder = filepath.Join(t.TempDir(), fmt.Sprint("disk", i))
		}
		f.folders = append(f.folders, folder)
		f.nodes = append(f.nodes, nil)
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			f.stop(i)
		}
	})
	return f
}

func (f *fleet) start(i int, bootstrap bool) {
	f.t.Helper()
	m := New(Options{
		Self:  Process{Name: fmt.Sprint("p", i), Address: f.addresses[i], Entry: true, Disk: f.folders[i] != "", Started: time.Now().UnixNano()},
		Seeds: f.addresses[:1], Bootstrap: bootstrap, Folder: f.folders[i], ToleratedLosses: f.losses,
	}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	// A disk that is slow under other load must not count as hung.
	m.quorumWait = time.Minute
	if m.host != nil {
		m.configWriter.timeout = time.Minute
	}
	if f.configure != nil {
		f.configure(m)
	}
	listener, err := Listen(f.addresses[i])
	if err != nil {
		f.t.Fatal(err)
	}
	if limit := f.links[i]; limit > 0 {
		listener = slowListener{listener, limit}
	}
	ctx, cancel := context.WithCancel(context.Background())
	handlers := m.Handlers()
	if f.handlers != nil {
		f.handlers(m, handlers)
	}
	server := rpc.NewServer(handlers)
	go func() { _ = server.Serve(ctx, listener) }()
	n := &node{Mesh: m, cancel: cancel, stopped: make(chan struct{})}
	go func() {
		m.Run(ctx)
		_ = listener.Close()
		server.Close()
		close(n.stopped)
	}()
	f.nodes[i] = n
}

func (f *fleet) stop(i int) {
	if n := f.nodes[i]; n != nil {
		n.cancel()
		<-n.stopped
		f.nodes[i] = nil
	}
}

// eventually waits until a condition is true; it ends when the test times out.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		if t.Context().Err() != nil {
			t.FailNow()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) put(i int, version uint64) {
	f.t.Helper()
	eventually(f.t, func() bool {
		body := fmt.Sprintf(`{"Version":%d}`, version)
		return f.nodes[i].Propose(context.Background(), document.Command{Put: &document.Put{Version: version, Body: []byte(body)}}) == nil
	})
}

func (f *fleet) voters(i int) int {
	r := f.nodes[i].host.current.Load()
	if r == nil {
		return 0
	}
	return len(r.Status().Config.Voters)
}

// read waits for a confirmed read and returns its version.
func (f *fleet) read(i int) uint64 {
	f.t.Helper()
	var version uint64
	eventually(f.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		state, err := f.nodes[i].Read(ctx)
		version = state.Version
		return err == nil
	})
	return version
}
