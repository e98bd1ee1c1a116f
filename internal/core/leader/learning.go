package leader

import (
	"errors"
	"math"
	"slices"
	"strconv"

	"coralhub/internal/config"
	"coralhub/internal/core/fleet"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/estimate"
	"coralhub/internal/history"
	"coralhub/wire"
)

// The leader learns run times from the runs that it sees (package estimate), and keeps
// what it has learnt under a few keys for its heirs. Nothing depends on it but order
// and choice: a heir that finds nothing there starts anew.

const (
	learntPrefix = job.Root + "learnt/"
	// learntEvery is the least time between two changes for what was learnt.
	learntEvery = 10 * config.Second
	// learntPart is how much of a value what was learnt may take.
	learntPart = 0.5
	// mostJudged is how many jobs' deadlines are judged in a scan period.
	mostJudged = 2000
	// keptRuns is how many runs are kept for those who record them.
	keptRuns = 2000
)

// learning is the leader's knowledge of run times, and every node's copy of what is
// stored of it.
type learning struct {
	stored [estimate.Chunks]learntValue
	// What follows is only of use to the leader.
	model   *estimate.Model // nil: not learning
	writeAt Micros
	next    int
	waits   map[string]*wait // by class: how long jobs wait for their first place

	judged  int            // the active job whose deadline is judged next
	runs    []history.Line // the last ones, a ring
	runsEnd uint64         // how many there have been
}

type learntValue struct {
	version uint64
	raw     []byte
	aside   bool   // of a later version: not to be touched
	at      uint64 // how many runs were known when it was last written
	out     bool
}

// wait is a mean over the last placements.
type wait struct{ n, mean float64 }

func (w *wait) add(d Micros) {
	w.n = math.Min(w.n+1, 32)
	w.mean += (float64(d)/1e6 - w.mean) / w.n
}

// runs is what the leader has seen of a job's runs.
type runs struct {
	mine      map[int]uint64 // attempts that this leader has placed, by task: their start was seen
	kept      map[int]Micros // progress that is safe, by task
	gang      uint64         // attempt of the gang that was learnt from
	inherited bool           // attempts of an earlier leader may have made progress
	verdict   string         // of its deadline, as last told
	chance    float64
}

// learntIn takes a stored value. Nobody but the leader reads it.
func (l *Leader) learntIn(num string, ev *wire.Change) {
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= estimate.Chunks || ev.Version <= l.learning.stored[n].version {
		return
	}
	v := &l.learning.stored[n]
	v.version, v.raw = ev.Version, nil
	if ev.Put != "" {
		v.raw = slices.Clone(ev.Value)
	}
}

// startLearning takes over what earlier leaders have learnt.
func (l *Leader) startLearning() {
	if !l.cfg.Settings.Estimates {
		return
	}
	var chunks []*estimate.Chunk
	for n := range l.learning.stored {
		v := &l.learning.stored[n]
		v.aside, v.at, v.out = false, 0, false
		if len(v.raw) == 0 {
			continue
		}
		chunk, err := estimate.Decode(v.raw)
		if err != nil {
			v.aside = errors.Is(err, estimate.ErrVersion)
			l.box.Log("learnt run times set aside", "key", learntPrefix+strconv.Itoa(n), "error", err.Error())
			continue
		}
		chunks = append(chunks, chunk)
	}
	s := estimate.DefaultSettings()
	s.Groups = l.cfg.Settings.EstimateGroups
	l.learning.model = estimate.Restore(s, l.claim.Base(), chunks...)
	l.learning.waits = map[string]*wait{}
	for _, j := range l.active {
		j.inherited = j.Rec.Attempt > 0
	}
}

// keepLearnt writes a value of what was learnt, when nothing else wants changes.
func (l *Leader) keepLearnt() {
	learnt := &l.learning
	if learnt.model == nil || l.claim.Raising() || l.box.Now() < learnt.writeAt || l.writing > 0 || len(l.ended.fresh) > 0 || l.counters.held > 0 {
		return
	}
	for i := range estimate.Chunks {
		n := (learnt.next + i) % estimate.Chunks
		v := &learnt.stored[n]
		if v.aside || v.out || v.at == learnt.model.Observed() {
			continue
		}
		learnt.next, learnt.writeAt = n+1, l.box.Now()+learntEvery
		value, err := learnt.model.Encode(n, func(raw []byte) bool { return wire.JSONSize(raw) <= int(float64(l.form.Room())*learntPart) })
		observed := learnt.model.Observed()
		if err != nil {
			l.box.Log("learnt run times not written", "error", err.Error())
			return
		}
		if value == nil {
			v.at = observed
			return
		}
		v.out = true
		key := learntPrefix + strconv.Itoa(n)
		l.box.CommitLater(wire.Commit{
			Guards:  []wire.Guard{l.claim.Guard(), {Key: key, Version: v.version}},
			Changes: []wire.Change{{Put: key, Value: value}},
		}, msg.ForLearnt, func(d msg.CommitDone) {
			v.out = false
			if d.Outcome == msg.OK && d.Revision > v.version {
				v.version, v.raw, v.at = d.Revision, value, observed
			}
		})
		return
	}
}

