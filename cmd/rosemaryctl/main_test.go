package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

const operatorKey = "operator-key"

// startControl runs one control instance without a data folder and returns the URL
// of its operators' interface.
func startControl(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := control.New(control.Options{
		Instance:          "control-0",
		Peers:             []string{listener.Addr().String()},
		OperatorKeyHashes: []string{follow.HashKey(operatorKey)},
	}, zap.NewNop())
	peers := rpc.NewServer(c.Handlers())
	go func() { _ = peers.Serve(t.Context(), listener) }()
	go c.Run(t.Context())
	quotas := control.NewQuotas(quota.DefaultOptions(), c.SoleOwnership(), c.ActiveContract, zap.NewNop())
	c.UseQuotas(quotas)
	go quotas.Run(t.Context())
	operatorServer := httptest.NewServer(c.OperatorHandler())
	t.Cleanup(func() {
		operatorServer.Close()
		_ = listener.Close()
		peers.Close()
	})
	return operatorServer.URL
}

// ctl runs one command line and returns its exit code, standard output and
// standard error.
func ctl(t *testing.T, url string, line ...string) (exitCode, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	if line[0] != "--control" {
		line = append([]string{"--control", url}, line...)
	}
	line = append([]string{"--key", operatorKey}, line...)
	code := execute(t.Context(), line, &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const serviceFile = `{
  // A booking is not idempotent.
  "name": "booking-desk",
  "routes": [{ "method": "POST", "pathPrefix": "/deposits", "requireKey": true }],
}`

func TestCommandOutputsAndExitCodes(t *testing.T) {
	url := startControl(t)
	abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(abortingServer.Close)
	abortingURL := abortingServer.URL
	service := writeFile(t, serviceFile)
	limits := []string{"--rate", "5", "--tokens-per-minute", "1000", "--concurrency", "4", "--max-wait", "10s"}
	steps := []struct {
		line []string
		code exitCode
		want string
	}{
		{append([]string{"contract", "create", "cascade", "--adapter", "quote-*"}, limits...), exitOK, "accepted at index 1"},
		{[]string{"contract", "get", "cascade"}, exitOK, `"requestsPerSecond": 5`},
		{[]string{"contract", "change", "cascade", "--rate", "9"}, exitOK, "accepted"},
		{[]string{"contract", "change", "cascade", "--rate", "10", "--revision", "1"}, exitConflict, `"requestsPerSecond": 9`},
		{[]string{"contract", "create", "cascade", "--rate", "1"}, exitConflict, "another writer"},
		{[]string{"contract", "change", "cascade", "--rate", "0"}, exitInvalid, "requestsPerSecond must be above 0"},
		{[]string{"contract", "change", "nobody", "--rate", "1"}, exitNotFound, "no such contract"},
		{[]string{"contract", "list"}, exitOK, "cascade"},
		{[]string{"model", "add", "base"}, exitOK, "accepted"},
		{[]string{"model", "list"}, exitOK, "base"},
		{[]string{"adapter", "add", "quote-draft@1", "--model", "base", "--source", "store://1"}, exitOK, "accepted"},
		{[]string{"adapter", "add", "quote-draft@1", "--model", "base", "--source", "store://2"}, exitConflict, "immutable"},
		{[]string{"adapter", "add", "quote-draft", "--model", "base", "--source", "s"}, exitUsage, "adapter@version"},
		{[]string{"adapter", "list", "quote"}, exitOK, "quote-draft@1"},
		{[]string{"adapter", "retire", "quote-draft@1"}, exitOK, "accepted"},
		{[]string{"adapter", "retire", "quote-draft@2"}, exitNotFound, "quote-draft@2"},
		{[]string{"service", "put", service}, exitOK, "accepted"},
		{[]string{"service", "put", service}, exitOK, "accepted"},
		{[]string{"service", "list"}, exitOK, "/deposits"},
		{[]string{"service", "get", "booking-desk"}, exitOK, `"requireKey": true`},
		{[]string{"server", "drain", "floor-1"}, exitOK, "accepted"},
		{[]string{"server", "stop", "floor-1", "--role", "decode"}, exitOK, "accepted"},
		{[]string{"server", "list"}, exitOK, "stopped"},
		{[]string{"server", "advice"}, exitOK, "STOPPABLE"},
		{[]string{"server", "start", "floor-1"}, exitOK, "accepted"},
		{[]string{"limits"}, exitOK, "REFUSED CONCURRENCY"},
		{[]string{"limits", "cascade"}, exitOK, "cascade"},
		{[]string{"limits", "nobody"}, exitNotFound, "no such contract"},
		{[]string{"--wait", "--timeout", "5s", "contract", "retire", "cascade"}, exitOK, "in force in every living daemon"},
		{[]string{"contract", "change", "cascade", "--rate", "3"}, exitInvalid, "retired"},
		{[]string{"status"}, exitOK, "control-0"},
		{[]string{"--json", "status"}, exitOK, `"confirmed": true`},
		{[]string{"completion", "bash"}, exitOK, `"contract") words="create get list change retire"`},
		{[]string{"completion", "fish"}, exitUsage, "fish"},
		{[]string{"--version"}, exitOK, "revision"},
		{[]string{"contract"}, exitUsage, "create"},
		{[]string{"contract", "alter"}, exitUsage, "alter"},
		{[]string{"--key", "wrong", "contract", "list"}, exitUnauthorized, "operator key"},
		{[]string{"--control", "http://127.0.0.1:1", "model", "add", "m"}, exitUnreachable, "nothing was changed"},
		{[]string{"--control", abortingURL, "--operation", "op-1", "model", "add", "m"}, exitChangeUnknown, "--operation op-1"},
		{[]string{"--control", abortingURL, "model", "list"}, exitUnreachable, "nothing was changed"},
		{[]string{"ask", "--entry", "http://127.0.0.1:1", "--model", "a@1", "hello"}, exitNotRun, "not run"},
	}
	for _, step := range steps {
		code, out, errOut := ctl(t, url, step.line...)
		if code != step.code || !strings.Contains(out+errOut, step.want) {
			t.Errorf("%v: exit %d, want %d with %q\n%s%s", step.line, code, step.code, step.want, out, errOut)
		}
	}
}

func TestKeysArePrintedOnceAndStoredHashed(t *testing.T) {
	url := startControl(t)
	ctl(t, url, "contract", "create", "cascade", "--rate", "5", "--tokens-per-minute", "1", "--concurrency", "1", "--max-wait", "1s")
	var key generatedKey
	_, out, _ := ctl(t, url, "--json", "key", "add", "cascade")
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&key); err != nil || follow.HashKey(key.Key) != key.Hash {
		t.Fatalf("%v: %s", err, out)
	}
	_, contractJSON, _ := ctl(t, url, "contract", "get", "cascade")
	if strings.Contains(contractJSON, key.Key) || !strings.Contains(contractJSON, key.Hash) {
		t.Errorf("contract: %s", contractJSON)
	}
	if code, _, errOut := ctl(t, url, "key", "rotate", "cascade", "--hash", key.Hash); code != exitOK {
		t.Errorf("rotate: %d %s", code, errOut)
	}
	if code, _, _ := ctl(t, url, "key", "remove", "cascade", "--hash", key.Hash); code != exitNotFound {
		t.Errorf("remove of a rotated key: got exit code %d, want not found", code)
	}
	var rotated contract.Contract
	_, contractJSON, _ = ctl(t, url, "contract", "get", "cascade")
	if err := json.Unmarshal([]byte(contractJSON), &rotated); err != nil || len(rotated.KeyHashes) != 1 {
		t.Errorf("contract after the rotation: got error %v and %s, want 1 key hash", err, contractJSON)
	}
	if _, out, _ := ctl(t, url, "key", "make"); !strings.Contains(out, "rp_") {
		t.Errorf("make: %s", out)
	}
}

// Guards against an import that changes objects again when an operator repeats it
// because the result of the first import is unclear.
func TestImportIsIdempotent(t *testing.T) {
	source, target := startControl(t), startControl(t)
	service := writeFile(t, serviceFile)
	for _, line := range [][]string{
		{"model", "add", "base"},
		{"adapter", "add", "a@1", "--model", "base", "--source", "s"},
		{"adapter", "add", "a@2", "--model", "base", "--source", "s"},
		{"adapter", "retire", "a@1"},
		{"service", "put", service},
		{"server", "drain", "floor-1"},
		{"contract", "create", "c", "--rate", "1", "--tokens-per-minute", "1", "--concurrency", "1", "--max-wait", "1s"},
	} {
		if code, out, errOut := ctl(t, source, line...); code != exitOK {
			t.Fatalf("%v: %d %s%s", line, code, out, errOut)
		}
	}
	_, exported, _ := ctl(t, source, "config", "export")
	file := writeFile(t, exported)
	if code, out, errOut := ctl(t, target, "config", "import", file); code != exitOK || !strings.Contains(out, "6 written, 0 unchanged, 0 failed") {
		t.Errorf("first import: %d %s%s", code, out, errOut)
	}
	if code, out, _ := ctl(t, target, "config", "import", file); code != exitOK || !strings.Contains(out, "0 written, 6 unchanged, 0 failed") {
		t.Errorf("second import: %d %s", code, out)
	}
	if _, reexported, _ := ctl(t, target, "config", "export"); reexported != exported {
		t.Errorf("exported\n%s\nwant\n%s", reexported, exported)
	}
	// A different weight source for an existing version is reported as a failure
	// and not written.
	modified := writeFile(t, strings.Replace(exported, `"source": "s"`, `"source": "other"`, 1))
	if code, out, _ := ctl(t, target, "config", "import", modified); code != exitFailed || !strings.Contains(out, "1 failed") {
		t.Errorf("import of modified weights: %d %s", code, out)
	}
}

func TestAskExitCodeByOutcome(t *testing.T) {
	cases := []struct {
		outcome outcome.Outcome
		status  int
		code    exitCode
	}{
		{outcome.Answered, http.StatusOK, exitOK},
		{outcome.NotRun, http.StatusServiceUnavailable, exitNotRun},
		{outcome.Unknown, http.StatusBadGateway, exitOutcomeUnknown},
	}
	for _, c := range cases {
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(outcome.Header, c.outcome.String())
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(`{"choices":[{"text":"a plan"}]}`))
		}))
		code, out, _ := ctl(t, "http://127.0.0.1:1", "ask", "--entry", entry.URL, "--model", "a@1", "hello")
		if code != c.code || !strings.Contains(out, "a plan") {
			t.Errorf("%s: got exit code %d and %s, want the code of the case and the answer's text", c.outcome, code, out)
		}
		entry.Close()
	}
}

