package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Guards against lost traces of the requests that a stop waits for.
func TestStopWritesTracesOfLastRequests(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces")
	role := func(d *Daemon, _ context.Context) error {
		d.drains = append(d.drains, func(ctx context.Context) {
			_, span := telemetry.Tracer().Start(ctx, "last request")
			span.End()
		})
		return nil
	}
	traces := settings.Telemetry{Traces: settings.TracesFile, TraceFile: path}
	d, err := start(settings.Settings{Instance: "i", Telemetry: traces}, zap.NewNop(), role)
	if err != nil {
		t.Fatal(err)
	}
	d.Stop(t.Context())
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(written), "last request") {
		t.Errorf("the span of the last request is not among the traces: %q", written)
	}
}
