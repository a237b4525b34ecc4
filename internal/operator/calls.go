package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

// Contract returns the contract with the given ID.
func (c *Client) Contract(ctx context.Context, id string) (contract.Contract, error) {
	var found contract.Contract
	err := c.Get(ctx, "/admin/v1/contracts/"+url.PathEscape(id), &found)
	return found, err
}

// Contracts returns all contracts.
func (c *Client) Contracts(ctx context.Context) ([]contract.Contract, error) {
	var all []contract.Contract
	err := c.Get(ctx, "/admin/v1/contracts", &all)
	return all, err
}

// PutContract creates or replaces a contract. Its Revision must be the revision
// that was read, or 0 to create the contract.
func (c *Client) PutContract(ctx context.Context, next contract.Contract) (state.Result, error) {
	return c.Change(ctx, http.MethodPut, "/admin/v1/contracts/"+url.PathEscape(next.ID), next)
}

// ChangeKeys adds and removes key hashes of a contract.
func (c *Client) ChangeKeys(ctx context.Context, id string, change KeyChange) (state.Result, error) {
	return c.Change(ctx, http.MethodPost, "/admin/v1/contracts/"+url.PathEscape(id)+"/keys", change)
}

// Models returns all base models.
func (c *Client) Models(ctx context.Context) ([]catalogue.Model, error) {
	var all []catalogue.Model
	err := c.Get(ctx, "/admin/v1/models", &all)
	return all, err
}

// PutModel adds a base model.
func (c *Client) PutModel(ctx context.Context, model catalogue.Model) (state.Result, error) {
	return c.Change(ctx, http.MethodPut, "/admin/v1/models/"+url.PathEscape(model.Name), model)
}

// Adapters returns all adapters whose names begin with prefix.
func (c *Client) Adapters(ctx context.Context, prefix string) ([]catalogue.Adapter, error) {
	var all []catalogue.Adapter
	after := ""
	for {
		query := url.Values{"prefix": {prefix}, "after": {after}}
		var page AdapterPage
		if err := c.Get(ctx, "/admin/v1/adapters?"+query.Encode(), &page); err != nil {
			return nil, err
		}
		all = append(all, page.Adapters...)
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}

// PutAdapter adds an adapter version.
func (c *Client) PutAdapter(ctx context.Context, adapter catalogue.Adapter) (state.Result, error) {
	return c.Change(ctx, http.MethodPut, "/admin/v1/adapters/"+url.PathEscape(adapter.Ref.String()), adapter)
}

// RetireAdapter retires an adapter version. This cannot be undone.
func (c *Client) RetireAdapter(ctx context.Context, ref catalogue.Ref) (state.Result, error) {
	return c.Change(ctx, http.MethodPost, "/admin/v1/adapters/"+url.PathEscape(ref.String())+"/retire", struct{}{})
}

// Service returns the plain service with the given name.
func (c *Client) Service(ctx context.Context, name string) (catalogue.Service, error) {
	var found catalogue.Service
	err := c.Get(ctx, "/admin/v1/services/"+url.PathEscape(name), &found)
	return found, err
}

// Services returns all plain services.
func (c *Client) Services(ctx context.Context) ([]catalogue.Service, error) {
	var all []catalogue.Service
	err := c.Get(ctx, "/admin/v1/services", &all)
	return all, err
}

// PutService creates or replaces a service. Its Revision must be the revision that
// was read, or 0 to create the service.
func (c *Client) PutService(ctx context.Context, service catalogue.Service) (state.Result, error) {
	return c.Change(ctx, http.MethodPut, "/admin/v1/services/"+url.PathEscape(service.Name), service)
}

// Servers returns the backend servers that are announced or have a wanted state.
func (c *Client) Servers(ctx context.Context) ([]Server, error) {
	var all []Server
	err := c.Get(ctx, "/admin/v1/servers", &all)
	return all, err
}

// Server returns the backend server with the given name.
func (c *Client) Server(ctx context.Context, name string) (Server, error) {
	var found Server
	err := c.Get(ctx, "/admin/v1/servers/"+url.PathEscape(name), &found)
	return found, err
}

// PutServer writes the wanted state of a server. Its Revision must be the revision
// that was read.
func (c *Client) PutServer(ctx context.Context, wanted state.Server) (state.Result, error) {
	return c.Change(ctx, http.MethodPut, "/admin/v1/servers/"+url.PathEscape(wanted.Name), wanted)
}

// Status returns the state of the whole system as known to a control instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.Get(ctx, "/admin/v1/status", &status)
	return status, err
}

// InForce waits until the change at index is in force in every living daemon or
// the timeout has passed, and returns the last report.
func (c *Client) InForce(ctx context.Context, index uint64, timeout time.Duration) (InForce, error) {
	deadline := time.Now().Add(timeout)
	for {
		remaining := max(0, min(time.Until(deadline), MaxWait))
		path := fmt.Sprintf("/admin/v1/in-force/%d?waitMillis=%d", index, remaining.Milliseconds())
		var report InForce
		if err := c.Wait(ctx, path, remaining, &report); err != nil {
			return InForce{}, err
		}
		if report.Done || !time.Now().Before(deadline) {
			return report, nil
		}
	}
}
