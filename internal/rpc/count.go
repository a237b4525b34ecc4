package rpc

import (
	"net"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// What control costs a process on the wire, without the overhead of TCP.
var (
	sentBytes     = telemetry.Counter("rpc_bytes_sent")
	receivedBytes = telemetry.Counter("rpc_bytes_received")
)

// countedConn counts the bytes of a connection.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	sentBytes.Add(int64(n))
	return n, err
}
