package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// maxReportBytes is the maximum number of bytes read from an engine's response.
const maxReportBytes = 1 << 20

// engineReport is the engine's response to GET /load.
type engineReport struct {
	Incarnation uint64   `json:"incarnation"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Capacity    int      `json:"capacity"`
	Adapters    []string `json:"adapters"`
	// InUse lists the adapters that serve requests. It is nil if the engine
	// does not report them.
	InUse []string `json:"inUse"`
}

// orderClient sends orders to an engine.
type orderClient struct {
	base    string
	client  *http.Client
	timeout time.Duration
	fencing *fencingNumber
	// onSuperseded is called when the engine refuses the fencing number.
	onSuperseded func()
}

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

func (c *orderClient) load(ctx context.Context, ref catalogue.Ref, source string) error {
	return c.order(ctx, "/v1/load_lora_adapter", adapterOrder{Name: ref.String(), Path: source})
}

func (c *orderClient) unload(ctx context.Context, ref catalogue.Ref) error {
	return c.order(ctx, "/v1/unload_lora_adapter", adapterOrder{Name: ref.String()})
}

func (c *orderClient) order(ctx context.Context, path string, body adapterOrder) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	number, err := c.fencing.get(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.HeaderFencing, strconv.FormatUint(number, 10))
	// The connection is not reused, so that a late duplicate of a report
	// response is not taken for the response to this order.
	request.Close = true
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusPreconditionFailed {
		c.onSuperseded()
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
		return &orderRefusedError{status: response.StatusCode, text: string(bytes.TrimSpace(text))}
	}
	return nil
}

// orderRefusedError is returned if the engine answered that it did not carry
// out an order. After any other error the order may have been carried out or
// may be carried out later.
type orderRefusedError struct {
	status int
	text   string
}

func (e *orderRefusedError) Error() string {
	return "engine answered " + strconv.Itoa(e.status) + ": " + e.text
}

// refusalStatus returns the HTTP status with which the engine refused an order,
// or 0 if err is not such a refusal.
func refusalStatus(err error) int {
	var refused *orderRefusedError
	if errors.As(err, &refused) {
		return refused.status
	}
	return 0
}

func (c *orderClient) report(ctx context.Context) (engineReport, error) {
	var report engineReport
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", nil)
	if err != nil {
		return report, errors.Wrap(err, "build report request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return report, errors.Wrap(err, "read report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("the report came with status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, errors.Wrap(err, "decode report")
}
