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

// clusterSnapshot is what passes go by, kept between them: what each machine offers, what
// each team uses and is guaranteed, which jobs want places. Whatever changes a
// machine or a job puts it on a list, and the next pass looks at those alone. So
// that a change which nobody thought of lasts no longer than the scan period, a pass
// looks at everything that often, as the paper's does.
type clusterSnapshot struct {
	*environment
	scheduler  *scheduler
	startOrder *startOrder

	zones  []*zone.Zone // in the order of the settings
	byName map[string]*zone.Zone

	staleMachines []*zone.Machine // to be looked at again
	staleJobs     []*Job
	rebuildDue    bool // everything is
	rebuiltAt     Micros
	deadlinesDue  bool // everything was looked at: so are deadlines

	used       map[string]queue.Amount     // by team: what is open, or about to be
	teamQueues map[string]*queue.TeamQueue // of teams that have a guarantee
	wanting    map[*Job]bool               // jobs that lack places
	planned    map[string]map[*Job]int     // tasks about to be placed, by machine
	classes    equivalenceClasses

	demandUnmet   bool   // something found no room in the last pass
	capacityShort bool   // so, or for its team's limit
	reservedSince Micros // when zones were barred for jobs past the age cap, the last time it was their turn

	statistics CycleStatistics
}

// CycleStatistics counts what passes have looked at since the process began, for tests and
// the debug log.
type CycleStatistics struct{ Cycles, Machines, Jobs int }

// cycleStatistics tells what this node's passes have looked at.
func (ss *clusterSnapshot) cycleStatistics() CycleStatistics { return ss.statistics }

// reset begins with nothing known: the next cycle examines everything.
func (ss *clusterSnapshot) reset() {
	ss.zones, ss.byName = nil, map[string]*zone.Zone{}
	ss.staleMachines, ss.staleJobs = nil, nil
	ss.rebuildDue, ss.rebuiltAt, ss.deadlinesDue = true, 0, false
	ss.used, ss.teamQueues = map[string]queue.Amount{}, map[string]*queue.TeamQueue{}
	ss.wanting, ss.planned, ss.classes = map[*Job]bool{}, map[string]map[*Job]int{}, equivalenceClasses{}
	ss.demandUnmet, ss.capacityShort, ss.reservedSince = false, false, 0
	for _, name := range ss.cfg.Cluster.Zones {
		z := &zone.Zone{Name: name}
		ss.zones = append(ss.zones, z)
		ss.byName[name] = z
	}
}

// cachedJobState is what passes know of one job.
type cachedJobState struct {
	stale     bool         // to be looked at again
	team      string       // whose use it counts for
	allocated queue.Amount // what it counts for
	queueTeam string       // the team in whose line it stands
	queued    queue.QueuedJob
}

// joinDelay is how long a pass waits for more machines when one offers room again.
const joinDelay = config.Second

// markMachineStale has a machine looked at again.
func (ss *clusterSnapshot) markMachineStale(m *zone.Machine) {
	if !ss.ready {
		return // a new leader looks at everything
	}
	if !m.Stale {
		m.Stale = true
		ss.staleMachines = append(ss.staleMachines, m)
	}
	ss.watchMachine(m)
}

// checkAvailability has a machine looked at again if what it can offer at all may have
// changed.
func (ss *clusterSnapshot) checkAvailability(m *zone.Machine) {
	if offers := ss.schedulable(m); offers != (m.Offer != nil) {
		ss.markMachineStale(m)
		// A worker that follows a new leader is room for what waits; with most of them
		// less is stopped for it than with the first.
		if at := ss.outbox.Now() + joinDelay; offers && (ss.scheduler.nextCycleAt == 0 || at < ss.scheduler.nextCycleAt) {
			ss.scheduler.nextCycleAt = at
		}
	}
}

// markJobStale has a job looked at again.
func (ss *clusterSnapshot) markJobStale(j *Job) {
	if ss.ready && !j.stale {
		j.stale = true
		ss.staleJobs = append(ss.staleJobs, j)
	}
}

// setPlan replaces what is about to be placed of a job. It counts as placed from
// now on.
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

// addPlan has one more task of a job placed.
func (ss *clusterSnapshot) addPlan(j *Job, p job.Placement) {
	j.plan = append(j.plan, p)
	ss.countPlanned(j, p.Machine, 1)
	ss.markJobStale(j)
}

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

