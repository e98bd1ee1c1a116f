package autoscaler

import (
	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// minListInterval is the shortest time between two requests for the cloud's list.
	minListInterval = 2 * config.Second
	// deletedRetentionLags is how long the deletion of a machine stays recorded at least, in list lags.
	deletedRetentionLags = 5
	// missingLags is how long a machine must be absent from the lists to count as missing, in list lags.
	missingLags = 3
)

// cloudList is the state of the requests for the cloud's list of machines. The list lags behind the
// state of the machines.
type cloudList struct {
	deletedAt   map[string]Micros // machines proven to be deleted, which the list may still contain
	requestedAt Micros
	receivedAt  Micros // when the newest list was received
	inFlight    bool
}

// reset discards what belongs to one term. The times of the last request and list are kept.
func (l *cloudList) reset() {
	l.inFlight = false
	l.deletedAt = map[string]Micros{}
}

// IsDeleted reports whether a machine is proven to be deleted.
func (a *Autoscaler) IsDeleted(name string) bool {
	_, deleted := a.list.deletedAt[name]
	return deleted
}

func (a *Autoscaler) listLag() Micros { return config.FromSeconds(a.cfg.Cluster.Cloud.ListLagS) }

// requestList requests the list of machines when it is due.
func (a *Autoscaler) requestList() {
	interval := max(a.listLag()/2, minListInterval)
	if a.list.inFlight || a.outbox.Now()-a.list.requestedAt <= interval {
		return
	}
	a.list.inFlight = true
	a.list.requestedAt = a.outbox.Now()
	a.outbox.Emit(msg.ListMachines{})
}

// ListDone handles the result of a request for the cloud's list of machines.
func (a *Autoscaler) ListDone(x msg.ListDone) {
	a.list.inFlight = false
	if !a.active || x.Outcome != msg.OK {
		return
	}
	a.list.receivedAt = a.outbox.Now()
	listed := make(map[string]bool, len(x.Machines))
	for i := range x.Machines {
		name := x.Machines[i].Name
		listed[name] = true
		if !a.IsDeleted(name) {
			a.applyListed(&x.Machines[i])
		}
	}
	a.updateUnlisted(listed)
	a.pruneDeleted(listed)
}

// applyListed updates or registers a machine from its entry in the list.
func (a *Autoscaler) applyListed(listed *wire.Machine) {
	known := a.machines.Registry().Get(listed.Name) != nil
	m := a.machines.EnsureMachine(listed.Name)
	if !known {
		m.RentedAt = a.outbox.Now() - config.FromSeconds(listed.AgeS)
	}
	failed := listed.State == wire.MachineFailed
	undescribed := m.Incarnation == 0 && m.Type == ""
	if !known || m.Failed != failed || undescribed {
		m.Failed = failed
		a.listener.MachineChanged(m)
	}
	m.Describe(listed.Addr, listed.Type, listed.Zone, listed.Spot)
}

// updateUnlisted records since when machines are absent from the list.
func (a *Autoscaler) updateUnlisted(listed map[string]bool) {
	for _, m := range a.machines.Registry().All() {
		switch {
		case listed[m.Name]:
			m.UnlistedSince = 0
		case m.UnlistedSince == 0:
			m.UnlistedSince = a.outbox.Now()
		}
	}
}

// pruneDeleted removes the deleted machines that are not in the list and were deleted so long ago that no
// later list can contain them either, in spite of its lag.
func (a *Autoscaler) pruneDeleted(listed map[string]bool) {
	for name, since := range a.list.deletedAt {
		if !listed[name] && a.outbox.Now()-since > deletedRetentionLags*a.listLag() {
			delete(a.list.deletedAt, name)
		}
	}
}

// missingFromLists reports whether a machine has been absent from the cloud's lists for more than
// missingLags list lags. Most likely a deletion that an earlier leader requested was executed late.
// The absence does not prove that the machine was deleted, but a deletion by this leader will, and
// there is no worker left for which it should wait.
func (a *Autoscaler) missingFromLists(m *zone.Machine) bool {
	return m.UnlistedSince != 0 && a.list.receivedAt-m.UnlistedSince > missingLags*a.listLag()
}