func TestPoolTotals(t *testing.T) {
	announced := func(name string, leaving bool, running int) operator.Server {
		return operator.Server{Name: name, Announced: &membership.Announcement{
			Server: name, Pool: "floor", DataCentre: "a", Leaving: leaving, Slots: 4,
			Load: membership.Load{Running: running, Waiting: 1, Capacity: 10, Resident: make([]catalogue.Ref, 2), LoadMillis: 100 * running, StallPercent: 5 * running, StallMillis: 50 * running},
		}}
	}
	var out bytes.Buffer
	tool := &tool{out: &out}
	tool.showPools([]operator.Server{announced("f-1", false, 3), announced("f-2", true, 4), {Name: "absent"}})
	got := strings.Fields(strings.Split(out.String(), "\n")[1])
	want := []string{"floor", "a", "1", "1", "7", "2", "35%", "0", "50%", "400", "ms", "20%", "200", "ms"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestStatusShowsUnresponsiveControlInstance(t *testing.T) {
	var out bytes.Buffer
	tool := &tool{out: &out, client: operator.NewClient(operator.Options{})}
	tool.showStatus(operator.Status{Instances: []operator.Instance{{Address: "10.0.0.1:7201", Error: "timeout"}}})
	if !strings.Contains(out.String(), "no answer") {
		t.Error(out.String())
	}
}
