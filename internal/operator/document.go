package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

// Export reads the whole configuration.
func (c *Client) Export(ctx context.Context) (Document, error) {
	current, err := c.readAll(ctx)
	if err != nil {
		return Document{}, err
	}
	for i := range current.Contracts {
		current.Contracts[i].Revision = 0
	}
	for i := range current.Services {
		current.Services[i].Revision = 0
	}
	for i := range current.Servers {
		current.Servers[i].Revision = 0
	}
	return current, nil
}

func (c *Client) readAll(ctx context.Context) (d Document, err error) {
	if d.Models, err = c.Models(ctx); err != nil {
		return d, err
	}
	if d.Adapters, err = c.Adapters(ctx, ""); err != nil {
		return d, err
	}
	if d.Services, err = c.Services(ctx); err != nil {
		return d, err
	}
	if d.Contracts, err = c.Contracts(ctx); err != nil {
		return d, err
	}
	servers, err := c.Servers(ctx)
	for _, server := range servers {
		if server.Wanted.Revision != 0 {
			d.Servers = append(d.Servers, server.Wanted)
		}
	}
	return d, err
}

// Outcome is what an import did with one object.
type Outcome string

const (
	// Unchanged means that the object stood as the document has it.
	Unchanged Outcome = "unchanged"
	// Written means that the object was created or changed.
	Written Outcome = "written"
	// Failed means that the object stands as before, or that its fate is
	// unknown; importing again settles it.
	Failed Outcome = "failed"
)

// Imported reports on one object.
type Imported struct {
	Object  string  `json:"object"`
	Outcome Outcome `json:"outcome"`
	Error   string  `json:"error,omitempty"`
	Index   uint64  `json:"index,omitempty"`
}

// importParallel is how many objects an import writes at once.
const importParallel = 16

// Import writes the objects of a document that differ from what stands, and
// leaves all others alone. Every object names the revision that was read just
// before, so that importing twice changes nothing and a racing writer is never
// overwritten unseen. Objects that the document leaves out stay.
func (c *Client) Import(ctx context.Context, wanted Document) ([]Imported, error) {
	current, err := c.readAll(ctx)
	if err != nil {
		return nil, err
	}
	steps := [][]step{
		modelSteps(wanted, current),
		adapterSteps(wanted, current),
		append(serviceSteps(wanted, current), serverSteps(wanted, current)...),
		contractSteps(wanted, current),
	}
	var report []Imported
	for _, stage := range steps {
		report = append(report, c.runSteps(ctx, stage)...)
	}
	return report, nil
}

// step is the write of one object, nil requests for one that stands already.
type step struct {
	object   string
	requests []request
}

type request struct {
	method, path string
	body         any
}

func (c *Client) runSteps(ctx context.Context, steps []step) []Imported {
	report := make([]Imported, len(steps))
	room := make(chan struct{}, importParallel)
	var running sync.WaitGroup
	for i, s := range steps {
		room <- struct{}{}
		running.Go(func() {
			report[i] = c.runStep(ctx, s)
			<-room
		})
	}
	running.Wait()
	return report
}

func (c *Client) runStep(ctx context.Context, s step) Imported {
	done := Imported{Object: s.object, Outcome: Unchanged}
	for _, r := range s.requests {
		// Every write is idempotent by its revision or by its immutable
		// name, so that no operation id needs to be remembered for it.
		result, err := c.ChangeAs(ctx, "", r.method, r.path, r.body)
		if err != nil {
			return Imported{Object: s.object, Outcome: Failed, Error: err.Error()}
		}
		done.Outcome, done.Index = Written, result.Index
	}
	return done
}

func modelSteps(wanted, current Document) []step {
	known := make(map[string]bool)
	for _, model := range current.Models {
		known[model.Name] = true
	}
	var steps []step
	for _, model := range wanted.Models {
		s := step{object: "model/" + model.Name}
		if !known[model.Name] {
			s.requests = []request{{http.MethodPut, "/admin/v1/models/" + url.PathEscape(model.Name), model}}
		}
		steps = append(steps, s)
	}
	return steps
}

func adapterSteps(wanted, current Document) []step {
	known := make(map[catalogue.Ref]catalogue.Adapter, len(current.Adapters))
	for _, adapter := range current.Adapters {
		known[adapter.Ref] = adapter
	}
	var steps []step
	for _, adapter := range wanted.Adapters {
		stands, exists := known[adapter.Ref]
		steps = append(steps, step{
			object:   "adapter/" + adapter.Ref.String(),
			requests: adapterRequests(adapter, stands, exists),
		})
	}
	return steps
}

func adapterRequests(wanted, stands catalogue.Adapter, exists bool) []request {
	path := "/admin/v1/adapters/" + url.PathEscape(wanted.Ref.String())
	living := wanted
	living.Retired = false
	put := request{http.MethodPut, path, living}
	retire := request{http.MethodPost, path + "/retire", struct{}{}}
	switch {
	case exists && stands == wanted:
		return nil
	case exists && stands == living:
		return []request{retire}
	case wanted.Retired:
		return []request{put, retire}
	default:
		return []request{put}
	}
}

func serviceSteps(wanted, current Document) []step {
	known := make(map[string]catalogue.Service)
	for _, service := range current.Services {
		known[service.Name] = service
	}
	var steps []step
	for _, service := range wanted.Services {
		service.Revision = known[service.Name].Revision
		path := "/admin/v1/services/" + url.PathEscape(service.Name)
		steps = append(steps, writeIfDifferent("service/"+service.Name, path, service, known[service.Name]))
	}
	return steps
}

func serverSteps(wanted, current Document) []step {
	known := make(map[string]state.Server)
	for _, server := range current.Servers {
		known[server.Name] = server
	}
	var steps []step
	for _, server := range wanted.Servers {
		server.Revision = known[server.Name].Revision
		path := "/admin/v1/servers/" + url.PathEscape(server.Name)
		steps = append(steps, writeIfDifferent("server/"+server.Name, path, server, known[server.Name]))
	}
	return steps
}

func contractSteps(wanted, current Document) []step {
	known := make(map[string]contract.Contract)
	for _, c := range current.Contracts {
		known[c.ID] = c
	}
	var steps []step
	for _, c := range wanted.Contracts {
		c.Revision = known[c.ID].Revision
		path := "/admin/v1/contracts/" + url.PathEscape(c.ID)
		steps = append(steps, writeIfDifferent("contract/"+c.ID, path, c, known[c.ID]))
	}
	return steps
}

func writeIfDifferent(object, path string, wanted, stands any) step {
	s := step{object: object}
	if !sameText(wanted, stands) {
		s.requests = []request{{http.MethodPut, path, wanted}}
	}
	return s
}

// sameText compares objects as control and files show them.
func sameText(a, b any) bool {
	left, err := json.Marshal(a)
	if err != nil {
		panic(errors.Wrap(err, "operator: an object cannot be encoded"))
	}
	right, err := json.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "operator: an object cannot be encoded"))
	}
	return string(left) == string(right)
}
