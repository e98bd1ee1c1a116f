package leader

import (
	"coralhub/internal/config"
	"coralhub/internal/core/query"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// clusterSnapshot is what scheduling cycles work on, kept between them: what each machine offers,
// what each team uses and is guaranteed, which jobs lack placements. Whatever changes a machine or a
// job marks it stale, and the next cycle examines only what is stale. A cycle examines everything
// once per scan period, as the paper's does, so that a change which nothing marked has no longer
// effect than that.
type clusterSnapshot struct {
	*environment
	scheduler  *scheduler
	startOrder *startOrder

	zones  []*zone.Zone // in the order of the settings
	byName map[string]*zone.Zone

	staleMachines []*zone.Machine // to be examined again
	staleJobs     []*Job
	rebuildDue    bool // everything is to be examined
	rebuiltAt     Micros
	deadlinesDue  bool // everything was examined: deadlines are to be judged again

	used       map[string]queue.Amount     // by team: open placements and planned ones
	teamQueues map[string]*queue.TeamQueue // of teams that have a guarantee
	wanting    map[*Job]bool               // jobs that lack placements
	planned    map[string]map[*Job]int     // planned tasks by machine
	classes    equivalenceClasses

	demandUnmet   bool   // some job could not be placed in the last cycle
	capacityShort bool   // so, or because of its team's limit
	reservedSince Micros // when zones were last reserved for jobs past the age cap, see alternate

	statistics query.CycleStatistics
}

// cycleStatistics returns the counts of this node.
func (ss *clusterSnapshot) cycleStatistics() query.CycleStatistics { return ss.statistics }

// reset empties the snapshot: the next cycle examines everything.
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
	ss.wanting = map[*Job]bool{}
	ss.planned = map[string]map[*Job]int{}
	ss.classes = equivalenceClasses{}
	ss.demandUnmet = false
	ss.capacityShort = false
	ss.reservedSince = 0
	for _, name := range ss.cfg.Cluster.Zones {
		z := &zone.Zone{Name: name}
		ss.zones = append(ss.zones, z)
		ss.byName[name] = z
	}
}

// refreshSnapshot examines what has changed since the last cycle.
func (ss *clusterSnapshot) refreshSnapshot() {
	if ss.outbox.Now()-ss.rebuiltAt >= config.FromSeconds(ss.cfg.Settings.ScanPeriodS) {
		ss.rebuildDue = true
	}
	if ss.rebuildDue {
		ss.rebuildSnapshot()
	}
	ss.reconciler.Registry().EachSilent(ss.outbox.Now()-ss.heartbeatTimeout(), ss.checkAvailability)
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
		ss.tryQuarantined(m)
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
	clear(ss.wanting)
	for _, j := range ss.staleJobs {
		j.cachedJobState = cachedJobState{}
	}
	ss.staleJobs = ss.staleJobs[:0]
	for _, j := range ss.unfinished {
		j.cachedJobState = cachedJobState{}
		ss.markJobStale(j)
	}
}
