package settings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/intake"
	"github.com/rosemarypass/rosemarypass/internal/settings"
)

const validEntry = `{
  // a comment
  "instance": "entry-1",
  "dataCentre": "amman-a",
  "controlPeers": ["127.0.0.1:7201"],
  "plaintextPeers": true,
  "entry": {
    "listen": "127.0.0.1:8080",
    "dialTimeout": "250ms",
  },
}`

func TestParseSetsDefaults(t *testing.T) {
	s, err := settings.Parse("entry.jsonc", []byte(validEntry))
	if err != nil {
		t.Fatal(err)
	}
	if got := time.Duration(s.Entry.DialTimeout); got != 250*time.Millisecond {
		t.Errorf("dialTimeout: got %s, want 250ms", got)
	}
	if s.Entry.MaxBodyBytes != 4<<20 || s.DrainTimeout() != 2*time.Minute || s.Telemetry.Traces != settings.TracesOff {
		t.Errorf("got entry %+v and telemetry %+v, want the defaults", s.Entry, s.Telemetry)
	}
}

// Guards against a default bound of requests into which the largest body that an entry accepts does not fit.
func TestRequestMemoryFitsLargestBody(t *testing.T) {
	for _, body := range []int64{4 << 20, 1 << 30} {
		s := settings.Settings{Entry: &settings.Entry{MaxBodyBytes: body}}
		if largest := intake.DefaultLimits(s.RequestMemory()).LargestBody(); largest < body {
			t.Errorf("a body of %d bytes is accepted, one of %d fits", body, largest)
		}
	}
}

func TestProblemsReportFileLineAndRemedy(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"dialTimeout"`, `"dialTimeuot"`, "f:9: entry.dialTimeuot: is not a known setting; did you mean dialTimeout?"},
		{"bare number", `"250ms"`, `250`, "f:9: entry.dialTimeout: 250 is not a duration"},
		{"wrong unit", `"250ms"`, `"250 millis"`, `f:9: entry.dialTimeout: "250 millis" is not a duration`},
		{"out of range", `"250ms"`, `"2h"`, "f:9: entry.dialTimeout: 2h0m0s is out of range: from 1ms to 1m0s"},
		{"wrong type", `"entry-1"`, `7`, `f:3: instance: must be text: "…"`},
		{"not an object", `{
    "listen"`, `[1], "x": {"listen"`, "f:7: entry: must be an object"},
		{"not a list", `["127.0.0.1:7201"]`, `"127.0.0.1:7201"`, "f:5: controlPeers: must be a list"},
		{"missing value", `"instance": "entry-1",`, ``, "f:1: instance: a name is required"},
		{"missing in a role", `"listen": "127.0.0.1:8080",`, ``, "f:7: entry.listen: an address is required"},
		{"host name", `127.0.0.1:8080`, `localhost:8080`, "must have an IP address as its host"},
		{"packing", `"plaintextPeers": true,`, `"plaintextPeers": true, "packing": 1.5,`, "f:6: packing: is out of range: from 0"},
		{"memory below 0", `"plaintextPeers": true,`, `"plaintextPeers": true, "memoryMB": -1,`, "f:6: memoryMB: must not be below 0"},
		{"memory of requests", `"plaintextPeers": true,`, `"plaintextPeers": true, "memoryMB": 100, "requestMemoryMB": 51,`, "f:6: requestMemoryMB: must be between 0 and half"},
		{"body larger than the memory of requests", `"plaintextPeers": true,`, `"plaintextPeers": true, "memoryMB": 40,`, "entry.maxBodyBytes: does not fit"},
		{"few descriptors", `"plaintextPeers": true,`, `"plaintextPeers": true, "maxDescriptors": 255,`, "f:6: maxDescriptors: must be at least 256"},
		{"callers that take all descriptors", `"plaintextPeers": true,`, `"plaintextPeers": true, "maxDescriptors": 1000, "callerConnections": 751,`, "f:6: callerConnections: must be between"},
		{"connections below 0", `"plaintextPeers": true,`, `"plaintextPeers": true, "callerConnections": -1,`, "f:6: callerConnections: must be between"},
		{"no port", `127.0.0.1:8080`, `127.0.0.1`, `f:8: entry.listen: "127.0.0.1" is not an address`},
		{"set twice", `"dialTimeout": "250ms",`, `"listen": "127.0.0.1:1",`, "f:9: entry.listen: is set twice"},
		{"no TLS decision", `"plaintextPeers": true,`, ``, "f:1: peerTLS: certificates are required"},
		{"conflict", `"plaintextPeers": true,`, `"plaintextPeers": true, "peerTLS": {},`, "f:6: plaintextPeers: conflicts with peerTLS"},
		{"trace file", `"plaintextPeers": true,`, `"plaintextPeers": true, "telemetry": {"traces": "file"},`, "f:6: telemetry.traceFile: a path is required"},
		{"peer address not among the peers", `"plaintextPeers": true,`, `"plaintextPeers": true, "control": {"peerListen": "127.0.0.1:7202", "dataFolder": "d"},`, "f:6: control.peerAddress: 127.0.0.1:7202 is not in controlPeers"},
		{"bootstrap without a data folder", `"plaintextPeers": true,`, `"plaintextPeers": true, "control": {"bootstrap": true},`, "f:6: control.bootstrap: needs control.dataFolder"},
		{"operator key in plain text", `"plaintextPeers": true,`, `"plaintextPeers": true, "control": {"operatorKeyHashes": ["secret"]},`, "f:6: control.operatorKeyHashes: must hold SHA-256 digests"},
	}
	for _, c := range cases {
		changed := strings.Replace(validEntry, c.old, c.new, 1)
		if changed == validEntry {
			t.Fatalf("%s: the case changes nothing", c.name)
		}
		_, err := settings.Parse("f", []byte(changed))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		if _, err := settings.Load(file); err != nil {
			t.Error(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte(`{"entry":null,"controlPeers":[null]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"entry":{"listen":{}},"agent":[],"control":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if err == nil && s.Instance == "" {
			t.Error("settings without an instance were accepted")
		}
	})
}
