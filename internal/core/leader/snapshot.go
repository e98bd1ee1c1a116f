package leader

import (
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
	"coralhub/wire"
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

	statistics CycleStatistics
}

// CycleStatistics counts the cycles of this process, and the machines and jobs that they have
// examined, for tests and the debug log.
type CycleStatistics struct{ Cycles, Machines, Jobs int }

// cycleStatistics returns the counts of this node.
func (ss *clusterSnapshot) cycleStatistics() CycleStatistics { return ss.statistics }

// reset empties the snapshot: the next cycle examines everything.
func (ss *clusterSnapshot) reset() {
	ss.zones, ss.byName = nil, map[string]*zone.Zone{}
	ss.staleMachines, ss.staleJobs = nil, nil
	ss.rebuildDue, ss.rebuiltAt, ss.deadlinesDue = true, 0, false
	ss.used = map[string]queue.Amount{}
	ss.teamQueues = map[string]*queue.TeamQueue{}
	ss.wanting = map[*Job]bool{}
	ss.planned = map[string]map[*Job]int{}
	ss.classes = equivalenceClasses{}
	ss.demandUnmet, ss.capacityShort, ss.reservedSince = false, false, 0
	for _, name := range ss.cfg.Cluster.Zones {
		z := &zone.Zone{Name: name}
		ss.zones = append(ss.zones, z)
		ss.byName[name] = z
	}
}

// cachedJobState is what the snapshot holds about one job.
type cachedJobState struct {
	stale     bool         // to be examined again
	team      string       // to whose use it adds
	allocated queue.Amount // what it adds
	queueTeam string       // the team in whose queue it is
	queued    queue.QueuedJob
}

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

// markJobStale has a job examined again.
func (ss *clusterSnapshot) markJobStale(j *Job) {
	if ss.ready && !j.stale {
		j.stale = true
		ss.staleJobs = append(ss.staleJobs, j)
	}
}

// setPlan replaces the planned placements of a job. They count as placed from now on.
func (ss *clusterSnapshot) setPlan(j *Job, plan []job.Placement) {
	if len(j.plan) == 0 && len(plan) == 0 {
		return
	}
	for _, p := range j.plan {
		ss.countPlanned(j, p.Machine, -1)
	}
	j.plan = plan
	for _, p := range plan {
		ss.countPlanned(j, p.Machine, 1)
	}
	ss.markJobStale(j)
}

// addPlan plans one more placement of a job.
func (ss *clusterSnapshot) addPlan(j *Job, p job.Placement) {
	j.plan = append(j.plan, p)
	ss.countPlanned(j, p.Machine, 1)
	ss.markJobStale(j)
}

// countPlanned adds n to the planned tasks of a job on a machine.
func (ss *clusterSnapshot) countPlanned(j *Job, machine string, n int) {
	on := ss.planned[machine]
	if on == nil {
		on = map[*Job]int{}
		ss.planned[machine] = on
	}
	if on[j] += n; on[j] <= 0 {
		delete(on, j)
	}
	if len(on) == 0 {
		delete(ss.planned, machine)
	}
	if m := ss.reconciler.Registry().Get(machine); m != nil {
		ss.markMachineStale(m)
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
		Free: zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}.Plus(m.Allocated, -1)}
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

// refreshJob computes anew what a job adds to its team's use, its position in the team's queue and
// whether it lacks placements.
func (ss *clusterSnapshot) refreshJob(j *Job) {
	j.stale = false
	spec := j.Record.Spec
	allocated, team := queue.Amount{}, ""
	if spec != nil && j.unfinished {
		team = spec.Team
		allocated = queue.Amount{}.Plus(taskAmount(spec), float64(j.OpenTasks+len(j.plan)))
	}
	if j.allocated != allocated || j.team != team {
		if j.team != "" {
			ss.used[j.team] = ss.used[j.team].Plus(j.allocated, -1)
		}
		if team != "" {
			ss.used[team] = ss.used[team].Plus(allocated, 1)
		}
		j.allocated, j.team = allocated, team
	}
	ss.refreshTeamQueue(j)
	if spec != nil && j.unfinished && ss.lacksPlacements(j) {
		ss.wanting[j] = true
	} else {
		delete(ss.wanting, j)
	}
}

// lacksPlacements reports whether tasks of an unfinished job are to be placed.
func (e *environment) lacksPlacements(j *Job) bool {
	spec := j.Record.Spec
	runnable := !j.Blocked() && !j.Record.Final() && !j.Record.CancelRequested
	return runnable && j.DoneTasks+j.OpenTasks < spec.Tasks && e.teams[spec.Team] != nil
}

// refreshTeamQueue updates a job's position in the queue of its team, by which the guarantee is
// given out.
func (ss *clusterSnapshot) refreshTeamQueue(j *Job) {
	spec := j.Record.Spec
	if spec == nil { // it leaves its team's queue, if it hasn't before
		if teamQueue := ss.teamQueues[j.queueTeam]; teamQueue != nil {
			teamQueue.Remove(&j.queued)
		}
		return
	}
	team := ss.teams[spec.Team]
	if team == nil || !queue.HasGuarantee(team) {
		return
	}
	teamQueue := ss.teamQueues[spec.Team]
	if teamQueue == nil {
		teamQueue = queue.NewTeamQueue(team)
		ss.teamQueues[spec.Team] = teamQueue
	}
	if !j.unfinished || j.Record.Final() || j.Blocked() {
		teamQueue.Remove(&j.queued)
		return
	}
	j.queueTeam = spec.Team
	j.queuedBehind = j.queuedBehind && !j.hasStarted()
	if position := j.queuePosition(); j.queued.Created != position {
		teamQueue.Remove(&j.queued)
		j.queued.Created = position
	}
	j.queued.ID = j.ID
	teamQueue.Update(&j.queued, queue.Amount{}.Plus(taskAmount(spec), float64(spec.Tasks-j.DoneTasks)))
}

// withinGuarantee reports whether a job fits into its team's guarantee together with the team's
// earlier unfinished jobs, as of the last cycle.
func (ss *clusterSnapshot) withinGuarantee(j *Job) bool {
	team := ss.teams[j.Record.Spec.Team]
	if team == nil || j.Record.Final() || j.Blocked() {
		return false
	}
	if j.queuedBehind {
		return ss.startOrder.mayClaimGuarantee(j, ss.used)
	}
	return !queue.HasGuarantee(team) || j.queued.WithinGuarantee
}

// queuePosition orders a job in its team's queue: by its age, or behind all others.
func (j *Job) queuePosition() Micros {
	if j.queuedBehind {
		return j.orderedBy + queueBehindOffset
	}
	return j.orderedBy
}

// taskResources is what one task of a job needs of a machine.
func taskResources(s *wire.Job) zone.Resources {
	return zone.Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}

// startAmount is the part of its team's quota that a job needs to start: one task, or a whole gang.
func startAmount(s *wire.Job) queue.Amount {
	if s.Shape == wire.Gang {
		return queue.Amount{}.Plus(taskAmount(s), float64(s.Tasks))
	}
	return taskAmount(s)
}

// taskAmount is what one task of a job counts for against its team's quota.
func taskAmount(s *wire.Job) queue.Amount { return queue.Amount{CPUs: s.CPUs, GPUs: s.GPUs} }
