package autoscaler

import (
	"maps"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/wire"
)

// ScaleOut requests the machines that demands require in addition to those that are booting.
func (a *Autoscaler) ScaleOut(demands []Demand) {
	types := make([]*wire.MachineType, 0, len(a.catalog.Types))
	for _, name := range slices.Sorted(maps.Keys(a.catalog.Types)) {
		types = append(types, a.catalog.Types[name])
	}
	rentals := a.provisioner.Plan(a.outbox.Now(), demands, a.pools.bootingPools(), a.pools.sizes, types)
	a.provisioner.Enqueue(a.elector.FencingToken(), rentals)
	a.sendDue()
}

// sendDue sends the rental requests that are due.
func (a *Autoscaler) sendDue() {
	for _, request := range a.provisioner.Due(a.outbox.Now()) {
		a.outbox.Emit(msg.ScaleOut{Request: request})
	}
}

// ScaleOutDone handles the result of a rental request.
func (a *Autoscaler) ScaleOutDone(x msg.ScaleOutDone) {
	if !a.active {
		return
	}
	if x.Outcome != msg.OK && x.Outcome != msg.Conflict {
		a.provisioner.Retry(a.outbox.Now(), x.Name)
		return
	}
	request, ok := a.provisioner.Complete(a.outbox.Now(), x.Name, len(x.Machines), x.Outcome == msg.Conflict)
	if !ok {
		return
	}
	a.outbox.Log("scaled out", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Count, "granted", len(x.Machines))
	for _, name := range x.Machines {
		m := a.machines.EnsureMachine(name)
		m.Describe("", request.Type, request.Zone, request.Spot)
		a.listener.MachineChanged(m)
		a.listener.MachineSetChanged(name)
	}
	a.listener.CapacityChanged()
}

// CapacityExhausted reports whether the cloud recently had no capacity in any pool that suits a
// demand, and no machine of such a pool is booting.
func (a *Autoscaler) CapacityExhausted(demand *Demand) bool {
	if a.pools.anyBootingFor(demand) {
		return false
	}
	for name := range demand.Types {
		t := a.catalog.Types[name]
		if t != nil && !a.typeExhausted(demand, t) {
			return false
		}
	}
	return true
}

// typeExhausted reports whether the cloud recently had no capacity in any pool of a type that suits
// a demand.
func (a *Autoscaler) typeExhausted(demand *Demand, t *wire.MachineType) bool {
	for _, z := range t.Zones {
		for _, spot := range [...]bool{false, true} {
			pool := Pool{t.Name, z, spot}
			if demand.accepts(pool) && !a.provisioner.recentlyExhausted(a.outbox.Now(), pool) {
				return false
			}
		}
	}
	return true
}
