package rpc

import (
	"net"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// What control costs a process on the wire, without the overhead of TCP.
var (
	sentBytes     = telemetry.Counter("rpc_bytes_sent")
	receivedBytes = telemetry.Counter("rpc_bytes_received")
)

const (
	// writeTimeout bounds one write of at most writeBytes. A peer that stands still
	// reads nothing; all that is to be sent on the connection waits behind the write,
	// whatever its own limit.
	writeTimeout = time.Second
	writeBytes   = 64 << 10
)

// countedConn counts the bytes of a connection, and gives up one whose peer takes
// nothing.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn. What follows a message that was sent in part could not
// be read: such a connection is closed.
func (c countedConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, err := c.writePart(data[written:min(len(data), written+writeBytes)])
		written += n
		if err != nil {
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

func (c countedConn) writePart(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	sentBytes.Add(int64(n))
	return n, err
}
