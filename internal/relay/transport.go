package relay

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxIdlePerHost is how many kept-alive connections one next hop may have.
const maxIdlePerHost = 256

// idleTimeout is how long a kept-alive connection may stay unused.
const idleTimeout = 90 * time.Second

// NewClient returns a client over a new Transport that hands redirects to the
// caller: to follow one would run a call somewhere the caller did not ask for.
func NewClient(dialTimeout time.Duration, options ...Option) *http.Client {
	return &http.Client{
		Transport:     NewTransport(dialTimeout, options...),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Transport sends a request at most once and knows afterwards whether any of
// its bytes left.
//
// net/http silently sends a request again when a kept-alive connection dies
// and the method is idempotent or an Idempotency-Key is present. The first
// copy may have run, so a booking would run twice; one would notice it only by
// a second entry in the service's books. A request from NewRequest has a body
// that cannot be rewound, so net/http never replays it.
//
// A request with Close set gets a connection of its own. On a kept-alive
// connection that the server closed meanwhile, such a call would end in doubt
// although the server never saw it.
type Transport struct {
	shared *http.Transport
	fresh  *http.Transport
}

// NewTransport returns a transport with no connections.
func NewTransport(dialTimeout time.Duration, options ...Option) *Transport {
	dialer := newDialer(dialTimeout)
	t := NewTransportOver(dialer.DialContext, options...)
	t.shared.TLSHandshakeTimeout = dialTimeout
	t.fresh.TLSHandshakeTimeout = dialTimeout
	return t
}

// How a peer that fell silent is found: by probes when nothing is under way, by
// missing acknowledgements when something is. A request whose peer was parted
// without a word would otherwise wait for its first byte for minutes, while
// other servers could run it.
const (
	probeIdle      = 2 * time.Second
	probeInterval  = time.Second
	probeCount     = 3
	silenceTimeout = probeIdle + probeCount*probeInterval
)

type promptPeerKey struct{}

// WithPromptPeer marks calls of a peer that reads what it is sent at once, as
// agents do. Only for such a peer do missing acknowledgements mean silence: a
// plain service may leave a long body unread while it is busy.
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
		ControlContext:  boundUnacknowledged,
	}
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Secure completes a handshake with the peer at an address.
type Secure func(ctx context.Context, conn net.Conn, address string) (*tls.Conn, error)

// NewTransportOver returns a transport that opens its connections by dial.
func NewTransportOver(dial Dial, options ...Option) *Transport {
	shared := &http.Transport{
		DialContext:         dial.gated,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	for _, option := range options {
		option(dial, shared)
	}
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return &Transport{shared: shared, fresh: fresh}
}

// RoundTrip implements http.RoundTripper. An error for which Sent is false
// guarantees that no byte of the request can leave any more.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used usedConns
	trace := &httptrace.ClientTrace{GotConn: used.add}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.transportFor(request).RoundTrip(request)
	if err != nil && !used.seal() {
		return nil, &NotSentError{err}
	}
	return response, err
}

// CloseIdleConnections closes kept-alive connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.shared.CloseIdleConnections() }

func (t *Transport) transportFor(request *http.Request) *http.Transport {
	if request.Close {
		return t.fresh
	}
	return t.shared
}

// NotSentError marks a request of which no byte left and none can any more.
type NotSentError struct{ error }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.error }

// Sent reports whether a request that failed with err may have left in part.
func Sent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func (dial Dial) gated(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}

// Option changes how a transport connects.
type Option func(Dial, *http.Transport)

// WithSecure completes the handshakes of https connections by secure.
func WithSecure(secure Secure) Option {
	return func(dial Dial, transport *http.Transport) {
		transport.DialTLSContext = dial.gatedTLS(secure)
	}
}

func (dial Dial) gatedTLS(secure Secure) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial.gated(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return secure(ctx, conn, address)
	}
}

var errSealed = errors.New("connection sealed: its request was given up")

// gatedConn counts writes and can be sealed. RoundTrip may return while the
// goroutine that writes the request has not begun; without the seal the
// request could leave after its caller was told that it was not run.
type gatedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
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

func (c *gatedConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses later writes and returns how many had begun.
func (c *gatedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// usedConns are the connections that one request was given.
type usedConns struct {
	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	conn *gatedConn
	// before counts the writes of earlier requests on the connection.
	before uint64
}

func (u *usedConns) add(info httptrace.GotConnInfo) {
	raw := info.Conn
	if secure, ok := raw.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	conn := raw.(*gatedConn)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, usedConn{conn: conn, before: conn.begun()})
}

// seal stops the request from leaving and reports whether any of it had.
func (u *usedConns) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	sent := false
	for _, used := range u.conns {
		if used.conn.seal() > used.before {
			sent = true
		}
	}
	return sent
}
