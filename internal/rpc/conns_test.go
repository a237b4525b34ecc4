package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// startSmallServer starts a server with room for a number of connections, and returns its address.
func startSmallServer(t *testing.T, connections int) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(map[string]Handler{"any": func(context.Context, json.RawMessage) (any, error) { return "answer", nil }}, WithMaxConns(connections))
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Addr().String()
}

// Guards against strangers that connect and say nothing, and keep other processes out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	address := startSmallServer(t, 2)
	known := NewClient(address)
	defer known.Close()
	call := func(client *Client) error {
		var reply string
		return client.Call(t.Context(), "any", nil, &reply)
	}
	if err := call(known); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		silent, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		if _, err := io.WriteString(silent, "Content-Le"); err != nil {
			t.Fatal(err)
		}
	}
	newcomer := NewClient(address)
	defer newcomer.Close()
	if err := call(newcomer); err != nil {
		t.Errorf("a new process got %v", err)
	}
	if err := call(known); err != nil {
		t.Errorf("a process that was connected before got %v", err)
	}
}

// Guards against messages that are announced and never end, and leave no room for others.
func TestMessagesThatDoNotEndLeaveRoom(t *testing.T) {
	address := startSmallServer(t, 100)
	for range 40 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() { _, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", MaxFrame, make([]byte, 3<<20)) }()
	}
	client := NewClient(address)
	defer client.Close()
	var reply string
	for begun := time.Now(); client.Call(t.Context(), "any", nil, &reply) != nil; {
		if time.Since(begun) > time.Minute {
			t.Fatal("a small message finds no room")
		}
	}
}
