package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/settings"
)

const validFleet = `{
  // written by the platform
  "instance": "entry-1", "dataCentre": "amman-a", "ip": "10.1.0.38",
  "callerListen": "10.1.0.38:8149", "readyListen": "10.1.0.38:8141", "controlListen": "10.1.0.38:8144", "statusListen": "",
  "peerPorts": [7380, 7395], "seeds": ["10.1.0.38:8144", "10.2.0.40:8144"], "bootstrap": true, "dataFolder": null,
  "memoryMB": 284, "lossesBorne": 1, "stopSeconds": 8, "drainMillis": 2000, "repeatRatio": 0.2, "repeatSlack": 58, "repeatWindowSeconds": 10,
  "versionMillis": 5000, "engine": null, "service": null
}`

func TestParseFleetSetsDefaults(t *testing.T) {
	f, err := settings.ParseFleet("f.jsonc", []byte(validFleet))
	if err != nil {
		t.Fatal(err)
	}
	if f.Instance != "entry-1" || len(f.Seeds) != 2 || f.DataFolder != "" || f.StopTimeout() != 8*time.Second || f.MaxVersionDelay() != 5*time.Second || f.MemoryLimit() != 284e6 {
		t.Errorf("got %+v, want the values of validFleet", f)
	}
	if f.RequestMemory() != 284e6/5 {
		t.Errorf("requests may hold %d bytes, want a fifth of the memory", f.RequestMemory())
	}
	f.StopSeconds, f.VersionMillis, f.MemoryMB = 0, 0, 0
	if f.StopTimeout() <= 0 || f.MaxVersionDelay() <= 0 || f.MemoryLimit() <= 0 {
		t.Error("a value that the deployment does not set has no default")
	}
}

func TestParseFleetReportsInvalidSettings(t *testing.T) {
	tests := []struct{ name, from, to, path string }{
		{"no name", `"entry-1"`, `""`, "instance"},
		{"no address", `"ip": "10.1.0.38"`, `"ip": "front-1"`, "ip"},
		{"ports in descending order", `[7380, 7395]`, `[7395, 7380]`, "peerPorts"},
		{"one port", `[7380, 7395]`, `[7380]`, "peerPorts"},
		{"no seeds", `["10.1.0.38:8144", "10.2.0.40:8144"]`, `[]`, "seeds"},
		{"a seed without a port", `"10.2.0.40:8144"`, `"10.2.0.40"`, "seeds"},
		{"a listener with a host name", `"10.1.0.38:8149"`, `"front:8149"`, "callerListen"},
		{"a ratio below 0", `"repeatRatio": 0.2`, `"repeatRatio": -0.2`, "repeatRatio"},
		{"losses below 0", `"lossesBorne": 1`, `"lossesBorne": -1`, "lossesBorne"},
		{"memory of requests below 0", `"lossesBorne": 1`, `"requestMemoryMB": -1`, "requestMemoryMB"},
		{"memory of requests above half of the memory", `"lossesBorne": 1`, `"requestMemoryMB": 143`, "requestMemoryMB"},
		{"few descriptors", `"lossesBorne": 1`, `"maxDescriptors": 255`, "maxDescriptors"},
		{"connections below 0", `"lossesBorne": 1`, `"callerConnections": -1`, "callerConnections"},
		{"an unknown key", `"bootstrap"`, `"bootstraps"`, "bootstraps"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validFleet, test.from, test.to, 1)
			_, err := settings.ParseFleet("f.jsonc", []byte(text))
			var invalid *settings.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an InvalidError", err)
			}
			if got := invalid.Problems[0]; got.Path != test.path || got.Line == 0 {
				t.Errorf("the first problem is %s, want one of %s", got, test.path)
			}
		})
	}
}
