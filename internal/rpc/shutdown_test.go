package rpc

import (
	"context"
	"encoding/json"
	"net"
	"runtime"
	"testing"
)

// Guards against a command that a planned stop leaves without an answer although the
// stopping process has taken it, and against one that is taken when the stop has begun.
func TestShutdownAnswersTakenCallsAndTakesNoMore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	taken, release := make(chan struct{}, 2), make(chan struct{})
	command := func(context.Context, json.RawMessage) (any, error) {
		taken <- struct{}{}
		<-release
		return "done", nil
	}
	other := func(context.Context, json.RawMessage) (any, error) { return "other", nil }
	server := NewServer(map[string]Handler{"command": command, "other": other}, WithDrain("command"))
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := NewClient(listener.Addr().String())
	defer client.Close()
	answered := make(chan error, 1)
	var answer string
	go func() { answered <- client.Call(t.Context(), "command", nil, &answer) }()
	<-taken
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Shutdown(t.Context())
	}()
	for !server.calls.Closed() {
		runtime.Gosched()
	}
	if err := client.Call(t.Context(), "command", nil, nil); !IsStopping(err) {
		t.Errorf("a command after the stop began ended with %v, want a refusal", err)
	}
	if err := client.Call(t.Context(), "other", nil, nil); err != nil {
		t.Errorf("another call, on which the command may depend, failed: %v", err)
	}
	close(release)
	if err := <-answered; err != nil || answer != "done" {
		t.Errorf("the command that was taken got %q, %v; want its answer", answer, err)
	}
	<-stopped
	if len(taken) > 0 {
		t.Error("a command was executed that came after the stop began")
	}
}
