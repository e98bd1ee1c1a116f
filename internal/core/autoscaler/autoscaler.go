// Package autoscaler decides which machines to rent and to release, and tracks the requests to the
// cloud.
package autoscaler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
)

// Machines is the set of machines that an Autoscaler scales.
type Machines interface {
	// Registry returns the registry of the known machines.
	Registry() *zone.Registry
	// EnsureMachine returns the machine with a name and registers it first if it is unknown.
	EnsureMachine(name string) *zone.Machine
}

// Listener is notified of the changes that an Autoscaler makes.
type Listener interface {
	// MachineChanged is called when a property of a machine has changed.
	MachineChanged(*zone.Machine)
	// MachineSetChanged is called when a machine was added or removed.
	MachineSetChanged(machine string)
	// ClosePlacement is called when a placement is proven to be over.
	ClosePlacement(key job.AttemptKey, machine string, done bool)
	// CapacityChanged is called when there may be more or less free capacity.
	CapacityChanged()
}

// Autoscaler scales the cluster while its node leads. It rents machines for demand that found no
// capacity, and releases machines that are idle, failed, without contact, faulty or that never booted.
type Autoscaler struct {
	cfg      *config.Config
	outbox   *outbox.Outbox
	replica  *records.Replica
	catalog  *zone.Catalog
	elector  *election.Elector
	machines Machines
	listener Listener

	active      bool
	activeSince Micros // when the current term began
	provisioner *Provisioner

	list cloudList

	pools      machinePools
	candidates map[*zone.Machine]bool // unused or faulty machines, which each Tick examines for scaling in
}

// New returns an inactive Autoscaler without machines.
func New(
	cfg *config.Config, out *outbox.Outbox, replica *records.Replica, catalog *zone.Catalog, elector *election.Elector,
	machines Machines, listener Listener,
) *Autoscaler {
	a := &Autoscaler{
		cfg:      cfg,
		outbox:   out,
		replica:  replica,
		catalog:  catalog,
		elector:  elector,
		machines: machines,
		listener: listener,
	}
	a.Reset()
	return a
}

// Reset discards all state that belongs to one term and deactivates the Autoscaler.
func (a *Autoscaler) Reset() {
	a.active = false
	a.activeSince = a.outbox.Now()
	a.provisioner = NewProvisioner(a.cfg.Cluster.Cloud.RPS)
	a.list.reset()
	a.pools = newMachinePools()
	a.candidates = map[*zone.Machine]bool{}
}

// Activate starts scaling. The caller must have read the stored records since its node was elected.
func (a *Autoscaler) Activate() {
	a.active = true
	a.list.requestedAt = 0
}

// Tick requests the cloud's list of machines, sends due requests and scales in. It is called
// periodically. While the leader's lease may have expired, it only requests the list.
func (a *Autoscaler) Tick() {
	a.requestList()
	if a.elector.LeaseMayHaveExpired() {
		return
	}
	a.sendDue()
	a.scaleIn()
}

// TotalCapacity returns the total resources of the machines that are up or booting. Spot instances
// count only if spot is set.
func (a *Autoscaler) TotalCapacity(spot bool) zone.Resources {
	return a.pools.totalCapacity(a.catalog, spot)
}

// ManyMachinesBooting reports whether more than a quarter of the machines are booting. Until they are up,
// the cluster's free capacity is not known.
func (a *Autoscaler) ManyMachinesBooting() bool { return a.pools.manyBooting() }

// RemoveMachine stops tracking a machine that was removed from the registry.
func (a *Autoscaler) RemoveMachine(m *zone.Machine) {
	a.pools.remove(m)
	delete(a.candidates, m)
}

// UpdateMachine updates the counts of the pools after a change of a machine, and calls
// UpdateScaleInCandidate for it. empty is set if no open placement is on it, used if a placement is on it
// or planned there.
func (a *Autoscaler) UpdateMachine(m *zone.Machine, empty, used bool) {
	a.pools.remove(m)
	a.UpdateScaleInCandidate(m, used)
	if m.Releasing || m.Type == "" {
		return
	}
	a.pools.add(m, m.Incarnation == 0 && !m.Failed && empty)
}

// UpdateScaleInCandidate updates since when a machine is idle, and whether it is a candidate for scaling
// in. Every machine is, except those that are in use and have no known fault. used is set if a placement
// is on the machine or planned there.
func (a *Autoscaler) UpdateScaleInCandidate(m *zone.Machine, used bool) {
	notStarted := m.Incarnation == 0
	idle := !notStarted && !used
	switch {
	case !idle:
		m.IdleSince = 0
	case m.IdleSince == 0:
		m.IdleSince = a.outbox.Now()
	}
	faulty := m.Failed || m.IncarnationReset || m.HeartbeatsLostSince != 0 || m.Reachability.Unreachable()
	if idle || notStarted || m.Releasing || faulty {
		a.candidates[m] = true
	} else {
		delete(a.candidates, m)
	}
}
