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

// Export returns the whole configuration without revisions.
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

// Outcome is the result of an import for one object.
type Outcome string

const (
	// Unchanged means that the object already matched the document.
	Unchanged Outcome = "unchanged"
	// Written means that the object was created or changed.
	Written Outcome = "written"
	// Failed means that the object was not written, or that it is unknown whether it
	// was; importing again resolves this.
	Failed Outcome = "failed"
)

// ImportResult is the report of an import on one object.
type ImportResult struct {
	Object  string  `json:"object"`
	Outcome Outcome `json:"outcome"`
	Error   string  `json:"error,omitempty"`
	Index   uint64  `json:"index,omitempty"`
}

// importConcurrency is the number of objects that an import writes concurrently.
const importConcurrency = 16

// Import writes the objects of a document that differ from the current
// configuration and leaves all others unchanged, including objects that the
// document does not contain. Each write carries the revision that was read just
// before. Importing a document twice therefore changes nothing, and a concurrent
// write is never silently overwritten.
func (c *Client) Import(ctx context.Context, wanted Document) ([]ImportResult, error) {
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
	var report []ImportResult
	for _, stage := range steps {
		report = append(report, c.runSteps(ctx, stage)...)
	}
	return report, nil
}

// step writes one object. It has no requests if the object already matches the
// document.
type step struct {
	object   string
	requests []request
}

type request struct {
	method, path string
	body         any
}

func (c *Client) runSteps(ctx context.Context, steps []step) []ImportResult {
	report := make([]ImportResult, len(steps))
	semaphore := make(chan struct{}, importConcurrency)
	var running sync.WaitGroup
	for i, s := range steps {
		semaphore <- struct{}{}
		running.Go(func() {
			report[i] = c.runStep(ctx, s)
			<-semaphore
		})
	}
	running.Wait()
	return report
}

func (c *Client) runStep(ctx context.Context, s step) ImportResult {
	done := ImportResult{Object: s.object, Outcome: Unchanged}
	for _, r := range s.requests {
		// Each write is idempotent through its revision or its immutable name,
		// so that it needs no operation ID.
		result, err := c.ChangeAs(ctx, "", r.method, r.path, r.body)
		if err != nil {
			return ImportResult{Object: s.object, Outcome: Failed, Error: err.Error()}
		}
		done.Outcome, done.Index = Written, result.Index
	}
	return done
}

func modelSteps(wanted, current Document) []step {
	existing := make(map[string]bool)
	for _, model := range current.Models {
		existing[model.Name] = true
	}
	var steps []step
	for _, model := range wanted.Models {
		s := step{object: "model/" + model.Name}
		if !existing[model.Name] {
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
		existing, exists := known[adapter.Ref]
		steps = append(steps, step{
			object:   "adapter/" + adapter.Ref.String(),
			requests: adapterRequests(adapter, existing, exists),
		})
	}
	return steps
}

func adapterRequests(wanted, existing catalogue.Adapter, exists bool) []request {
	path := "/admin/v1/adapters/" + url.PathEscape(wanted.Ref.String())
	active := wanted
	active.Retired = false
	put := request{http.MethodPut, path, active}
	retire := request{http.MethodPost, path + "/retire", struct{}{}}
	switch {
	case exists && existing == wanted:
		return nil
	case exists && existing == active:
		return []request{retire}
	case wanted.Retired:
		return []request{put, retire}
	default:
		return []request{put}
	}
}

func serviceSteps(wanted, current Document) []step {
	existing := make(map[string]catalogue.Service)
	for _, service := range current.Services {
		existing[service.Name] = service
	}
	var steps []step
	for _, service := range wanted.Services {
		service.Revision = existing[service.Name].Revision
		path := "/admin/v1/services/" + url.PathEscape(service.Name)
		steps = append(steps, writeIfChanged("service/"+service.Name, path, service, existing[service.Name]))
	}
	return steps
}

func serverSteps(wanted, current Document) []step {
	existing := make(map[string]state.Server)
	for _, server := range current.Servers {
		existing[server.Name] = server
	}
	var steps []step
	for _, server := range wanted.Servers {
		server.Revision = existing[server.Name].Revision
		path := "/admin/v1/servers/" + url.PathEscape(server.Name)
		steps = append(steps, writeIfChanged("server/"+server.Name, path, server, existing[server.Name]))
	}
	return steps
}

func contractSteps(wanted, current Document) []step {
	existing := make(map[string]contract.Contract)
	for _, c := range current.Contracts {
		existing[c.ID] = c
	}
	var steps []step
	for _, c := range wanted.Contracts {
		c.Revision = existing[c.ID].Revision
		path := "/admin/v1/contracts/" + url.PathEscape(c.ID)
		steps = append(steps, writeIfChanged("contract/"+c.ID, path, c, existing[c.ID]))
	}
	return steps
}

func writeIfChanged(object, path string, wanted, existing any) step {
	s := step{object: object}
	if !equalJSON(wanted, existing) {
		s.requests = []request{{http.MethodPut, path, wanted}}
	}
	return s
}

// equalJSON reports whether two objects have the same JSON encoding, which is the
// form that control instances and files use.
func equalJSON(a, b any) bool {
	left, err := json.Marshal(a)
	if err != nil {
		panic(errors.Wrap(err, "operator: encode object"))
	}
	right, err := json.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "operator: encode object"))
	}
	return string(left) == string(right)
}
