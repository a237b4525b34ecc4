package fleet

import (
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/settings"
)

// Guards against callers that a process serves after it was told to stop, and that the stop does not wait for.
func TestNoCallersAreServedBehindTheBeginOfAStop(t *testing.T) {
	p := &process{log: zap.NewNop(), settings: settings.Fleet{CallerListen: "127.0.0.1:0"}}
	if callers := p.beginStop(); callers != nil {
		t.Fatal("callers are served before the start")
	}
	if err := p.serveCallers(); err != nil || p.callers != nil {
		t.Errorf("callers are served behind the begin of a stop, %v", err)
	}
}
