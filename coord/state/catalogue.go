package state

import (
	"reflect"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// catalogueTable is the aggregate of base models, adapters and services.
type catalogueTable struct {
	models   map[string]catalogue.Model
	adapters *catalogue.Table
	services map[string]catalogue.Service
}

func newCatalogue() catalogueTable {
	return catalogueTable{
		models:   make(map[string]catalogue.Model),
		adapters: catalogue.NewTable(),
		services: make(map[string]catalogue.Service),
	}
}

func (t *catalogueTable) putModel(index uint64, model catalogue.Model) (Result, *Change) {
	if err := model.Validate(); err != nil {
		return invalid(index, err), nil
	}
	if _, exists := t.models[model.Name]; exists {
		return ok(index), nil
	}
	t.models[model.Name] = model
	return ok(index), &Change{Index: index, Model: &model}
}

// putAdapter adds a version. Versions are immutable: with different weights under
// the same name, two servers could answer differently for one name.
func (t *catalogueTable) putAdapter(index uint64, adapter catalogue.Adapter) (Result, *Change) {
	if err := adapter.Validate(); err != nil {
		return invalid(index, err), nil
	}
	if adapter.Retired {
		return invalid(index, errors.New("an adapter version cannot be added as retired")), nil
	}
	if _, exists := t.models[adapter.BaseModel]; !exists {
		return notFound(index, "base model "+adapter.BaseModel), nil
	}
	known, exists := t.adapters.Get(adapter.Ref)
	if exists && known == adapter {
		return ok(index), nil
	}
	if exists {
		return conflict(index, "adapter versions are immutable", &Change{Index: index, Adapter: &known}), nil
	}
	t.adapters.Put(adapter)
	return ok(index), &Change{Index: index, Adapter: &adapter}
}

func (t *catalogueTable) retireAdapter(index uint64, retire RetireAdapter) (Result, *Change) {
	adapter, exists := t.adapters.Get(retire.Ref)
	if !exists {
		return notFound(index, "adapter "+retire.Ref.String()), nil
	}
	if adapter.Retired {
		return ok(index), nil
	}
	adapter.Retired = true
	t.adapters.Put(adapter)
	return ok(index), &Change{Index: index, Adapter: &adapter}
}

func (t *catalogueTable) putService(index uint64, put PutService) (Result, *Change) {
	current, exists := t.services[put.Service.Name]
	next := put.Service
	next.Revision = current.Revision
	if exists && reflect.DeepEqual(next, current) {
		return Result{Code: CodeOK, Index: current.Revision}, nil
	}
	if current.Revision != put.Expected {
		return serviceConflict(index, current, exists), nil
	}
	if err := next.Validate(); err != nil {
		return invalid(index, err), nil
	}
	next.Revision = index
	t.services[next.Name] = next
	return ok(index), &Change{Index: index, Service: &next}
}

func serviceConflict(index uint64, current catalogue.Service, exists bool) Result {
	if !exists {
		return conflict(index, "there is no such service; a new one is written with revision 0", nil)
	}
	return conflict(index, "the service was changed by another writer", &Change{Index: current.Revision, Service: &current})
}

// Adapter returns an adapter version, including retired ones.
func (m *Machine) Adapter(ref catalogue.Ref) (catalogue.Adapter, bool) {
	return m.catalogue.adapters.Get(ref)
}

// Service returns a plain service by name.
func (m *Machine) Service(name string) (catalogue.Service, bool) {
	service, found := m.catalogue.services[name]
	return service, found
}

// Models returns all base models, sorted by name.
func (m *Machine) Models() []catalogue.Model {
	return sortedValues(m.catalogue.models, identity)
}

// Adapters returns all adapter versions, sorted by name and version.
func (m *Machine) Adapters() []catalogue.Adapter {
	return m.catalogue.adapters.Sorted()
}

// AdapterTable returns a copy of the adapter table, which is much faster than listing the adapters.
func (m *Machine) AdapterTable() *catalogue.Table { return m.catalogue.adapters.Clone() }

// AdapterCount returns the number of adapter versions, including retired ones.
func (m *Machine) AdapterCount() int { return m.catalogue.adapters.Len() }

// Services returns all plain services, sorted by name.
func (m *Machine) Services() []catalogue.Service {
	return sortedValues(m.catalogue.services, identity)
}

func identity(name string) string { return name }
