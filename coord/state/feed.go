package state

// Snapshot returns every object that daemons follow, in a fixed order. It is
// what a daemon that follows the feed for the first time receives.
func (m *Machine) Snapshot() []Change {
	var changes []Change
	for _, c := range m.Contracts() {
		changes = append(changes, Change{Index: m.configIndex, Contract: &c})
	}
	for _, model := range m.Models() {
		changes = append(changes, Change{Index: m.configIndex, Model: &model})
	}
	for _, a := range m.Adapters() {
		changes = append(changes, Change{Index: m.configIndex, Adapter: &a})
	}
	for _, s := range m.Services() {
		changes = append(changes, Change{Index: m.configIndex, Service: &s})
	}
	for _, s := range m.Servers() {
		changes = append(changes, Change{Index: m.configIndex, Server: &s})
	}
	if suspects := m.suspicion.Records(); len(suspects) > 0 {
		changes = append(changes, Change{Index: m.configIndex, Suspects: suspects})
	}
	return changes
}
