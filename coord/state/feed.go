package state

// ConfigIndex returns the index of the objects returned by Snapshot.
func (f Frozen) ConfigIndex() uint64 { return f.state.ConfigIndex }

// Snapshot returns every object that daemons subscribe to, in a fixed order. A
// daemon that subscribes to the feed for the first time receives it.
func (f Frozen) Snapshot() []Change {
	at := f.state.ConfigIndex
	var changes []Change
	for _, c := range f.state.Contracts {
		changes = append(changes, Change{Index: at, Contract: &c})
	}
	for _, model := range f.state.Models {
		changes = append(changes, Change{Index: at, Model: &model})
	}
	for _, a := range f.adapters.Sorted() {
		changes = append(changes, Change{Index: at, Adapter: &a})
	}
	for _, s := range f.state.Services {
		changes = append(changes, Change{Index: at, Service: &s})
	}
	for _, s := range f.state.Servers {
		changes = append(changes, Change{Index: at, Server: &s})
	}
	if suspects := f.state.Suspects; len(suspects) > 0 {
		changes = append(changes, Change{Index: at, Suspects: suspects})
	}
	return changes
}
