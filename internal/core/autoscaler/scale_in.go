package autoscaler

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// scaleInRetryInterval is the time between two deletion requests for a machine.
	scaleInRetryInterval = 2 * config.Second
	// An idle machine is kept for idleBaseS, in seconds, plus idleBootFactor times the boot time of
	// its type.
	idleBaseS      = 20.0
	idleBootFactor = 1.4
	// defaultBootS is the assumed boot time of an unknown machine type, in seconds.
	defaultBootS = 60.0
	// bootTimeoutMargin is added to a machine's boot timeout.
	bootTimeoutMargin = 5 * config.Second
)

// scaleInReason is the reason for releasing a machine, empty if it is kept. It is logged.
type scaleInReason string

const (
	keepMachine                 scaleInReason = ""
	reasonFailed                scaleInReason = "failed"
	reasonIncarnationReset      scaleInReason = "incarnation reset"
	reasonBootTimeout           scaleInReason = "boot timeout"
	reasonWorkerTimeout         scaleInReason = "silent"
	reasonQuarantined           scaleInReason = "quarantined"
	reasonInboundUnreachable    scaleInReason = "inbound unreachable"
	reasonOutboundUnreachable   scaleInReason = "outbound unreachable"
	reasonRepeatedlyUnreachable scaleInReason = "repeatedly unreachable"
	reasonIdle                  scaleInReason = "idle"
)

// scaleIn releases machines that are idle, failed, without contact, faulty or that never booted, by
// requesting their deletion from the cloud. The answer to a deletion request proves that all tasks on the
// machine are over. Only machines that are unused, faulty or send no heartbeats are examined.
func (a *Autoscaler) scaleIn() {
	var failures correlatedFailures
	var names []string
	for _, m := range a.scaleInCandidates() {
		if a.machines.Registry().Get(m.Name) == m && a.shouldDelete(m, &failures) {
			names = append(names, m.Name)
		}
	}
	for batch := range slices.Chunk(names, wire.MaxMachinesPerRelease) {
		a.outbox.Emit(msg.ScaleIn{Machines: batch})
	}
}

// scaleInCandidates returns the candidates of UpdateScaleInCandidate and the machines without direct
// contact for the worker timeout, in the order of their names.
func (a *Autoscaler) scaleInCandidates() []*zone.Machine {
	candidates := slices.Collect(maps.Keys(a.candidates))
	a.machines.Registry().EachWithoutContactSince(a.outbox.Now()-a.cfg.WorkerTimeout(), func(m *zone.Machine) {
		if !a.candidates[m] {
			candidates = append(candidates, m)
		}
	})
	slices.SortFunc(candidates, zone.ByName)
	return candidates
}

// shouldDelete reports whether a deletion request for a machine is to be sent now, and records it as
// sent if so.
func (a *Autoscaler) shouldDelete(m *zone.Machine, failures *correlatedFailures) bool {
	now := a.outbox.Now()
	if m.Releasing {
		if now-m.ReleaseSentAt <= scaleInRetryInterval {
			return false
		}
		m.ReleaseSentAt = now
		return true
	}
	reason := a.scaleInReason(m, failures)
	sentRecently := m.ReleaseSentAt != 0 && now-m.ReleaseSentAt < scaleInRetryInterval
	if reason == keepMachine || sentRecently {
		return false
	}
	if m.ReleaseSentAt == 0 {
		placements := len(a.replica.PlacementsOn(m.Name))
		a.outbox.Log("scaling in", "machine", m.Name, "reason", string(reason), "placements", placements)
	}
	m.Releasing = true
	m.ReleaseSentAt = now
	a.listener.MachineChanged(m)
	return true
}

// scaleInReason returns why a machine is to be released, or keepMachine if it is not.
func (a *Autoscaler) scaleInReason(m *zone.Machine, failures *correlatedFailures) scaleInReason {
	switch {
	case m.Failed:
		return reasonFailed
	case m.IncarnationReset:
		return reasonIncarnationReset
	case m.Incarnation == 0 && len(a.replica.PlacementsOn(m.Name)) == 0:
		return reasonIf(a.bootTimedOut(m), reasonBootTimeout)
	case a.workerTimedOut(m, failures):
		return reasonWorkerTimeout
	case m.Quarantined():
		return reasonIf(m.IdleSince != 0, reasonQuarantined)
	}
	if reason := a.unreachableReason(m, failures); reason != keepMachine {
		return reason
	}
	return reasonIf(m.IdleSince != 0 && a.outbox.Now()-m.IdleSince > a.idleLimit(m), reasonIdle)
}

