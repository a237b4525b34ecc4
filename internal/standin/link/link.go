// Package link is a stand-in for a network between two processes that can hold up what is sent
// over it, as a partition does until it heals. As with TCP, held bytes arrive in order and their
// sender's orderly close behind them; a sender that resets its connection takes them back.
package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
)

// Link forwards connections to one server.
type Link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// held is set while nothing is forwarded to the server.
	held bool
	// changed is closed and replaced at each change of the fields and of a connection's.
	changed chan struct{}
	// heldData is all that was held up so far; ended counts the connections that their clients
	// have ended.
	heldData []byte
	ended    int
}

// Start opens a link to the server at target.
func Start(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Address returns the address at which the link takes connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close ends the link for new connections.
func (l *Link) Close() { _ = l.listener.Close() }

// Hold holds up all that is sent to the server from now on.
func (l *Link) Hold() { l.update(func() { l.held = true }) }

// Heal delivers what was held up.
func (l *Link) Heal() { l.update(func() { l.held = false }) }

// AwaitHeld waits until data that ends in suffix is held up.
func (l *Link) AwaitHeld(suffix string) {
	l.await(func() bool { return bytes.HasSuffix(l.heldData, []byte(suffix)) })
}

// AwaitEnded waits until clients have ended n connections.
func (l *Link) AwaitEnded(n int) { l.await(func() bool { return l.ended >= n }) }

func (l *Link) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) await(ready func() bool) {
	for {
		l.mu.Lock()
		done, changed := ready(), l.changed
		l.mu.Unlock()
		if done {
			return
		}
		<-changed
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go func() { _, _ = io.Copy(client, server) }()
		c := &connection{}
		go l.receive(c, client)
		go l.deliver(c, server, client)
	}
}

// connection is what a client has sent on one connection and the server has not received.
type connection struct {
	data []byte
	// end is io.EOF after an orderly close, another error after a reset, nil before.
	end error
}

func (l *Link) receive(c *connection, client net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := client.Read(buffer)
		l.update(func() {
			c.data = append(c.data, buffer[:n]...)
			if l.held {
				l.heldData = append(l.heldData, buffer[:n]...)
			}
			if err == nil {
				return
			}
			c.end = err
			l.ended++
			if !errors.Is(err, io.EOF) {
				c.data = nil
			}
		})
		if err != nil {
			return
		}
	}
}

func (l *Link) deliver(c *connection, server, client net.Conn) {
	defer client.Close()
	for {
		l.await(func() bool { return !l.held && (len(c.data) > 0 || c.end != nil) })
		l.mu.Lock()
		data, end := c.data, c.end
		c.data = nil
		l.mu.Unlock()
		if _, err := server.Write(data); err != nil || end != nil {
			if !errors.Is(end, io.EOF) {
				_ = server.(*net.TCPConn).SetLinger(0)
			}
			_ = server.Close()
			return
		}
	}
}
