package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/query"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// clusterSnapshot is the state that scheduling cycles work on, kept between cycles: the offer of
// each machine, the usage and the guarantee of each team, and the jobs that lack placements. Every
// change to a machine or a job marks it stale, and the next cycle updates only what is stale. Once
// per scan period, as in MAST (Choudhury et al., OSDI 2024), a cycle rebuilds everything, so that a
// change that was not marked goes unnoticed for no longer than that.
type clusterSnapshot struct {
	*environment
	scheduler  *scheduler
	startOrder *startOrder

	zones  []*zone.Zone // in the order of the configuration
	byName map[string]*zone.Zone

	staleMachines []*zone.Machine // to be updated
	staleJobs     []*Job
	rebuildDue    bool // the whole snapshot is to be rebuilt
	rebuiltAt     Micros
	deadlinesDue  bool // deadlines are to be assessed again, after a rebuild

	used              map[string]queue.Amount     // by team: open placements and planned ones
	teamQueues        map[string]*queue.TeamQueue // by team, for the teams that have a guarantee
	lackingPlacements map[*Job]bool               // jobs that lack placements
	planned           map[string]map[*Job]int     // by machine: number of planned tasks of each job
	classes           equivalenceClasses

	demandUnmet       bool   // some job could not be placed in the last cycle
	capacityShort     bool   // some job could not be placed in the last cycle, or was held back by its team's limit
	zoneReservedSince Micros // when zones were last reserved for jobs past the age cap, see reservationAllowed

	statistics query.CycleStatistics
}

// cycleStatistics returns the numbers of cycles, and of updates of jobs and machines in the snapshot,
// since this process started.
func (ss *clusterSnapshot) cycleStatistics() query.CycleStatistics { return ss.statistics }

// reset empties the snapshot, so that the next cycle rebuilds it.
func (ss *clusterSnapshot) reset() {
	ss.zones = nil
	ss.byName = map[string]*zone.Zone{}
	ss.staleMachines = nil
	ss.staleJobs = nil
	ss.rebuildDue = true
	ss.rebuiltAt = 0
	ss.deadlinesDue = false
	ss.used = map[string]queue.Amount{}
	ss.teamQueues = map[string]*queue.TeamQueue{}
	ss.lackingPlacements = map[*Job]bool{}
	ss.planned = map[string]map[*Job]int{}
	ss.classes = equivalenceClasses{}
	ss.demandUnmet = false
	ss.capacityShort = false
	ss.zoneReservedSince = 0
	for _, name := range ss.cfg.Cluster.Zones {
		z := &zone.Zone{Name: name}
		ss.zones = append(ss.zones, z)
		ss.byName[name] = z
	}
}

// refreshSnapshot updates what has changed since the last cycle. It rebuilds the snapshot first if
// that is due.
func (ss *clusterSnapshot) refreshSnapshot() {
	if ss.outbox.Now()-ss.rebuiltAt >= config.FromSeconds(ss.cfg.Settings.ScanPeriodS) {
		ss.rebuildDue = true
	}
	if ss.rebuildDue {
		ss.rebuildSnapshot()
	}
	ss.reconciler.Registry().EachWithoutContactSince(ss.outbox.Now()-ss.heartbeatTimeout(), ss.checkAvailability)
	ss.statistics.Cycles++
	ss.statistics.Jobs += len(ss.staleJobs)
	ss.refreshMachines()
	for _, j := range ss.staleJobs {
		ss.refreshJob(j)
	}
	ss.staleJobs = ss.staleJobs[:0]
}

// rebuildSnapshot marks everything stale and empties the sums, which also removes accumulated
// rounding errors.
func (ss *clusterSnapshot) rebuildSnapshot() {
	ss.rebuildDue = false
	ss.rebuiltAt = ss.outbox.Now()
	ss.deadlinesDue = true
	for _, m := range ss.reconciler.Registry().All() {
		ss.updateProbation(m)
		ss.markMachineStale(m)
	}
	if len(ss.classes) > maxEquivalenceClasses {
		clear(ss.classes)
		for _, j := range ss.unfinished {
			j.equivalenceClass = 0
		}
	}
	clear(ss.used)
	clear(ss.teamQueues)
	clear(ss.lackingPlacements)
	for _, j := range ss.staleJobs {
		j.cachedJobState = cachedJobState{}
	}
	ss.staleJobs = ss.staleJobs[:0]
	for _, j := range ss.unfinished {
		j.cachedJobState = cachedJobState{}
		ss.markJobStale(j)
	}
}
