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
func (l *Leader) cycleStatistics() CycleStatistics { return l.snapshot.statistics }

func newSnapshot(zones []string) clusterSnapshot {
	s := clusterSnapshot{rebuildDue: true, byName: map[string]*zone.Zone{}, used: map[string]queue.Amount{}, teamQueues: map[string]*queue.TeamQueue{},
		wanting: map[*Job]bool{}, planned: map[string]map[*Job]int{}, classes: equivalenceClasses{}}
	for _, name := range zones {
		z := &zone.Zone{Name: name}
		s.zones = append(s.zones, z)
		s.byName[name] = z
	}
	return s
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
func (l *Leader) markMachineStale(m *zone.Machine) {
	if !l.ready {
		return // a new leader looks at everything
	}
	if !m.Stale {
		m.Stale = true
		l.snapshot.staleMachines = append(l.snapshot.staleMachines, m)
	}
	l.watchMachine(m)
}

// checkAvailability has a machine looked at again if what it can offer at all may have
// changed.
func (l *Leader) checkAvailability(m *zone.Machine) {
	if offers := l.schedulable(m); offers != (m.Offer != nil) {
		l.markMachineStale(m)
		// A worker that follows a new leader is room for what waits; with most of them
		// less is stopped for it than with the first.
		if at := l.outbox.Now() + joinDelay; offers && (l.nextCycleAt == 0 || at < l.nextCycleAt) {
			l.nextCycleAt = at
		}
	}
}

// markJobStale has a job looked at again.
func (l *Leader) markJobStale(j *Job) {
	if l.ready && !j.stale {
		j.stale = true
		l.snapshot.staleJobs = append(l.snapshot.staleJobs, j)
	}
}

// setPlan replaces what is about to be placed of a job. It counts as placed from
// now on.
func (l *Leader) setPlan(j *Job, plan []job.Placement) {
	if len(j.plan) == 0 && len(plan) == 0 {
		return
	}
	for _, p := range j.plan {
		l.countPlanned(j, p.Machine, -1)
	}
	j.plan = plan
	for _, p := range plan {
		l.countPlanned(j, p.Machine, 1)
	}
	l.markJobStale(j)
}

// addPlan has one more task of a job placed.
func (l *Leader) addPlan(j *Job, p job.Placement) {
	j.plan = append(j.plan, p)
	l.countPlanned(j, p.Machine, 1)
	l.markJobStale(j)
}

func (l *Leader) countPlanned(j *Job, machine string, n int) {
	on := l.snapshot.planned[machine]
	if on == nil {
		on = map[*Job]int{}
		l.snapshot.planned[machine] = on
	}
	if on[j] += n; on[j] <= 0 {
		delete(on, j)
	}
	if len(on) == 0 {
		delete(l.snapshot.planned, machine)
	}
	if m := l.reconciler.Registry().Get(machine); m != nil {
		l.markMachineStale(m)
	}
}

// schedulable tells whether a machine may be given work at all.
func (l *Leader) schedulable(m *zone.Machine) bool {
	return l.snapshot.byName[m.Zone] != nil && l.catalog.Types[m.Type] != nil && m.Incarnation != 0 && m.FencingToken >= l.elector.TermStart() && !m.Releasing &&
		!m.Failed && !m.IncarnationReset && m.ReclaimedAt == 0 && (!m.Quarantined() || m.OnProbation) && !m.Reachability.Unreachable() && m.SilentSince == 0 && l.outbox.Now()-m.LastContactAt <= l.heartbeatTimeout()
}

// tryQuarantined decides whether a machine that seems faulty is given work again. It goes back once it is idle; with work that
// never ends it never is. So it is tried when something has found no room and nothing has failed there for
// a while. Another failure ends that, a success clears what is held against it.
func (l *Leader) tryQuarantined(m *zone.Machine) {
	m.OnProbation = m.Quarantined() && (m.OnProbation || l.snapshot.demandUnmet && l.outbox.Now()-m.LastFailureAt() > failureBackoff)
}

// heartbeatTimeout is how long a worker may say nothing before it gets no more work.
func (l *Leader) heartbeatTimeout() Micros {
	return config.FromSeconds(l.cfg.Cluster.Workers.ReportS*1.25) + 2*config.Second
}

// watchMachine keeps the list of machines that may have to go back: all but those that
// work. It notes since when a machine is idle.
func (l *Leader) watchMachine(m *zone.Machine) {
	l.autoscaler.WatchMachine(m, len(l.replica.PlacementsOn(m.Name)) > 0 || len(l.snapshot.planned[m.Name]) > 0)
}

// refreshSnapshot looks at what has changed since the last pass.
func (l *Leader) refreshSnapshot() {
	s := &l.snapshot
	if l.outbox.Now()-s.rebuiltAt >= config.FromSeconds(l.cfg.Settings.ScanPeriodS) {
		s.rebuildDue = true
	}
	if s.rebuildDue {
		l.rebuildSnapshot()
	}
	l.reconciler.Registry().EachSilent(l.outbox.Now()-l.heartbeatTimeout(), l.checkAvailability)
	s.statistics.Cycles++
	s.statistics.Jobs += len(s.staleJobs)
	l.refreshMachines()
	for _, j := range s.staleJobs {
		l.refreshJob(j)
	}
	s.staleJobs = s.staleJobs[:0]
}

// rebuildSnapshot puts everything on the lists and adds up from nothing, which also removes
// what rounding has left in sums.
func (l *Leader) rebuildSnapshot() {
	s := &l.snapshot
	s.rebuildDue, s.rebuiltAt, s.deadlinesDue = false, l.outbox.Now(), true
	for _, m := range l.reconciler.Registry().All() {
		l.tryQuarantined(m)
		l.markMachineStale(m)
	}
	if len(s.classes) > maxEquivalenceClasses {
		clear(s.classes)
		for _, j := range l.unfinished {
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
	for _, j := range l.unfinished {
		j.cachedJobState = cachedJobState{}
		l.markJobStale(j)
	}
}

// refreshMachines looks at the machines that have changed. It is asked after every
// input, when what is looked at is at hand, and not in the pass that follows.
func (l *Leader) refreshMachines() {
	s := &l.snapshot
	s.statistics.Machines += len(s.staleMachines)
	for _, m := range s.staleMachines {
		l.refreshMachine(m)
	}
	s.staleMachines = s.staleMachines[:0]
}

func (l *Leader) refreshMachine(m *zone.Machine) {
	s := &l.snapshot
	m.Stale = false
	if m.Offer != nil {
		s.byName[m.Offer.Zone].Remove(m.Offer)
		m.Offer = nil
	}
	if !m.Registered() {
		l.autoscaler.ForgetMachine(m)
		return
	}
	open, plans := l.replica.PlacementsOn(m.Name), s.planned[m.Name]
	l.autoscaler.UpdateMachine(m, len(open) == 0, len(open)+len(plans) > 0)
	if !l.schedulable(m) {
		return
	}
	l.sumAllocated(m, open, plans)
	t := l.catalog.Types[m.Type]
	m.Offer = &zone.Offer{Machine: m, Zone: m.Zone, Idle: len(open) == 0, PendingImages: l.pendingImages(open, plans),
		Free: zone.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}.Plus(m.Allocated, -1)}
	s.byName[m.Zone].Add(m.Offer)
}

// pendingImages lists the images of what is placed on a machine or about to be, in the order of
// their names.
func (l *Leader) pendingImages(open map[job.AttemptKey]job.Placement, plans map[*Job]int) []string {
	if !l.cfg.Settings.ShareFetches {
		return nil
	}
	var out []string
	add := func(j *Job) {
		if j != nil && j.Record.Spec != nil && !slices.Contains(out, j.Record.Spec.Image) {
			out = append(out, j.Record.Spec.Image)
		}
	}
	for key := range open {
		add(l.jobs[key.Job])
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
func (l *Leader) sumAllocated(m *zone.Machine, open map[job.AttemptKey]job.Placement, plans map[*Job]int) {
	var cpus, gpus, memory int64
	add := func(s *wire.Job, n int) {
		cpus += millionths(s.CPUs) * int64(n)
		gpus += millionths(s.GPUs) * int64(n)
		memory += millionths(s.MemoryGB) * int64(n)
	}
	for key := range open {
		if j := l.jobs[key.Job]; j != nil && j.Record.Spec != nil {
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

func (l *Leader) refreshJob(j *Job) {
	s := &l.snapshot
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
	l.refreshTeamQueue(j)
	if spec != nil && j.unfinished && !j.Blocked() && j.DoneTasks+j.OpenTasks < spec.Tasks && !j.Record.Final() && !j.Record.CancelRequested && l.teams[spec.Team] != nil {
		s.wanting[j] = true
	} else {
		delete(s.wanting, j)
	}
}

// refreshTeamQueue keeps a job's place in the line of its team, for the guarantee.
func (l *Leader) refreshTeamQueue(j *Job) {
	spec := j.Record.Spec
	if spec == nil { // it has left its team's line before or does now
		if line := l.snapshot.teamQueues[j.queueTeam]; line != nil {
			line.Remove(&j.queued)
		}
		return
	}
	team := l.teams[spec.Team]
	if team == nil || !queue.HasGuarantee(team) {
		return
	}
	line := l.snapshot.teamQueues[spec.Team]
	if line == nil {
		line = queue.NewTeamQueue(team)
		l.snapshot.teamQueues[spec.Team] = line
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
func (l *Leader) withinGuarantee(j *Job) bool {
	team := l.teams[j.Record.Spec.Team]
	if team == nil || j.Record.Final() || j.Blocked() {
		return false
	}
	if j.queuedBehind {
		return l.mayClaimGuarantee(j, l.snapshot.used)
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
