package leader

import (
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// joinDelay is the delay of the cycle that is planned when a machine becomes schedulable, so that
// more machines become schedulable before it.
const joinDelay = config.Second

// markMachineStale marks a machine to be updated, and reports to the autoscaler whether it is in
// use.
func (ss *clusterSnapshot) markMachineStale(m *zone.Machine) {
	if !ss.ready {
		return // a new leader rebuilds the whole snapshot
	}
	if !m.Stale {
		m.Stale = true
		ss.staleMachines = append(ss.staleMachines, m)
	}
	ss.reportMachineUse(m)
}

// checkAvailability marks a machine stale if it has become schedulable or has ceased to be.
func (ss *clusterSnapshot) checkAvailability(m *zone.Machine) {
	schedulable := ss.schedulable(m)
	if schedulable == (m.Offer != nil) {
		return
	}
	ss.markMachineStale(m)
	if schedulable {
		// A worker that has accepted a new leader is capacity for waiting jobs. Once most of the
		// workers have done so, fewer tasks are preempted for these jobs than after the first one.
		ss.scheduler.planCycle(ss.outbox.Now() + joinDelay)
	}
}

// schedulable reports whether tasks may be placed on a machine at all.
func (ss *clusterSnapshot) schedulable(m *zone.Machine) bool {
	known := ss.byName[m.Zone] != nil && ss.catalog.Types[m.Type] != nil
	if !known || m.Incarnation == 0 || m.FencingToken < ss.elector.TermStart() {
		return false
	}
	leaving := m.Releasing || m.Failed || m.IncarnationReset || m.ReclaimedAt != 0
	if leaving || m.Quarantined() && !m.OnProbation {
		return false
	}
	reachable := !m.Reachability.Unreachable() && m.HeartbeatsLostSince == 0
	return reachable && ss.outbox.Now()-m.LastContactAt <= ss.heartbeatTimeout()
}

// updateProbation determines whether a quarantined machine is on probation, in which tasks are
// placed on it. A quarantined machine is released once it is idle, which it never is if its tasks
// don't end. Therefore it is put on probation when a job could not be placed and nothing has failed
// on the machine for failureBackoff. Another failure ends the probation, a success ends the
// quarantine.
func (ss *clusterSnapshot) updateProbation(m *zone.Machine) {
	m.OnProbation = m.Quarantined() &&
		(m.OnProbation || ss.demandUnmet && ss.outbox.Now()-m.LastFailureAt() > failureBackoff)
}

// heartbeatTimeout returns the time without contact to a worker after which no more tasks are
// placed on it.
func (e *environment) heartbeatTimeout() Micros {
	return config.FromSeconds(e.cfg.Cluster.Workers.ReportS*1.25) + 2*config.Second
}

// reportMachineUse reports to the autoscaler whether a machine is in use. A machine that is not may be
// released.
func (ss *clusterSnapshot) reportMachineUse(m *zone.Machine) {
	ss.autoscaler.UpdateScaleInCandidate(m, len(ss.replica.PlacementsOn(m.Name)) > 0 || len(ss.planned[m.Name]) > 0)
}

// refreshMachines updates the stale machines. It is called after every input, while their data is
// still in the CPU cache, and not only in the next cycle.
func (ss *clusterSnapshot) refreshMachines() {
	ss.statistics.Machines += len(ss.staleMachines)
	for _, m := range ss.staleMachines {
		ss.refreshMachine(m)
	}
	ss.staleMachines = ss.staleMachines[:0]
}

// refreshMachine recomputes the offer of a machine.
func (ss *clusterSnapshot) refreshMachine(m *zone.Machine) {
	m.Stale = false
	if m.Offer != nil {
		ss.byName[m.Offer.Zone].Remove(m.Offer)
		m.Offer = nil
	}
	if !m.Registered() {
		ss.autoscaler.RemoveMachine(m)
		return
	}
	open, plans := ss.replica.PlacementsOn(m.Name), ss.planned[m.Name]
	ss.autoscaler.UpdateMachine(m, len(open) == 0, len(open)+len(plans) > 0)
	if !ss.schedulable(m) {
		return
	}
	ss.sumAllocated(m, open, plans)
	t := ss.catalog.Types[m.Type]
	m.Offer = &zone.Offer{Machine: m, Zone: m.Zone, Idle: len(open) == 0, PendingImages: ss.pendingImages(open, plans),
		Free: zone.CapacityOf(t).Plus(m.Allocated, -1)}
	ss.byName[m.Zone].Add(m.Offer)
}

// pendingImages lists the images of the open and the planned placements of a machine, sorted by
// name.
func (ss *clusterSnapshot) pendingImages(open map[job.AttemptKey]job.Placement, plans map[*Job]int) []string {
	if !ss.cfg.Settings.ShareFetches {
		return nil
	}
	var out []string
	add := func(j *Job) {
		if j != nil && j.Record.Spec != nil && !slices.Contains(out, j.Record.Spec.Image) {
			out = append(out, j.Record.Spec.Image)
		}
	}
	for key := range open {
		add(ss.jobs[key.Job])
	}
	for j := range plans {
		add(j)
	}
	slices.Sort(out)
	return out
}

// sumAllocated sets the allocated resources of a machine to the sum over its open and planned
// placements. Every open placement counts, whatever the worker last reported. Amounts are added as
// integer billionths: their sum doesn't depend on the order, so nothing has to be sorted.
func (ss *clusterSnapshot) sumAllocated(m *zone.Machine, open map[job.AttemptKey]job.Placement, plans map[*Job]int) {
	var cpus, gpus, memory int64
	add := func(s *wire.Job, n int) {
		cpus += toBillionths(s.CPUs) * int64(n)
		gpus += toBillionths(s.GPUs) * int64(n)
		memory += toBillionths(s.MemoryGB) * int64(n)
	}
	for key := range open {
		if j := ss.jobs[key.Job]; j != nil && j.Record.Spec != nil {
			add(j.Record.Spec, 1)
		}
	}
	for j, n := range plans {
		if j.Record.Spec != nil {
			add(j.Record.Spec, n)
		}
	}
	m.Allocated = zone.Resources{CPUs: fromBillionths(cpus), GPUs: fromBillionths(gpus), MemoryGB: fromBillionths(memory)}
}

func toBillionths(amount float64) int64 { return int64(math.Round(amount * 1e9)) }

func fromBillionths(n int64) float64 { return float64(n) / 1e9 }
