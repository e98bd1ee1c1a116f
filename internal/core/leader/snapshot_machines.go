package leader

import (
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// joinDelay is how long a cycle waits for more machines when one becomes schedulable again.
const joinDelay = config.Second

// markMachineStale has a machine examined again.
func (ss *clusterSnapshot) markMachineStale(m *zone.Machine) {
	if !ss.ready {
		return // a new leader examines everything
	}
	if !m.Stale {
		m.Stale = true
		ss.staleMachines = append(ss.staleMachines, m)
	}
	ss.watchMachine(m)
}

// checkAvailability has a machine examined again if it has become schedulable or is no longer.
func (ss *clusterSnapshot) checkAvailability(m *zone.Machine) {
	offers := ss.schedulable(m)
	if offers == (m.Offer != nil) {
		return
	}
	ss.markMachineStale(m)
	if offers {
		// A worker that has accepted a new leader is capacity for waiting jobs; with most of the
		// workers fewer tasks are preempted for these than with the first one.
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
	reachable := !m.Reachability.Unreachable() && m.SilentSince == 0
	return reachable && ss.outbox.Now()-m.LastContactAt <= ss.heartbeatTimeout()
}

// tryQuarantined decides whether tasks are placed on a quarantined machine on probation. It is
// released once it is idle, which it never is when its tasks don't end. So it is tried when a job
// could not be placed and nothing has failed on it for a while. Another failure ends the probation, a
// success ends the quarantine.
func (ss *clusterSnapshot) tryQuarantined(m *zone.Machine) {
	m.OnProbation = m.Quarantined() && (m.OnProbation || ss.demandUnmet && ss.outbox.Now()-m.LastFailureAt() > failureBackoff)
}

// heartbeatTimeout is how long a worker may send nothing before no more tasks are placed on it.
func (e *environment) heartbeatTimeout() Micros {
	return config.FromSeconds(e.cfg.Cluster.Workers.ReportS*1.25) + 2*config.Second
}

// watchMachine tells the autoscaler whether a machine is in use: one that is not may be released.
func (ss *clusterSnapshot) watchMachine(m *zone.Machine) {
	ss.autoscaler.WatchMachine(m, len(ss.replica.PlacementsOn(m.Name)) > 0 || len(ss.planned[m.Name]) > 0)
}

// refreshMachines examines the stale machines. It is called after every input, when their data is
// in the processor's cache, and not only in the cycle that follows.
func (ss *clusterSnapshot) refreshMachines() {
	ss.statistics.Machines += len(ss.staleMachines)
	for _, m := range ss.staleMachines {
		ss.refreshMachine(m)
	}
	ss.staleMachines = ss.staleMachines[:0]
}

// refreshMachine computes anew what a machine offers.
func (ss *clusterSnapshot) refreshMachine(m *zone.Machine) {
	m.Stale = false
	if m.Offer != nil {
		ss.byName[m.Offer.Zone].Remove(m.Offer)
		m.Offer = nil
	}
	if !m.Registered() {
		ss.autoscaler.ForgetMachine(m)
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

// sumAllocated adds up the open and the planned placements of a machine. Every open placement
// counts, whatever the worker last reported. Sums of whole millionths don't depend on the order, so
// nothing has to be sorted.
func (ss *clusterSnapshot) sumAllocated(m *zone.Machine, open map[job.AttemptKey]job.Placement, plans map[*Job]int) {
	var cpus, gpus, memory int64
	add := func(s *wire.Job, n int) {
		cpus += toMillionths(s.CPUs) * int64(n)
		gpus += toMillionths(s.GPUs) * int64(n)
		memory += toMillionths(s.MemoryGB) * int64(n)
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
	m.Allocated = zone.Resources{CPUs: fromMillionths(cpus), GPUs: fromMillionths(gpus), MemoryGB: fromMillionths(memory)}
}

func toMillionths(amount float64) int64 { return int64(math.Round(amount * 1e6)) }

func fromMillionths(n int64) float64 { return float64(n) / 1e6 }