func (l *Leader) features(j *Job, machine string) estimate.Features {
	s := j.Rec.Spec
	return estimate.Features{Image: s.Image, Shape: wire.ShapeName(s.Shape), Class: s.Class, Team: s.Team, Expect: config.FromSeconds(s.EstimateS), Machine: machine}
}

// placedFirst learns how long a job has waited for its first place.
func (l *Leader) placedFirst(j *Job) {
	if l.learning.model == nil || j.Rec.Spec == nil {
		return
	}
	w := l.learning.waits[j.Rec.Spec.Class]
	if w == nil {
		if len(l.learning.waits) >= l.cfg.Settings.EstimateGroups {
			return
		}
		w = &wait{}
		l.learning.waits[j.Rec.Spec.Class] = w
	}
	w.add(l.box.Now() - j.arrived)
}

// noteMine remembers what this leader has placed itself.
func (l *Leader) noteMine(j *Job, placed []job.Placement) {
	if l.learning.model == nil || len(placed) == 0 {
		return
	}
	if j.mine == nil {
		j.mine = map[int]uint64{}
		if !j.inherited {
			l.placedFirst(j)
		}
	}
	for _, p := range placed {
		j.mine[p.Task] = p.Attempt
	}
}

// learnRun learns from the end of a run, whatever its proof. It is asked before the
// placement is closed.
func (l *Leader) learnRun(j *Job, key job.Key, machine string, done bool) {
	spec := j.Rec.Spec
	m := l.learning.model
	if m == nil || spec == nil || spec.Shape == wire.Service {
		return
	}
	began, ran := j.started[key.Task]
	if !ran {
		return
	}
	task, on := key.Task, machine
	if spec.Shape == wire.Gang {
		if j.gang >= key.Attempt || key.Attempt > j.gangRan {
			return // learnt already, or it never ran as a whole
		}
		j.gang, task = key.Attempt, -1
		if spec.Tasks > 1 {
			machine = ""
		}
	}
	kept := j.kept[task]
	work := kept + l.box.Now() - began
	whole := done && j.mine[key.Task] == key.Attempt && (!j.inherited || spec.CheckpointS == 0)
	m.Observe(&estimate.Evidence{Features: l.features(j, machine), Ran: work, Done: whole})
	l.recordRun(j, key, machine, began, done)
	if done || spec.CheckpointS == 0 {
		return
	}
	if j.kept == nil {
		j.kept = map[int]Micros{}
	}
	every := config.FromSeconds(spec.CheckpointS)
	j.kept[task] = max(kept, work/every*every)
	if m := l.owner.Roster().Get(on); m != nil && m.Tasks[key].Saved {
		j.kept[task] = work
	}
}

// recordRun keeps a run for those who record histories.
func (l *Leader) recordRun(j *Job, key job.Key, machine string, began Micros, done bool) {
	if !l.cfg.Settings.Admin {
		return
	}
	spec, learnt := j.Rec.Spec, &l.learning
	seconds := func(at Micros) float64 { return float64(at+l.wallAhead) / 1e6 }
	outcome := history.Lost
	switch m := l.owner.Roster().Get(machine); {
	case done:
		outcome = history.Done
	case j.Rec.Cancel:
		outcome = history.Cancelled
	case m != nil:
		switch m.Tasks[key].Cause {
		case wire.CauseStopped:
			outcome = history.Preempted
		case wire.CauseError:
			outcome = history.Error
		}
	}
	line := history.Line{Ref: j.ID, Class: spec.Class, Team: spec.Team, Shape: wire.ShapeName(spec.Shape), Tasks: spec.Tasks, CPUs: spec.CPUs, GPUs: spec.GPUs,
		MemoryGB: spec.MemoryGB, Image: spec.Image, ExpectS: spec.EstimateS, Submitted: float64(j.Rec.Created) / 1e6,
		Started: seconds(began), Ended: seconds(l.box.Now()), Outcome: outcome, Machine: machine}
	if spec.Shape == wire.Array {
		line.Ref, line.Tasks = wire.TaskName(j.ID, key.Task), 1
	}
	if m := l.owner.Roster().Get(machine); m != nil {
		line.Type = m.Type
	}
	if len(learnt.runs) < keptRuns {
		learnt.runs = append(learnt.runs, line)
	} else {
		learnt.runs[learnt.runsEnd%keptRuns] = line
	}
	learnt.runsEnd++
}

