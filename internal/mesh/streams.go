package mesh

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// maxStreamRecords bounds the records that a process holds.
	maxStreamRecords = 1 << 15
	// recordTimeout limits the wait until another process has a record: the caller's first event
	// waits for it.
	recordTimeout = 80 * time.Millisecond
	// tellTimeout bounds one call that tells of streams, askTimeout one that asks for a stream.
	tellTimeout = time.Second
	askTimeout  = 300 * time.Millisecond
	// maxToldRecords bounds the records of one call.
	maxToldRecords = 256
	// maxTelling bounds the calls that tell of single streams at the same time; the streams beyond it
	// are told together, within tellInterval.
	maxTelling   = 128
	tellInterval = 100 * time.Millisecond
)

var (
	streamsUntoldCount  = telemetry.Counter("mesh_streams_untold")
	streamsUnknownCount = telemetry.Counter("mesh_streams_unknown")
)

// streams knows at which software version streams began.
type streams struct {
	mesh *Mesh
	// telling bounds the calls that tell of single streams.
	telling chan struct{}
	// wakeup makes the task tell of the streams that began here and of which no other knows.
	wakeup chan struct{}
	// file is nil without a disk.
	file *streamsFile

	// The fields below are guarded by mesh.mu.
	table *streamversion.Table
	seen  *streamversion.Seen
	// complete is set once no version that served before the start of this process can be missing.
	complete bool
	started  time.Time
	// only holds, by service, the version that was the only one until a second one was heard of.
	only map[string]onlyVersion
	// persisted holds the versions that most disks are known to hold.
	persisted map[streamversion.SeenVersion]bool

	// published holds the versions in only, readable without mesh.mu.
	published atomic.Pointer[map[string]string]
}

func newStreams(m *Mesh) *streams {
	return &streams{
		mesh: m, telling: make(chan struct{}, maxTelling), wakeup: make(chan struct{}, 1),
		table: streamversion.NewTable(maxStreamRecords), seen: streamversion.NewSeen(), complete: m.options.Bootstrap, started: time.Now(),
		only: make(map[string]onlyVersion), persisted: make(map[streamversion.SeenVersion]bool),
	}
}

// heardVersion records that a server was heard, unless all that is known of it is that it has left. The caller
// holds mesh.mu.
func (s *streams) heardVersion(server *roster.Server, now time.Time) {
	if server.Service == "" {
		return
	}
	before := s.seen.Change()
	several := s.seen.Heard(server.Service, server.Version, now)
	if s.seen.Change() != before {
		s.file.add(streamLine{Versions: []streamversion.SeenVersion{{Service: server.Service, Version: server.Version}}})
	}
	if !several {
		return
	}
	others := slices.DeleteFunc(s.seen.Of(server.Service, now), func(version string) bool { return version == server.Version })
	if s.isComplete(now) && len(others) == 1 {
		s.endOnlyVersion(server.Service, others[0], now)
	}
	s.mesh.log.Info("several software versions serve", zap.String("service", server.Service), zap.Strings("versions", s.seen.Of(server.Service, now)))
	// Until now nobody needed to know of the streams that are open.
	s.file.addStreams(s.table.Untold(now, func(service string) bool { return service == server.Service }))
	s.wake()
}

func (s *streams) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// mergeVersions records the versions that another process, or an earlier incarnation, has heard of.
// The caller holds mesh.mu.
func (s *streams) mergeVersions(versions []streamversion.SeenVersion, complete bool, now time.Time) {
	for _, v := range versions {
		s.heardVersion(&roster.Server{Service: v.Service, Version: v.Version}, now.Add(-time.Duration(v.AgeMillis)*time.Millisecond))
	}
	s.complete = s.complete || complete
}

// isComplete reports whether no version that served within the retention can be missing. The caller
// holds mesh.mu.
func (s *streams) isComplete(now time.Time) bool {
	return s.complete || now.Sub(s.started) >= streamversion.Retention
}

// RecordStream records at which version a stream of this process began. While several versions serve,
// it returns once another process knows too, or after a short time.
func (m *Mesh) RecordStream(ctx context.Context, r streamversion.Record) {
	s := m.streams
	now := time.Now()
	m.mu.Lock()
	s.table.Put(r, true, now)
	several := s.seen.Several(r.Service, now)
	m.mu.Unlock()
	if several {
		s.file.addStreams([]streamversion.Record{r})
		s.tell(ctx, r)
	}
}

// tell tells the holders of one stream, and waits for the first of them.
func (s *streams) tell(ctx context.Context, r streamversion.Record) {
	select {
	case s.telling <- struct{}{}:
	default:
		s.wake()
		return
	}
	told := make(chan struct{}, streamversion.Copies)
	holders := streamversion.Told(r.Stream, s.nodes())
	go func() {
		defer func() { <-s.telling }()
		s.tellAll(holders, []streamversion.Record{r}, told)
	}()
	if len(holders) == 0 {
		return
	}
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
		streamsUntoldCount.Add(1)
	case <-ctx.Done():
	}
}

