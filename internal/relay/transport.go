package relay

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/interim"
	"github.com/rosemarypass/rosemarypass/internal/socket"
)

// maxIdlePerHost is the maximum number of idle connections per next hop.
const maxIdlePerHost = 256

// idleTimeout is how long an idle connection is kept.
const idleTimeout = 90 * time.Second

// maxResponseHeaderBytes bounds the head of a response, with the interim responses before it.
const maxResponseHeaderBytes = 64 << 10

// NewClient returns a client with a new Transport that returns redirects to the
// caller: following one would run a call at a server that the caller did not
// choose.
func NewClient(dialTimeout time.Duration, options ...Option) *http.Client {
	return &http.Client{
		Transport:     NewTransport(dialTimeout, options...),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Transport sends a request at most once and reports afterwards whether any of
// its bytes were sent.
//
// net/http silently resends a request if a kept-alive connection fails and the
// method is idempotent or the request has an Idempotency-Key. The first copy may
// have run, so a booking would run twice, visible only as a second entry in the
// service's records. A request from NewRequest has a body that cannot be rewound,
// so net/http never replays it.
//
// A request with Close set gets its own connection. On a kept-alive connection
// that the server has closed in the meantime, the outcome of such a call would be
// unknown although the server never received it.
type Transport struct {
	shared   *http.Transport
	unpooled *http.Transport
}

// NewTransport returns a transport with no connections.
func NewTransport(dialTimeout time.Duration, options ...Option) *Transport {
	dialer := newDialer(dialTimeout)
	t := NewTransportOver(dialer.DialContext, options...)
	t.shared.TLSHandshakeTimeout = dialTimeout
	t.unpooled.TLSHandshakeTimeout = dialTimeout
	return t
}

// A silent peer is detected by keep-alive probes on an idle connection and by
// missing acknowledgements while data is in flight. A request to a peer behind a
// network partition would otherwise wait minutes for its first byte, while other
// servers could run it.
const (
	probeIdle      = 2 * time.Second
	probeInterval  = time.Second
	probeCount     = 3
	silenceTimeout = probeIdle + probeCount*probeInterval
)

type promptPeerKey struct{}

// WithPromptPeer marks calls to a peer that reads incoming data immediately, as
// agents do. Only for such a peer do missing acknowledgements mean that it is
// unreachable: an ordinary service may leave a long body unread while it is busy.
func WithPromptPeer(ctx context.Context) context.Context {
	return context.WithValue(ctx, promptPeerKey{}, true)
}

func promptPeer(ctx context.Context) bool {
	marked, _ := ctx.Value(promptPeerKey{}).(bool)
	return marked
}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		ControlContext:  setUserTimeout,
	}
}

// setUserTimeout makes the kernel close connections to prompt peers on which sent data
// stays unacknowledged for silenceTimeout.
func setUserTimeout(ctx context.Context, _, _ string, raw syscall.RawConn) error {
	if !promptPeer(ctx) {
		return nil
	}
	return socket.SetUserTimeout(raw, silenceTimeout)
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Secure performs a TLS handshake with the peer at an address.
type Secure func(ctx context.Context, conn net.Conn, address string) (*tls.Conn, error)

// NewTransportOver returns a transport that opens its connections with dial.
func NewTransportOver(dial Dial, options ...Option) *Transport {
	shared := &http.Transport{
		DialContext:         dial.dialGated,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// A server in trouble may write a head without end.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	for _, option := range options {
		option(dial, shared)
	}
	unpooled := shared.Clone()
	unpooled.DisableKeepAlives = true
	return &Transport{shared: shared, unpooled: unpooled}
}

// RoundTrip implements http.RoundTripper. If it returns an error for which Sent
// is false, no byte of the request was sent or will be. A request that is given up
// before its answer is complete takes back what the peer has not received yet.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	used := &usedConns{}
	// net/http closes a connection as soon as its request's context ends. The
	// connection must be set to reset before that, so net/http gets a context that
	// ends afterwards.
	caller := request.Context()
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	stop := context.AfterFunc(caller, func() {
		used.abandon()
		cancel(context.Cause(caller))
	})
	end := func() {
		stop()
		cancel(nil)
	}
	trace := &httptrace.ClientTrace{
		GotConn:        used.add,
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error { return interim.Check(status, http.Header(header)) },
	}
	response, err := t.transportFor(request).RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		end()
		if !used.seal() {
			err = &NotSentError{err}
		}
		return nil, err
	}
	if response.Body == http.NoBody {
		end()
		return response, nil
	}
	response.Body = &answerBody{ReadCloser: response.Body, abandon: used.abandon, end: end}
	return response, nil
}

// CloseIdleConnections closes idle kept-alive connections.
func (t *Transport) CloseIdleConnections() { t.shared.CloseIdleConnections() }

func (t *Transport) transportFor(request *http.Request) *http.Transport {
	if request.Close {
		return t.unpooled
	}
	return t.shared
}

// NotSentError reports that no byte of the request was sent and none will be.
type NotSentError struct{ error }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.error }

// Sent reports whether any byte of a request that failed with err may have been
// sent.
func Sent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func (dial Dial) dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}

// Option configures how a transport connects.
type Option func(Dial, *http.Transport)

// WithSecure performs the TLS handshakes of https connections with secure.
func WithSecure(secure Secure) Option {
	return func(dial Dial, transport *http.Transport) {
		transport.DialTLSContext = dial.dialGatedTLS(secure)
	}
}

func (dial Dial) dialGatedTLS(secure Secure) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial.dialGated(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return secure(ctx, conn, address)
	}
}

var errSealed = errors.New("connection sealed: its request was abandoned")

// gatedConn counts writes and can be sealed against further ones. RoundTrip may
// return before the goroutine that writes the request has started; without the
// seal, the request could be sent after its caller was told that it did not run.
type gatedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	// abandoned is set while closing the connection resets it.
	abandoned bool
}

func (c *gatedConn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

func (c *gatedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *gatedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes later writes fail and returns the number of writes already started.
func (c *gatedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// setAbandoned sets whether closing the connection takes back what the peer has not
// received.
func (c *gatedConn) setAbandoned(abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned != abandoned {
		c.abandoned = abandoned
		socket.SetResetOnClose(c.Conn, abandoned)
	}
}

// usedConns records the connections assigned to one request.
type usedConns struct {
	mu        sync.Mutex
	conns     []usedConn
	abandoned bool
}

type usedConn struct {
	conn *gatedConn
	// priorWrites is the number of writes of earlier requests on the connection.
	priorWrites uint64
}

func (u *usedConns) add(info httptrace.GotConnInfo) {
	raw := info.Conn
	if secure, ok := raw.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	conn := raw.(*gatedConn)
	u.mu.Lock()
	defer u.mu.Unlock()
	// A context that ended just as its request's answer was complete may have left
	// this set.
	conn.setAbandoned(u.abandoned)
	u.conns = append(u.conns, usedConn{conn: conn, priorWrites: conn.writeCount()})
}

// abandon makes the close of the connections reset them, also of those that are
// added later.
func (u *usedConns) abandon() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abandoned = true
	for _, used := range u.conns {
		used.conn.setAbandoned(true)
	}
}

// seal prevents further writes of the request and reports whether any write of it
// had started.
func (u *usedConns) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	sent := false
	for _, used := range u.conns {
		if used.conn.seal() > used.priorWrites {
			sent = true
		}
	}
	return sent
}
