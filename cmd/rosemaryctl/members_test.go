package main

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/replica"
)

// startReplicatedControl runs one control instance with a data folder and returns
// the URL of its operators' interface.
func startReplicatedControl(t *testing.T, bootstrap bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	c := control.New(control.Options{
		Instance:          "control-0",
		Peers:             []string{address},
		OperatorKeyHashes: []string{follow.HashKey(operatorKey)},
	}, zap.NewNop())
	r, err := replica.Open(replica.Options{
		Instance: "control-0", Address: address, Peers: []string{address}, Bootstrap: bootstrap,
		Folder: t.TempDir(), TickInterval: 5 * time.Millisecond,
	}, c, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	c.UseReplica(r)
	done := make(chan struct{})
	go func() {
		r.Run(t.Context())
		close(done)
	}()
	go c.Run(t.Context())
	operatorServer := httptest.NewServer(c.OperatorHandler())
	t.Cleanup(func() {
		operatorServer.Close()
		_ = listener.Close()
		<-done
	})
	return operatorServer.URL
}

func TestMembersCommandsExitCodes(t *testing.T) {
	url := startReplicatedControl(t, true)
	if code, _, errOut := ctl(t, url, "model", "add", "floor-assist-base"); code != exitOK {
		t.Fatalf("change through the replicated log: exit %d, %s", code, errOut)
	}
	steps := []struct {
		line []string
		code exitCode
		want string
	}{
		{[]string{"members", "list"}, exitOK, "1 voters, quorum 1"},
		{[]string{"members", "list"}, exitOK, "Further losses survivable now: 0"},
		{[]string{"members", "add", "control-9"}, exitInvalid, `"control-9" is not among the members`},
		{[]string{"members", "promote", "control-0"}, exitInvalid, `"control-0" is not among the members`},
		{[]string{"members", "remove", "control-0"}, exitInvalid, "the leader cannot be removed"},
		{[]string{"members", "transfer", "control-0"}, exitOK, "asked to take the leadership over"},
	}
	for _, step := range steps {
		code, out, errOut := ctl(t, url, step.line...)
		if code != step.code || !strings.Contains(out+errOut, step.want) {
			t.Errorf("%v: got exit code %d and %s%s, want the code and text of the step", step.line, code, out, errOut)
		}
	}
	if _, out, _ := ctl(t, startReplicatedControl(t, false), "members", "list"); !strings.Contains(out, "belongs to no log yet") {
		t.Errorf("without a log: %s", out)
	}
	if code, _, errOut := ctl(t, startControl(t), "members", "list"); code != exitNotFound {
		t.Errorf("without a data folder: exit %d, %s", code, errOut)
	}
}