// tellAll tells processes of the same streams, and signals each one that knows them. If there is none,
// the task tells others later.
func (s *streams) tellAll(holders []streamversion.Node, records []streamversion.Record, told chan<- struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	results := make(chan error, len(holders))
	for _, holder := range holders {
		go func() {
			results <- s.mesh.call(ctx, holder.Address, methodTellStreams, streamRecords{Records: records}, &struct{}{})
		}()
	}
	known := 0
	for range holders {
		if err := <-results; err != nil {
			continue
		}
		known++
		s.mesh.mu.Lock()
		for _, r := range records {
			s.table.Told(r)
		}
		s.mesh.mu.Unlock()
		told <- struct{}{}
	}
	if known == 0 {
		s.wake()
	}
}

// run tells of the streams that began here and of which no other process knows, when it is woken:
// those that were open when a second version appeared, and those that were too many to be told alone.
func (s *streams) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		}
		s.tellUntold()
		if wait.For(ctx, tellInterval) != nil {
			return
		}
	}
}

func (s *streams) tellUntold() {
	now := time.Now()
	s.mesh.mu.Lock()
	untold := s.table.Untold(now, func(service string) bool { return s.seen.Several(service, now) })
	s.mesh.mu.Unlock()
	nodes := s.nodes()
	byHolder := make(map[streamversion.Node][]streamversion.Record)
	for _, r := range untold {
		for _, holder := range streamversion.Told(r.Stream, nodes) {
			byHolder[holder] = append(byHolder[holder], r)
		}
	}
	for holder, records := range byHolder {
		for len(records) > 0 {
			n := min(len(records), maxToldRecords)
			s.tellAll([]streamversion.Node{holder}, records[:n], make(chan struct{}, 1))
			records = records[n:]
		}
	}
}

// nodes lists the other entries that are not known to be lost.
func (s *streams) nodes() []streamversion.Node {
	m := s.mesh
	now := time.Now()
	m.mu.Lock()
	nodes := make([]streamversion.Node, 0, len(m.peers))
	for _, q := range m.peers {
		if q.process.Started != 0 && q.process.Entry && !q.isLost(now) {
			nodes = append(nodes, streamversion.Node{Address: q.process.Address, Disk: q.process.Disk})
		}
	}
	m.mu.Unlock()
	return nodes
}

// StreamVersion returns what is known of the stream that began with a caller's attempt, asking other
// processes if need be. The record may be of another service than the one that is asked for.
func (m *Mesh) StreamVersion(ctx context.Context, attempt, service string) streamversion.Question {
	stream := streamversion.Of(attempt)
	q := m.knownOfStream(stream, service)
	if q.Found {
		return q
	}
	proven := m.knowsVersions(ctx)
	if q = m.knownOfStream(stream, service); proven && q.Complete && len(q.Versions) <= 1 {
		return q
	}
	unreached := stream != 0 && m.streams.ask(ctx, stream)
	// Those that were asked also told of the versions that they heard of.
	q = m.knownOfStream(stream, service)
	q.Complete = q.Complete && proven
	if !q.Found {
		q.Unreached = unreached || !proven
		streamsUnknownCount.Add(1)
	}
	return q
}

// KnownVersions returns which versions of a service served, as far as this process knows.
func (m *Mesh) KnownVersions(service string) streamversion.Question {
	return m.knownOfStream(0, service)
}

// knownOfStream returns what this process knows by itself.
func (m *Mesh) knownOfStream(stream streamversion.Stream, service string) streamversion.Question {
	connected := m.Connected()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	q := streamversion.Question{Service: service, Versions: m.streams.seen.Of(service, now), Complete: connected && m.streams.isComplete(now)}
	q.Record, q.Found = m.streams.table.Get(stream, now)
	q.Only = m.onlyVersion(service, now)
	return q
}

// ask asks the holders of a stream for its record, and keeps it: the caller may come again. It reports
// whether one of them did not answer before the record was found.
func (s *streams) ask(ctx context.Context, stream streamversion.Stream) (unreached bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	nodes := s.nodes()
	// Where most others count as lost, this process may be the one that was cut off or stood still.
	unreached = 2*len(nodes) < len(s.mesh.otherProcesses(func(p *Process) bool { return p.Entry }))
	holders := streamversion.Asked(stream, nodes)
	replies := make(chan *streamReply, len(holders))
	for _, holder := range holders {
		go func() {
			reply := &streamReply{}
			if err := s.mesh.call(ctx, holder.Address, methodAskStream, streamRequest{Stream: stream}, reply); err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range holders {
		reply := <-replies
		if reply == nil {
			unreached = true
			continue
		}
		now := time.Now()
		s.mesh.mu.Lock()
		s.mergeVersions(reply.Versions, reply.Complete, now)
		if reply.Found {
			s.table.Put(reply.Record, false, now)
		}
		s.mesh.mu.Unlock()
		if reply.Found {
			return unreached
		}
	}
	return unreached
}

func (m *Mesh) handleTellStreams(_ context.Context, in streamRecords) (struct{}, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range in.Records {
		m.streams.table.Put(r, false, now)
	}
	m.streams.file.addStreams(in.Records)
	return struct{}{}, nil
}

func (m *Mesh) handleAskStream(_ context.Context, in streamRequest) (streamReply, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := streamReply{Versions: m.streams.seen.List(now), Complete: m.streams.isComplete(now)}
	reply.Record, reply.Found = m.streams.table.Get(in.Stream, now)
	return reply, nil
}