// schedulable tells whether a machine may be given work at all.
func (ss *clusterSnapshot) schedulable(m *zone.Machine) bool {
	return ss.byName[m.Zone] != nil && ss.catalog.Types[m.Type] != nil && m.Incarnation != 0 && m.FencingToken >= ss.elector.TermStart() && !m.Releasing &&
		!m.Failed && !m.IncarnationReset && m.ReclaimedAt == 0 && (!m.Quarantined() || m.OnProbation) && !m.Reachability.Unreachable() && m.SilentSince == 0 && ss.outbox.Now()-m.LastContactAt <= ss.heartbeatTimeout()
}

// tryQuarantined decides whether a machine that seems faulty is given work again. It goes back once it is idle; with work that
// never ends it never is. So it is tried when something has found no room and nothing has failed there for
// a while. Another failure ends that, a success clears what is held against it.
func (ss *clusterSnapshot) tryQuarantined(m *zone.Machine) {
	m.OnProbation = m.Quarantined() && (m.OnProbation || ss.demandUnmet && ss.outbox.Now()-m.LastFailureAt() > failureBackoff)
}

// heartbeatTimeout is how long a worker may say nothing before it gets no more work.
func (e *environment) heartbeatTimeout() Micros {
	return config.FromSeconds(e.cfg.Cluster.Workers.ReportS*1.25) + 2*config.Second
}

// watchMachine keeps the list of machines that may have to go back: all but those that
// work. It notes since when a machine is idle.
func (ss *clusterSnapshot) watchMachine(m *zone.Machine) {
	ss.autoscaler.WatchMachine(m, len(ss.replica.PlacementsOn(m.Name)) > 0 || len(ss.planned[m.Name]) > 0)
}

// refreshSnapshot looks at what has changed since the last pass.
func (ss *clusterSnapshot) refreshSnapshot() {
	s := ss
	if ss.outbox.Now()-s.rebuiltAt >= config.FromSeconds(ss.cfg.Settings.ScanPeriodS) {
		s.rebuildDue = true
	}
	if s.rebuildDue {
		ss.rebuildSnapshot()
	}
	ss.reconciler.Registry().EachSilent(ss.outbox.Now()-ss.heartbeatTimeout(), ss.checkAvailability)
	s.statistics.Cycles++
	s.statistics.Jobs += len(s.staleJobs)
	ss.refreshMachines()
	for _, j := range s.staleJobs {
		ss.refreshJob(j)
	}
	s.staleJobs = s.staleJobs[:0]
}

// rebuildSnapshot puts everything on the lists and adds up from nothing, which also removes
// what rounding has left in sums.
func (ss *clusterSnapshot) rebuildSnapshot() {
	s := ss
	s.rebuildDue, s.rebuiltAt, s.deadlinesDue = false, ss.outbox.Now(), true
	for _, m := range ss.reconciler.Registry().All() {
		ss.tryQuarantined(m)
		ss.markMachineStale(m)
	}
	if len(s.classes) > maxEquivalenceClasses {
		clear(s.classes)
		for _, j := range ss.unfinished {
			j.equivalenceClass = 0
		}
	}
	clear(s.used)
	clear(s.teamQueues)
	clear(s.wanting)
	for _, j := range s.staleJobs {
		j.cachedJobState = cachedJobState{}
	}
	s.staleJobs = s.staleJobs[:0]
	for _, j := range ss.unfinished {
		j.cachedJobState = cachedJobState{}
		ss.markJobStale(j)
	}
}

// refreshMachines looks at the machines that have changed. It is asked after every
// input, when what is looked at is at hand, and not in the pass that follows.
func (ss *clusterSnapshot) refreshMachines() {
	s := ss
	s.statistics.Machines += len(s.staleMachines)
	for _, m := range s.staleMachines {
		ss.refreshMachine(m)
	}
	s.staleMachines = s.staleMachines[:0]
}

func (ss *clusterSnapshot) refreshMachine(m *zone.Machine) {
	s := ss
	m.Stale = false
	if m.Offer != nil {
		s.byName[m.Offer.Zone].Remove(m.Offer)
		m.Offer = nil
	}
	if !m.Registered() {
		ss.autoscaler.ForgetMachine(m)
		return
	}
	open, plans := ss.replica.PlacementsOn(m.Name), s.planned[m.Name]
	ss.autoscaler.UpdateMachine(m, len(open) == 0, len(open)+len(plans) > 0)
	if !ss.schedulable(m) {
		return
	}
	ss.sumAllocated(m, open, plans)
	t := ss.catalog.Types[m.Type]
	m.Offer = &zone.Offer{Machine: m, Zone: m.Zone, Idle: len(open) == 0, PendingImages: ss.pendingImages(open, plans),
		Free: zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}.Plus(m.Allocated, -1)}
	s.byName[m.Zone].Add(m.Offer)
}

