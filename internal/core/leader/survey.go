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

// survey is what passes go by, kept between them: what each machine offers, what
// each team uses and is guaranteed, which jobs want places. Whatever changes a
// machine or a job puts it on a list, and the next pass looks at those alone. So
// that a change which nobody thought of lasts no longer than the scan period, a pass
// looks at everything that often, as the paper's does.
type survey struct {
	zones  []*zone.Zone // in the order of the settings
	byName map[string]*zone.Zone

	machines []*zone.Machine // to be looked at again
	jobs     []*Job
	whole    bool // everything is
	wholeAt  Micros
	judgeDue bool // everything was looked at: so are deadlines

	used    map[string]queue.Amount // by team: what is open, or about to be
	lines   map[string]*queue.Line  // of teams that have a guarantee
	wanting map[*Job]bool           // jobs that lack places
	plans   map[string]map[*Job]int // tasks about to be placed, by machine
	alike   alike

	lacked   bool   // something found no room in the last pass
	pressing bool   // so, or for its team's limit
	barSince Micros // when zones were barred for jobs past the age cap, the last time it was their turn

	lookedAt Looked
}

// Looked counts what passes have looked at since the process began, for tests and
// the debug log.
type Looked struct{ Passes, Machines, Jobs int }

// Looked tells what this node's passes have looked at.
func (l *Leader) Looked() Looked { return l.survey.lookedAt }

func newSurvey(zones []string) survey {
	s := survey{whole: true, byName: map[string]*zone.Zone{}, used: map[string]queue.Amount{}, lines: map[string]*queue.Line{},
		wanting: map[*Job]bool{}, plans: map[string]map[*Job]int{}, alike: alike{}}
	for _, name := range zones {
		z := &zone.Zone{Name: name}
		s.zones = append(s.zones, z)
		s.byName[name] = z
	}
	return s
}

// surveyed is what passes know of one job.
type surveyed struct {
	listed bool         // to be looked at again
	team   string       // whose use it counts for
	use    queue.Amount // what it counts for
	lineOf string       // the team in whose line it stands
	member queue.Member
}

// followPause is how long a pass waits for more machines when one offers room again.
const followPause = config.Second

// touch has a machine looked at again.
func (l *Leader) touch(m *zone.Machine) {
	if !l.ready {
		return // a new leader looks at everything
	}
	if !m.Stale {
		m.Stale = true
		l.survey.machines = append(l.survey.machines, m)
	}
	l.watch(m)
}

// reconsider has a machine looked at again if what it can offer at all may have
// changed.
func (l *Leader) reconsider(m *zone.Machine) {
	if offers := l.offers(m); offers != (m.Room != nil) {
		l.touch(m)
		// A worker that follows a new leader is room for what waits; with most of them
		// less is stopped for it than with the first.
		if at := l.box.Now() + followPause; offers && (l.passAt == 0 || at < l.passAt) {
			l.passAt = at
		}
	}
}

// changed has a job looked at again.
func (l *Leader) changed(j *Job) {
	if l.ready && !j.listed {
		j.listed = true
		l.survey.jobs = append(l.survey.jobs, j)
	}
}

// setPlan replaces what is about to be placed of a job. It counts as placed from
// now on.
func (l *Leader) setPlan(j *Job, plan []job.Placement) {
	if len(j.plan) == 0 && len(plan) == 0 {
		return
	}
	for _, p := range j.plan {
		l.promise(j, p.Machine, -1)
	}
	j.plan = plan
	for _, p := range plan {
		l.promise(j, p.Machine, 1)
	}
	l.changed(j)
}

// addPlan has one more task of a job placed.
func (l *Leader) addPlan(j *Job, p job.Placement) {
	j.plan = append(j.plan, p)
	l.promise(j, p.Machine, 1)
	l.changed(j)
}

func (l *Leader) promise(j *Job, machine string, n int) {
	on := l.survey.plans[machine]
	if on == nil {
		on = map[*Job]int{}
		l.survey.plans[machine] = on
	}
	if on[j] += n; on[j] <= 0 {
		delete(on, j)
	}
	if len(on) == 0 {
		delete(l.survey.plans, machine)
	}
	if m := l.owner.Roster().Get(machine); m != nil {
		l.touch(m)
	}
}