// reasonIf returns the reason if the condition holds, and keepMachine otherwise.
func reasonIf(condition bool, reason scaleInReason) scaleInReason {
	if condition {
		return reason
	}
	return keepMachine
}

// unreachableReason returns why a machine is to be released because of lost messages from or to its
// worker, or keepMachine if it is not.
func (a *Autoscaler) unreachableReason(m *zone.Machine, failures *correlatedFailures) scaleInReason {
	now := a.outbox.Now()
	switch {
	case m.Reachability.Unreachable() && now-m.Reachability.UnreachableSince > a.unreachableLimit(m, failures):
		return reasonInboundUnreachable
	case m.HeartbeatsLostSince != 0 && now-m.HeartbeatsLostSince > a.unreachableLimit(m, failures):
		return reasonOutboundUnreachable
	case m.Reachability.Episodes >= zone.MaxUnreachableEpisodes && m.IdleSince != 0:
		return reasonRepeatedlyUnreachable
	}
	return keepMachine
}

// workerTimedOut reports whether the last message of a machine is older than the worker timeout. The
// timeout is longer in a zone with a correlated failure, unless the machine is absent from the
// cloud's lists.
func (a *Autoscaler) workerTimedOut(m *zone.Machine, failures *correlatedFailures) bool {
	limit := a.cfg.WorkerTimeout()
	sinceMessage := a.outbox.Now() - max(m.LastMessageAt, a.activeSince)
	if sinceMessage <= limit {
		return false
	}
	if !a.missingFromLists(m) && a.inCorrelatedFailure(m, failures) {
		limit *= correlatedFailureFactor
	}
	return sinceMessage > limit
}

// unreachableLimit returns how long messages from or to a machine may be lost before it is deleted.
// By then its lease has expired, and all its tasks have ended.
func (a *Autoscaler) unreachableLimit(m *zone.Machine, failures *correlatedFailures) Micros {
	lease := config.FromSeconds(a.cfg.Cluster.Workers.LeaseS)
	if a.inCorrelatedFailure(m, failures) {
		return correlatedFailureFactor * lease
	}
	return lease
}

// idleLimit returns how long an idle machine is kept. Renting a machine again would cost its boot
// time, which is paid without use, and the images cached on this one.
func (a *Autoscaler) idleLimit(m *zone.Machine) Micros {
	if s := a.cfg.Settings.IdleScaleInS; s > 0 {
		return config.FromSeconds(s)
	}
	keepS := idleBaseS
	if t := a.catalog.Types[m.Type]; t != nil {
		keepS += float64(idleBootFactor * t.BootS)
	}
	return config.FromSeconds(keepS)
}

// bootTimedOut reports whether a machine whose worker has sent no message yet has exceeded its boot
// timeout.
func (a *Autoscaler) bootTimedOut(m *zone.Machine) bool {
	bootS := defaultBootS
	if t := a.catalog.Types[m.Type]; t != nil {
		bootS = t.BootS
	}
	limit := config.FromSeconds(bootS*a.cfg.Settings.BootTimeoutFactor) + bootTimeoutMargin
	return a.outbox.Now()-max(m.RentedAt, a.activeSince) > limit
}

// ScaleInDone handles the result of a deletion request.
func (a *Autoscaler) ScaleInDone(x msg.ScaleInDone) {
	if !a.active {
		return
	}
	if x.Outcome != msg.OK {
		a.scaleInFailed(x)
		return
	}
	for _, name := range slices.Sorted(slices.Values(x.Machines)) {
		a.removeDeleted(name)
	}
	a.listener.CapacityChanged()
}

// scaleInFailed puts machines that were certainly not deleted back into use. If the outcome is
// unknown, the deletion may still be executed, so nothing may be placed on the machine.
func (a *Autoscaler) scaleInFailed(x msg.ScaleInDone) {
	for _, name := range x.Machines {
		if m := a.machines.Registry().Get(name); m != nil {
			m.DeletionUncertain = m.DeletionUncertain || x.Outcome == msg.Unknown
			m.Releasing = m.DeletionUncertain
			a.listener.MachineChanged(m)
		}
	}
}

// removeDeleted closes the placements on a deleted machine and removes it from the registry.
func (a *Autoscaler) removeDeleted(name string) {
	for _, key := range job.SortedAttemptKeys(a.replica.PlacementsOn(name)) {
		a.listener.ClosePlacement(key, name, false)
	}
	if m := a.machines.Registry().Get(name); m != nil {
		a.listener.MachineChanged(m)
	}
	a.machines.Registry().Remove(name)
	a.list.deletedAt[name] = a.outbox.Now()
	a.listener.MachineSetChanged(name)
}
