package rpc

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Bytes of control traffic of the process, without the overhead of TCP.
var (
	sentBytes     = telemetry.Counter("rpc_bytes_sent")
	receivedBytes = telemetry.Counter("rpc_bytes_received")
)

const (
	// writeTimeout bounds the write of one chunk of at most maxChunkBytes. A hanging
	// peer reads nothing, and all further messages on the connection wait for the
	// write regardless of their own deadlines.
	writeTimeout  = time.Second
	maxChunkBytes = 64 << 10
)

// countedConn counts the bytes of a connection, and closes it if its peer stops
// reading.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It closes the connection on an error: the peer could
// not parse anything that follows a partly sent message.
func (c countedConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, err := c.writeChunk(data[written:min(len(data), written+maxChunkBytes)])
		written += n
		if err != nil {
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c countedConn) Close() error { return closeTransport(c.Conn) }

// closeTransport closes a connection without the TLS alert that announces its end, which
// waits for seconds on a peer that stopped reading. The end of a message is known by its
// length, so that the alert tells the peer nothing.
func closeTransport(conn net.Conn) error {
	if secure, ok := conn.(*tls.Conn); ok {
		return secure.NetConn().Close()
	}
	return conn.Close()
}

func (c countedConn) writeChunk(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	sentBytes.Add(int64(n))
	return n, err
}