// offers tells whether a machine may be given work at all.
func (l *Leader) offers(m *zone.Machine) bool {
	return l.survey.byName[m.Zone] != nil && l.catalog.Types[m.Type] != nil && m.Session != 0 && m.Token >= l.claim.Base() && !m.Releasing &&
		!m.Failed && !m.SessionReset && m.NoticeAt == 0 && (!m.Sick() || m.Retried) && !m.Hearing.Deaf() && m.Mute == 0 && l.box.Now()-m.Spoke <= l.suspectAfter()
}

// retry decides whether a machine that seems faulty is given work again. It goes back once it is idle; with work that
// never ends it never is. So it is tried when something has found no room and nothing has failed there for
// a while. Another failure ends that, a success clears what is held against it.
func (l *Leader) retry(m *zone.Machine) {
	m.Retried = m.Sick() && (m.Retried || l.survey.lacked && l.box.Now()-m.LastFailed() > elsewhereFor)
}

// suspectAfter is how long a worker may say nothing before it gets no more work.
func (l *Leader) suspectAfter() Micros {
	return config.FromSeconds(l.cfg.Cluster.Workers.ReportS*1.25) + 2*config.Second
}

// watch keeps the list of machines that may have to go back: all but those that
// work. It notes since when a machine is idle.
func (l *Leader) watch(m *zone.Machine) {
	l.keeper.Watch(m, len(l.replica.OpenOn(m.Name)) > 0 || len(l.survey.plans[m.Name]) > 0)
}

// refresh looks at what has changed since the last pass.
func (l *Leader) refresh() {
	s := &l.survey
	if l.box.Now()-s.wholeAt >= config.FromSeconds(l.cfg.Settings.ScanPeriodS) {
		s.whole = true
	}
	if s.whole {
		l.renew()
	}
	l.owner.Roster().Silent(l.box.Now()-l.suspectAfter(), l.reconsider)
	s.lookedAt.Passes++
	s.lookedAt.Jobs += len(s.jobs)
	l.refreshMachines()
	for _, j := range s.jobs {
		l.refreshJob(j)
	}
	s.jobs = s.jobs[:0]
}

// renew puts everything on the lists and adds up from nothing, which also removes
// what rounding has left in sums.
func (l *Leader) renew() {
	s := &l.survey
	s.whole, s.wholeAt, s.judgeDue = false, l.box.Now(), true
	for _, m := range l.owner.Roster().All() {
		l.retry(m)
		l.touch(m)
	}
	if len(s.alike) > mostAlike {
		clear(s.alike)
		for _, j := range l.active {
			j.like = 0
		}
	}
	clear(s.used)
	clear(s.lines)
	clear(s.wanting)
	for _, j := range s.jobs {
		j.surveyed = surveyed{}
	}
	s.jobs = s.jobs[:0]
	for _, j := range l.active {
		j.surveyed = surveyed{}
		l.changed(j)
	}
}

// refreshMachines looks at the machines that have changed. It is asked after every
// input, when what is looked at is at hand, and not in the pass that follows.
func (l *Leader) refreshMachines() {
	s := &l.survey
	s.lookedAt.Machines += len(s.machines)
	for _, m := range s.machines {
		l.refreshMachine(m)
	}
	s.machines = s.machines[:0]
}

func (l *Leader) refreshMachine(m *zone.Machine) {
	s := &l.survey
	m.Stale = false
	if m.Room != nil {
		s.byName[m.Room.Zone].Drop(m.Room)
		m.Room = nil
	}
	if !m.Known() {
		l.keeper.Forget(m)
		return
	}
	open, plans := l.replica.OpenOn(m.Name), s.plans[m.Name]
	l.keeper.Count(m, len(open) == 0, len(open)+len(plans) > 0)
	if !l.offers(m) {
		return
	}
	l.addUp(m, open, plans)
	t := l.catalog.Types[m.Type]
	m.Room = &zone.Room{Machine: m, Zone: m.Zone, Idle: len(open) == 0, Coming: l.coming(open, plans),
		Free: zone.Res{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}.Plus(m.Used, -1)}
	s.byName[m.Zone].Put(m.Room)
}

