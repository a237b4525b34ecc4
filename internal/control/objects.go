package control

import (
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

// adapterPageSize is the maximum number of adapters in one response.
const adapterPageSize = 5000

func (c *Control) listContracts(w http.ResponseWriter, _ *http.Request) {
	var all []contract.Contract
	c.read(func(m *state.Machine) { all = m.Contracts() })
	writeJSON(w, http.StatusOK, all)
}

func (c *Control) getContract(w http.ResponseWriter, r *http.Request) {
	found, ok := c.Contract(chi.URLParam(r, "id"))
	if !ok {
		writeError(w, http.StatusNotFound, "no such contract")
		return
	}
	writeJSON(w, http.StatusOK, found)
}

// putContract replaces the whole contract. Its Revision is the revision that the
// writer read, or 0 to create the contract.
func (c *Control) putContract(w http.ResponseWriter, r *http.Request) {
	var next contract.Contract
	if !c.readBody(w, r, &next) {
		return
	}
	next.ID = chi.URLParam(r, "id")
	c.propose(w, r, state.Command{PutContract: &state.PutContract{Expected: next.Revision, Contract: next}})
}

func (c *Control) changeKeys(w http.ResponseWriter, r *http.Request) {
	var change operator.KeyChange
	if !c.readBody(w, r, &change) {
		return
	}
	c.propose(w, r, state.Command{ChangeKeys: &state.ChangeKeys{
		Contract: chi.URLParam(r, "id"),
		Add:      change.Add,
		Remove:   change.Remove,
	}})
}

func (c *Control) listModels(w http.ResponseWriter, _ *http.Request) {
	var all []catalogue.Model
	c.read(func(m *state.Machine) { all = m.Models() })
	writeJSON(w, http.StatusOK, all)
}

func (c *Control) putModel(w http.ResponseWriter, r *http.Request) {
	var model catalogue.Model
	if !c.readBody(w, r, &model) {
		return
	}
	model.Name = chi.URLParam(r, "name")
	c.propose(w, r, state.Command{PutModel: &model})
}

// listAdapters responds with one page at a time, because a deployment may have more
// adapters than fit into one response.
func (c *Control) listAdapters(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, prefix := query.Get("after"), query.Get("prefix")
	var table *catalogue.Table
	c.read(func(m *state.Machine) { table = m.AdapterTable() })
	page := operator.AdapterPage{}
	for _, adapter := range table.Sorted() {
		if !strings.HasPrefix(adapter.Ref.Adapter, prefix) || !sortsAfter(adapter.Ref, after) {
			continue
		}
		if len(page.Adapters) == adapterPageSize {
			page.Next = page.Adapters[adapterPageSize-1].Ref.String()
			break
		}
		page.Adapters = append(page.Adapters, adapter)
	}
	writeJSON(w, http.StatusOK, page)
}

// sortsAfter reports whether a version sorts after the last version of the previous
// page. Without a valid last version it reports true.
func sortsAfter(ref catalogue.Ref, after string) bool {
	last, err := catalogue.ParseRef(after)
	if err != nil {
		return true
	}
	return ref.Compare(last) > 0
}

func (c *Control) putAdapter(w http.ResponseWriter, r *http.Request) {
	ref, ok := pathRef(w, r)
	var adapter catalogue.Adapter
	if !ok || !c.readBody(w, r, &adapter) {
		return
	}
	adapter.Ref = ref
	c.propose(w, r, state.Command{PutAdapter: &adapter})
}

func (c *Control) retireAdapter(w http.ResponseWriter, r *http.Request) {
	ref, ok := pathRef(w, r)
	if !ok {
		return
	}
	c.propose(w, r, state.Command{RetireAdapter: &state.RetireAdapter{Ref: ref}})
}

func pathRef(w http.ResponseWriter, r *http.Request) (catalogue.Ref, bool) {
	ref, err := catalogue.ParseRef(chi.URLParam(r, "ref"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return ref, err == nil
}

func (c *Control) listServices(w http.ResponseWriter, _ *http.Request) {
	var all []catalogue.Service
	c.read(func(m *state.Machine) { all = m.Services() })
	writeJSON(w, http.StatusOK, all)
}

func (c *Control) getService(w http.ResponseWriter, r *http.Request) {
	var found catalogue.Service
	var ok bool
	c.read(func(m *state.Machine) { found, ok = m.Service(chi.URLParam(r, "name")) })
	if !ok {
		writeError(w, http.StatusNotFound, "no such service")
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (c *Control) putService(w http.ResponseWriter, r *http.Request) {
	var service catalogue.Service
	if !c.readBody(w, r, &service) {
		return
	}
	service.Name = chi.URLParam(r, "name")
	c.propose(w, r, state.Command{PutService: &state.PutService{Expected: service.Revision, Service: service}})
}

func (c *Control) listServers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.serverRows())
}

func (c *Control) getServer(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	rows := c.serverRows()
	i := slices.IndexFunc(rows, func(row operator.Server) bool { return row.Name == name })
	if i < 0 {
		writeError(w, http.StatusNotFound, "no such server has announced itself, and nothing is wanted of it")
		return
	}
	writeJSON(w, http.StatusOK, rows[i])
}

// serverRows joins the servers' announcements with their wanted states.
func (c *Control) serverRows() []operator.Server {
	c.mu.Lock()
	live, wanted := c.directory.Live(), c.machine.Servers()
	c.mu.Unlock()
	rows := make(map[string]operator.Server, len(live))
	for _, announced := range live {
		rows[announced.Server] = operator.Server{
			Name:      announced.Server,
			Wanted:    state.Server{Name: announced.Server, Wanted: state.WantedServing},
			Announced: &announced,
		}
	}
	for _, server := range wanted {
		row := rows[server.Name]
		row.Name, row.Wanted = server.Name, server
		rows[server.Name] = row
	}
	sorted := make([]operator.Server, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, row)
	}
	slices.SortFunc(sorted, func(a, b operator.Server) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

func (c *Control) putServer(w http.ResponseWriter, r *http.Request) {
	var server state.Server
	if !c.readBody(w, r, &server) {
		return
	}
	server.Name = chi.URLParam(r, "name")
	c.propose(w, r, state.Command{PutServer: &state.PutServer{Expected: server.Revision, Server: server}})
}