// pendingImages lists the images of what is placed on a machine or about to be, in the order of
// their names.
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

// sumAllocated adds up what is placed on a machine or about to be. Everything open counts,
// whatever the worker last said of it. Whole millionths add up to the same in any order,
// so nothing has to be sorted.
func (ss *clusterSnapshot) sumAllocated(m *zone.Machine, open map[job.AttemptKey]job.Placement, plans map[*Job]int) {
	var cpus, gpus, memory int64
	add := func(s *wire.Job, n int) {
		cpus += millionths(s.CPUs) * int64(n)
		gpus += millionths(s.GPUs) * int64(n)
		memory += millionths(s.MemoryGB) * int64(n)
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
	m.Allocated = zone.Resources{CPUs: float64(cpus) / 1e6, GPUs: float64(gpus) / 1e6, MemoryGB: float64(memory) / 1e6}
}

func millionths(amount float64) int64 { return int64(math.Round(amount * 1e6)) }

func (ss *clusterSnapshot) refreshJob(j *Job) {
	s := ss
	j.stale = false
	spec := j.Record.Spec
	use, team := queue.Amount{}, ""
	if spec != nil && j.unfinished {
		team = spec.Team
		use = queue.Amount{}.Plus(taskAmount(spec), float64(j.OpenTasks+len(j.plan)))
	}
	if j.allocated != use || j.team != team {
		if j.team != "" {
			s.used[j.team] = s.used[j.team].Plus(j.allocated, -1)
		}
		if team != "" {
			s.used[team] = s.used[team].Plus(use, 1)
		}
		j.allocated, j.team = use, team
	}
	ss.refreshTeamQueue(j)
	if spec != nil && j.unfinished && !j.Blocked() && j.DoneTasks+j.OpenTasks < spec.Tasks && !j.Record.Final() && !j.Record.CancelRequested && ss.teams[spec.Team] != nil {
		s.wanting[j] = true
	} else {
		delete(s.wanting, j)
	}
}

// refreshTeamQueue keeps a job's place in the line of its team, for the guarantee.
func (ss *clusterSnapshot) refreshTeamQueue(j *Job) {
	spec := j.Record.Spec
	if spec == nil { // it has left its team's line before or does now
		if line := ss.teamQueues[j.queueTeam]; line != nil {
			line.Remove(&j.queued)
		}
		return
	}
	team := ss.teams[spec.Team]
	if team == nil || !queue.HasGuarantee(team) {
		return
	}
	line := ss.teamQueues[spec.Team]
	if line == nil {
		line = queue.NewTeamQueue(team)
		ss.teamQueues[spec.Team] = line
	}
	if !j.unfinished || j.Record.Final() || j.Blocked() {
		line.Remove(&j.queued)
		return
	}
	j.queueTeam = spec.Team
	j.queuedBehind = j.queuedBehind && !j.hasStarted()
	if at := j.queuePosition(); j.queued.Created != at {
		line.Remove(&j.queued)
		j.queued.Created = at
	}
	j.queued.ID = j.ID
	line.Update(&j.queued, queue.Amount{}.Plus(taskAmount(spec), float64(spec.Tasks-j.DoneTasks)))
}

// withinGuarantee tells whether a job fits into its team's guarantee together with the
// team's earlier unfinished jobs, as of the last pass.
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

// queuePosition is by what a job stands in its team's line: its age, or behind all others.
func (j *Job) queuePosition() Micros {
	if j.queuedBehind {
		return j.orderedBy + queueBehindOffset
	}
	return j.orderedBy
}

func taskResources(s *wire.Job) zone.Resources {
	return zone.Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}

// startAmount is what a job takes of its team's part to begin: one task, or all of a gang.
func startAmount(s *wire.Job) queue.Amount {
	if s.Shape == wire.Gang {
		return queue.Amount{}.Plus(taskAmount(s), float64(s.Tasks))
	}
	return taskAmount(s)
}

func taskAmount(s *wire.Job) queue.Amount { return queue.Amount{CPUs: s.CPUs, GPUs: s.GPUs} }