// taskLeft estimates what remains of a task that runs.
func (l *Leader) taskLeft(j *Job, p *job.Placement) (estimate.Answer, bool) {
	if l.learning.model == nil {
		return estimate.Answer{}, false
	}
	f := l.features(j, p.Machine)
	a := l.learning.model.Estimate(&f)
	if a.Level == estimate.Unknown {
		return a, false
	}
	return a.Left(l.worked(j, p)), true
}

// worked is how long a placed task, or its gang, has worked: what is safe of earlier
// runs and this one.
func (l *Leader) worked(j *Job, p *job.Placement) Micros {
	task := p.Task
	if j.Rec.Spec.Shape == wire.Gang {
		task = -1
	}
	work := j.kept[task]
	if began, ok := j.started[p.Task]; ok {
		work += l.box.Now() - began
	}
	return work
}

// avoidSlow adds the machines that are known to be slow to those that a gang avoids: it
// would run as slowly as the slowest.
func (l *Leader) avoidSlow(avoid map[string]Micros) map[string]Micros {
	if l.learning.model == nil {
		return avoid
	}
	var out map[string]Micros
	l.learning.model.Slow(l.cfg.Settings.SlowTimes, func(machine string) {
		if out == nil {
			out = make(map[string]Micros, len(avoid)+1)
			for name, until := range avoid {
				out[name] = until
			}
		}
		out[machine] = l.box.Now() + config.Second
	})
	if out == nil {
		return avoid
	}
	return out
}

// Verdicts on deadlines.
const (
	verdictSafe    = "safe"
	verdictRisk    = "at risk"
	verdictLost    = "lost"
	verdictUnknown = "unknown"
)

const (
	surelySafe = 0.9
	surelyLost = 0.05
	// longestPath bounds how far back along a chain an outlook reaches.
	longestPath = 64
)

// stretch is a time that is not known exactly, by its mean and variance in seconds.
type stretch struct{ mean, variance float64 }

func (s stretch) plus(o stretch) stretch { return stretch{s.mean + o.mean, s.variance + o.variance} }