// coming lists the images of what is placed on a machine or about to be, in the order of
// their names.
func (l *Leader) coming(open map[job.Key]job.Placement, plans map[*Job]int) []string {
	if !l.cfg.Settings.ShareFetches {
		return nil
	}
	var out []string
	add := func(j *Job) {
		if j != nil && j.Rec.Spec != nil && !slices.Contains(out, j.Rec.Spec.Image) {
			out = append(out, j.Rec.Spec.Image)
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

// addUp adds up what is placed on a machine or about to be. Everything open counts,
// whatever the worker last said of it. Whole millionths add up to the same in any order,
// so nothing has to be sorted.
func (l *Leader) addUp(m *zone.Machine, open map[job.Key]job.Placement, plans map[*Job]int) {
	var cpus, gpus, memory int64
	add := func(s *wire.Job, n int) {
		cpus += millionths(s.CPUs) * int64(n)
		gpus += millionths(s.GPUs) * int64(n)
		memory += millionths(s.MemoryGB) * int64(n)
	}
	for key := range open {
		if j := l.jobs[key.Job]; j != nil && j.Rec.Spec != nil {
			add(j.Rec.Spec, 1)
		}
	}
	for j, n := range plans {
		if j.Rec.Spec != nil {
			add(j.Rec.Spec, n)
		}
	}
	m.Used = zone.Res{CPUs: float64(cpus) / 1e6, GPUs: float64(gpus) / 1e6, MemoryGB: float64(memory) / 1e6}
}

func millionths(amount float64) int64 { return int64(math.Round(amount * 1e6)) }

func (l *Leader) refreshJob(j *Job) {
	s := &l.survey
	j.listed = false
	spec := j.Rec.Spec
	use, team := queue.Amount{}, ""
	if spec != nil && j.active {
		team = spec.Team
		use = queue.Amount{}.Plus(taskAmount(spec), float64(j.Open+len(j.plan)))
	}
	if j.use != use || j.team != team {
		if j.team != "" {
			s.used[j.team] = s.used[j.team].Plus(j.use, -1)
		}
		if team != "" {
			s.used[team] = s.used[team].Plus(use, 1)
		}
		j.use, j.team = use, team
	}
	l.refreshLine(j)
	if spec != nil && j.active && !j.Held() && j.Done+j.Open < spec.Tasks && !j.Rec.Final() && !j.Rec.Cancel && l.teams[spec.Team] != nil {
		s.wanting[j] = true
	} else {
		delete(s.wanting, j)
	}
}

// refreshLine keeps a job's place in the line of its team, for the guarantee.
func (l *Leader) refreshLine(j *Job) {
	spec := j.Rec.Spec
	if spec == nil { // it has left its team's line before or does now
		if line := l.survey.lines[j.lineOf]; line != nil {
			line.Leave(&j.member)
		}
		return
	}
	team := l.teams[spec.Team]
	if team == nil || !queue.HasGuarantee(team) {
		return
	}
	line := l.survey.lines[spec.Team]
	if line == nil {
		line = queue.NewLine(team)
		l.survey.lines[spec.Team] = line
	}
	if !j.active || j.Rec.Final() || j.Held() {
		line.Leave(&j.member)
		return
	}
	j.lineOf = spec.Team
	j.behind = j.behind && !j.begun()
	if at := j.inLine(); j.member.Created != at {
		line.Leave(&j.member)
		j.member.Created = at
	}
	j.member.ID = j.ID
	line.Set(&j.member, queue.Amount{}.Plus(taskAmount(spec), float64(spec.Tasks-j.Done)))
}

// within tells whether a job fits into its team's guarantee together with the
// team's earlier unfinished jobs, as of the last pass.
func (l *Leader) within(j *Job) bool {
	team := l.teams[j.Rec.Spec.Team]
	if team == nil || j.Rec.Final() || j.Held() {
		return false
	}
	if j.behind {
		return l.mayClaim(j, l.survey.used)
	}
	return !queue.HasGuarantee(team) || j.member.Within
}

// inLine is by what a job stands in its team's line: its age, or behind all others.
func (j *Job) inLine() Micros {
	if j.behind {
		return j.created + lineBehind
	}
	return j.created
}

func taskRes(s *wire.Job) zone.Res { return zone.Res{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB} }

// beginAmount is what a job takes of its team's part to begin: one task, or all of a gang.
func beginAmount(s *wire.Job) queue.Amount {
	if s.Shape == wire.Gang {
		return queue.Amount{}.Plus(taskAmount(s), float64(s.Tasks))
	}
	return taskAmount(s)
}

func taskAmount(s *wire.Job) queue.Amount { return queue.Amount{CPUs: s.CPUs, GPUs: s.GPUs} }
