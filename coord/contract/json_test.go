package contract_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// An operator writes 10 for ten seconds. If it were read as nanoseconds, every request
// would be refused as soon as it waits.
func TestMaxWaitIsStringWithUnit(t *testing.T) {
	limits := contract.Limits{RequestsPerSecond: 2.5, TokensPerMinute: 1000, Concurrency: 3, MaxWait: 1500 * time.Millisecond}
	data, err := json.Marshal(limits)
	if err != nil || !strings.Contains(string(data), `"maxWait":"1.5s"`) {
		t.Fatalf("encoded as %s, error %v", data, err)
	}
	var read contract.Limits
	if err := json.Unmarshal(data, &read); err != nil || read != limits {
		t.Errorf("decoded %+v, error %v, want the encoded limits", read, err)
	}
	for _, wrong := range []string{"10", `"10"`, `"ten seconds"`, "null"} {
		changed := strings.Replace(string(data), `"1.5s"`, wrong, 1)
		if err := json.Unmarshal([]byte(changed), &read); err == nil {
			t.Errorf("maxWait %s was decoded as %s, want an error", wrong, read.MaxWait)
		}
	}
}