// within is the probability that it takes no longer than so many seconds: sums of run
// times are taken for lognormal (Fenton and Wilkinson).
func (s stretch) within(seconds float64) float64 {
	if seconds <= 0 || s.mean <= 0 {
		return 0
	}
	v := math.Log(1 + s.variance/(s.mean*s.mean))
	mu := math.Log(s.mean) - v/2
	if v < 1e-9 {
		if math.Log(seconds) >= mu {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-(math.Log(seconds)-mu)/math.Sqrt(2*v))
}

// largest is how long the longest of n runs of a kind takes.
func largest(a *estimate.Answer, n int) stretch {
	root := 1 / float64(max(n, 1))
	q := func(p float64) float64 { return math.Max(float64(a.Quantile(math.Pow(p, root)))/1e6, 0.01) }
	mid, sigma := q(0.5), math.Log(q(0.9)/q(0.1))/2.563
	mean := mid * math.Exp(sigma*sigma/2)
	return stretch{mean, mean * mean * (math.Exp(sigma*sigma) - 1)}
}

// ownStretch is how long a job takes from when its turn has come; false if nothing is
// known of such work.
func (l *Leader) ownStretch(j *Job) (stretch, bool) {
	spec := j.Rec.Spec
	f := l.features(j, "")
	a := l.learning.model.Estimate(&f)
	if a.Level == estimate.Unknown {
		return stretch{}, false
	}
	left := spec.Tasks - j.Done
	var out stretch
	if j.Open == 0 {
		if w := l.learning.waits[spec.Class]; w != nil {
			out = stretch{w.mean, w.mean * w.mean}
		}
		at := left
		if t := l.teams[spec.Team]; t != nil && t.GPUsMax > 0 && spec.GPUs > 0 {
			at = min(at, max(1, int(t.GPUsMax/spec.GPUs)))
		}
		return out.plus(inTurns(&a, left, at, spec.Shape)), true
	}
	// What runs is through when its longest task is, and the rest takes its places.
	var latest stretch
	j.EachOpen(func(p job.Placement) {
		if x, ok := l.taskLeft(j, &p); ok {
			if s := largest(&x, 1); s.mean > latest.mean {
				latest = s
			}
		}
	})
	if rest := left - j.Open; rest > 0 {
		return latest.plus(inTurns(&a, rest, j.Open, spec.Shape)), true
	}
	return latest, true
}

// inTurns is how long n tasks take, so many at a time.
func inTurns(a *estimate.Answer, n, at int, shape string) stretch {
	if shape == wire.Gang {
		return largest(a, 1)
	}
	at = max(min(n, at), 1)
	one := largest(a, 1)
	turns := float64((n+at-1)/at - 1)
	return stretch{one.mean * turns, one.variance * turns}.plus(largest(a, at))
}

// outlook is how long a job takes along the longest way through what it needs.
func (l *Leader) outlook(j *Job, depth int) (stretch, bool) {
	own, ok := l.ownStretch(j)
	if !ok || depth >= longestPath {
		return own, ok
	}
	var before stretch
	for _, id := range j.UndoneNeeds() {
		s, known := l.outlook(l.jobs[id], depth+1)
		if !known {
			return stretch{}, false
		}
		if s.mean > before.mean {
			before = s
		}
	}
	return before.plus(own), true
}

// judge tells how likely a job meets its deadline; a negative chance means that it
// can't be told.
func (l *Leader) judge(j *Job) (verdict string, chance float64) {
	spec := j.Rec.Spec
	if l.learning.model == nil || spec == nil || spec.DeadlineS == nil || j.Rec.Final() || j.Rec.Cancel || j.Doomed() {
		return "", -1
	}
	due := float64(j.Rec.Created-l.wallAhead-l.box.Now())/1e6 + *spec.DeadlineS
	if due <= 0 {
		return verdictLost, 0
	}
	s, ok := l.outlook(j, 0)
	if !ok {
		return verdictUnknown, -1
	}
	switch chance = s.within(due); {
	case chance >= surelySafe:
		return verdictSafe, chance
	case chance <= surelyLost:
		return verdictLost, chance
	}
	return verdictRisk, chance
}

// judgeDeadlines tells of deadlines that have become at risk, lost or safe again.
func (l *Leader) judgeDeadlines() {
	if l.learning.model == nil {
		return
	}
	if len(l.active) == 0 {
		return
	}
	judged := 0
	for i := range l.active {
		j := l.active[(l.learning.judged+i)%len(l.active)]
		if judged++; judged > mostJudged {
			l.learning.judged = (l.learning.judged + i) % len(l.active) // the others come next
			return
		}
		v, chance := l.judge(j)
		if v == j.verdict || v == "" {
			continue
		}
		if j.verdict != "" || v != verdictSafe {
			l.box.Debug("deadline", "job", j.ID, "class", j.Rec.Spec.Class, "is", v, "was", j.verdict, "chance", math.Round(chance*100)/100)
		}
		j.verdict, j.chance = v, chance
	}
}

// rankWithin orders jobs of one level before their credit does, as the settings have
// it; smaller goes first.
func (l *Leader) rankWithin(j *Job) float64 {
	rank := l.cfg.Settings.Rank
	if l.learning.model == nil || rank == config.RankCredit {
		return 0
	}
	s, ok := l.ownStretch(j)
	if !ok {
		return math.MaxFloat32
	}
	if rank == config.RankShortest {
		return s.mean
	}
	if d := j.Rec.Spec.DeadlineS; d != nil {
		return float64(j.Rec.Created-l.wallAhead-l.box.Now())/1e6 + *d - s.mean
	}
	return math.MaxFloat32
}

// soonFree is how much of the work without room the ends of running tasks will make
// room for before a machine that is rented now has booted. A half is reckoned with.
func (l *Leader) soonFree(s *scan) {
	if !l.cfg.Settings.RentAgainstBoot || l.learning.model == nil {
		return
	}
	boot := 0.0
	for _, t := range l.catalog.Types {
		if boot == 0 || t.BootS < boot {
			boot = t.BootS
		}
	}
	free := 0.0
	for _, j := range l.active {
		if j.Rec.Spec.Shape == wire.Service || j.Open == 0 {
			continue
		}
		j.EachOpen(func(p job.Placement) {
			if a, ok := l.taskLeft(j, &p); ok {
				free += 0.5 * a.Within(config.FromSeconds(boot)) * taskRes(j.Rec.Spec).Weight()
			}
		})
	}
	for i := range s.needs {
		n := &s.needs[i]
		fit := min(n.Count, int(free/max(n.Task.Weight(), 1e-9)))
		n.Count -= fit
		free -= float64(fit) * n.Task.Weight()
	}
	s.needs = slices.DeleteFunc(s.needs, func(n fleet.Need) bool { return n.Count == 0 })
}
