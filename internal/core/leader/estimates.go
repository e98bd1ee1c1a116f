package leader

import (
	"errors"
	"math"
	"slices"
	"strconv"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
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
	estimatesPrefix = job.KeyRoot + "learnt/"
	// estimatesWriteInterval is the least time between two changes for what was learnt.
	estimatesWriteInterval = 10 * config.Second
	// estimatesValueShare is how much of a value what was learnt may take.
	estimatesValueShare = 0.5
	// maxDeadlinesPerCycle is how many jobs' deadlines are judged in a scan period.
	maxDeadlinesPerCycle = 2000
	// keptRuns is how many runs are kept for those who record them.
	keptRuns = 2000
)

// runTimeEstimates is the leader's knowledge of run times, and every node's copy of what is
// stored of it.
type runTimeEstimates struct {
	*environment
	commits       *jobCommitter
	completionLog *completionLog
	diagnostics   *diagnostics

	stored [estimate.Chunks]storedChunk
	// What follows is only of use to the leader.
	model       *estimate.Model // nil: not learning
	nextWriteAt Micros
	nextChunk   int
	waits       map[string]*waitStats // by class: how long jobs wait for their first place

	nextDeadline int            // the active job whose deadline is judged next
	recentRuns   []history.Line // the last ones, a ring
	runsEnd      uint64         // how many there have been
}

// reset forgets what was learned in this term. What is stored of it stays, for whoever leads next.
func (es *runTimeEstimates) reset() {
	es.model, es.nextWriteAt, es.nextChunk, es.waits = nil, 0, 0, nil
	es.nextDeadline, es.recentRuns, es.runsEnd = 0, nil, 0
}

type storedChunk struct {
	version      uint64
	raw          []byte
	laterVersion bool   // of a later version: not to be touched
	writtenRuns  uint64 // how many runs were known when it was last written
	inFlight     bool
}

// waitStats is a mean over the last placements.
type waitStats struct{ n, mean float64 }

func (w *waitStats) add(d Micros) {
	w.n = math.Min(w.n+1, 32)
	w.mean += (float64(d)/1e6 - w.mean) / w.n
}

// runHistory is what the leader has seen of a job's runs.
type runHistory struct {
	ownAttempts         map[int]uint64 // attempts that this leader has placed, by task: their start was seen
	savedProgress       map[int]Micros // progress that is safe, by task
	observedGangAttempt uint64         // attempt of the gang that was learnt from
	inherited           bool           // attempts of an earlier leader may have made progress
	verdict             string         // of its deadline, as last told
	deadlineChance      float64
}

// applyStoredEstimates takes a stored value. Nobody but the leader reads it.
func (es *runTimeEstimates) applyStoredEstimates(num string, ev *wire.Change) {
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= estimate.Chunks || ev.Version <= es.stored[n].version {
		return
	}
	v := &es.stored[n]
	v.version, v.raw = ev.Version, nil
	if ev.Put != "" {
		v.raw = slices.Clone(ev.Value)
	}
}

// restoreEstimates takes over what earlier leaders have learnt.
func (es *runTimeEstimates) restoreEstimates() {
	if !es.cfg.Settings.Estimates {
		return
	}
	var chunks []*estimate.Chunk
	for n := range es.stored {
		v := &es.stored[n]
		v.laterVersion, v.writtenRuns, v.inFlight = false, 0, false
		if len(v.raw) == 0 {
			continue
		}
		chunk, err := estimate.Decode(v.raw)
		if err != nil {
			v.laterVersion = errors.Is(err, estimate.ErrVersion)
			es.outbox.Log("stored run-time estimates ignored", "key", estimatesPrefix+strconv.Itoa(n), "error", err.Error())
			continue
		}
		chunks = append(chunks, chunk)
	}
	s := estimate.DefaultSettings()
	s.Groups = es.cfg.Settings.EstimateGroups
	es.model = estimate.Restore(s, es.elector.TermStart(), chunks...)
	es.waits = map[string]*waitStats{}
	for _, j := range es.unfinished {
		j.inherited = j.Record.LastAttempt > 0
	}
}

// writeEstimates writes a value of what was learnt, when nothing else wants changes.
func (es *runTimeEstimates) writeEstimates() {
	learnt := es
	if learnt.model == nil || es.elector.TokenChangePending() || es.outbox.Now() < learnt.nextWriteAt || es.commits.inFlightChanges > 0 || len(es.completionLog.unwritten) > 0 || es.diagnostics.counters.deferred > 0 {
		return
	}
	for i := range estimate.Chunks {
		n := (learnt.nextChunk + i) % estimate.Chunks
		v := &learnt.stored[n]
		if v.laterVersion || v.inFlight || v.writtenRuns == learnt.model.Observed() {
			continue
		}
		learnt.nextChunk, learnt.nextWriteAt = n+1, es.outbox.Now()+estimatesWriteInterval
		value, err := learnt.model.Encode(n, func(raw []byte) bool {
			return wire.JSONSize(raw) <= int(float64(es.encoding.MaxValueBytes())*estimatesValueShare)
		})
		observed := learnt.model.Observed()
		if err != nil {
			es.outbox.Log("run-time estimates not written", "error", err.Error())
			return
		}
		if value == nil {
			v.writtenRuns = observed
			return
		}
		v.inFlight = true
		key := estimatesPrefix + strconv.Itoa(n)
		es.outbox.CommitDeferrable(wire.Transaction{
			Conditions: []wire.Condition{es.elector.Condition(), {Key: key, Version: v.version}},
			Changes:    []wire.Change{{Put: key, Value: value}},
		}, msg.PurposeEstimates, func(d msg.CommitDone) {
			v.inFlight = false
			if d.Outcome == msg.OK && d.Revision > v.version {
				v.version, v.raw, v.writtenRuns = d.Revision, value, observed
			}
		})
		return
	}
}

func (es *runTimeEstimates) features(j *Job, machine string) estimate.Features {
	s := j.Record.Spec
	return estimate.Features{Image: s.Image, Shape: wire.ShapeName(s.Shape), Class: s.Class, Team: s.Team, Expect: config.FromSeconds(s.EstimateS), Machine: machine}
}

// noteFirstPlacement learns how long a job has waited for its first place.
func (es *runTimeEstimates) noteFirstPlacement(j *Job) {
	if es.model == nil || j.Record.Spec == nil {
		return
	}
	w := es.waits[j.Record.Spec.Class]
	if w == nil {
		if len(es.waits) >= es.cfg.Settings.EstimateGroups {
			return
		}
		w = &waitStats{}
		es.waits[j.Record.Spec.Class] = w
	}
	w.add(es.outbox.Now() - j.arrivedAt)
}

// noteOwnPlacements remembers what this leader has placed itself.
func (es *runTimeEstimates) noteOwnPlacements(j *Job, placed []job.Placement) {
	if es.model == nil || len(placed) == 0 {
		return
	}
	if j.ownAttempts == nil {
		j.ownAttempts = map[int]uint64{}
		if !j.inherited {
			es.noteFirstPlacement(j)
		}
	}
	for _, p := range placed {
		j.ownAttempts[p.Task] = p.Attempt
	}
}

// observeRun learns from the end of a run, whatever its proof. It is asked before the
// placement is closed.
func (es *runTimeEstimates) observeRun(j *Job, key job.AttemptKey, machine string, done bool) {
	spec := j.Record.Spec
	m := es.model
	if m == nil || spec == nil || spec.Shape == wire.Service {
		return
	}
	began, ran := j.startedAt[key.Task]
	if !ran {
		return
	}
	task, on := key.Task, machine
	if spec.Shape == wire.Gang {
		if j.observedGangAttempt >= key.Attempt || key.Attempt > j.ranGangAttempt {
			return // learnt already, or it never ran as a whole
		}
		j.observedGangAttempt, task = key.Attempt, -1
		if spec.Tasks > 1 {
			machine = ""
		}
	}
	kept := j.savedProgress[task]
	work := kept + es.outbox.Now() - began
	whole := done && j.ownAttempts[key.Task] == key.Attempt && (!j.inherited || spec.CheckpointS == 0)
	m.Observe(&estimate.Evidence{Features: es.features(j, machine), Ran: work, Done: whole})
	es.recordRun(j, key, machine, began, done)
	if done || spec.CheckpointS == 0 {
		return
	}
	if j.savedProgress == nil {
		j.savedProgress = map[int]Micros{}
	}
	every := config.FromSeconds(spec.CheckpointS)
	j.savedProgress[task] = max(kept, work/every*every)
	if m := es.reconciler.Registry().Get(on); m != nil && m.Tasks[key].Saved {
		j.savedProgress[task] = work
	}
}

// recordRun keeps a run for those who record histories.
func (es *runTimeEstimates) recordRun(j *Job, key job.AttemptKey, machine string, began Micros, done bool) {
	if !es.cfg.Settings.Admin {
		return
	}
	spec, learnt := j.Record.Spec, es
	seconds := func(at Micros) float64 { return float64(at+es.wallClockOffset) / 1e6 }
	outcome := history.Lost
	switch m := es.reconciler.Registry().Get(machine); {
	case done:
		outcome = history.Done
	case j.Record.CancelRequested:
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
		MemoryGB: spec.MemoryGB, Image: spec.Image, ExpectS: spec.EstimateS, Submitted: float64(j.Record.CreatedAt) / 1e6,
		Started: seconds(began), Ended: seconds(es.outbox.Now()), Outcome: outcome, Machine: machine}
	if spec.Shape == wire.Array {
		line.Ref, line.Tasks = wire.TaskName(j.ID, key.Task), 1
	}
	if m := es.reconciler.Registry().Get(machine); m != nil {
		line.Type = m.Type
	}
	if len(learnt.recentRuns) < keptRuns {
		learnt.recentRuns = append(learnt.recentRuns, line)
	} else {
		learnt.recentRuns[learnt.runsEnd%keptRuns] = line
	}
	learnt.runsEnd++
}

// remainingTime estimates what remains of a task that runs.
func (es *runTimeEstimates) remainingTime(j *Job, p *job.Placement) (estimate.Answer, bool) {
	if es.model == nil {
		return estimate.Answer{}, false
	}
	f := es.features(j, p.Machine)
	a := es.model.Estimate(&f)
	if a.Level == estimate.Unknown {
		return a, false
	}
	return a.Left(es.workedTime(j, p)), true
}

// workedTime is how long a placed task, or its gang, has worked: what is safe of earlier
// runs and this one.
func (es *runTimeEstimates) workedTime(j *Job, p *job.Placement) Micros {
	task := p.Task
	if j.Record.Spec.Shape == wire.Gang {
		task = -1
	}
	work := j.savedProgress[task]
	if began, ok := j.startedAt[p.Task]; ok {
		work += es.outbox.Now() - began
	}
	return work
}

// addSlowMachines adds the machines that are known to be slow to those that a gang avoids: it
// would run as slowly as the slowest.
func (es *runTimeEstimates) addSlowMachines(avoid map[string]Micros) map[string]Micros {
	if es.model == nil {
		return avoid
	}
	var out map[string]Micros
	es.model.Slow(es.cfg.Settings.SlowFactor, func(machine string) {
		if out == nil {
			out = make(map[string]Micros, len(avoid)+1)
			for name, until := range avoid {
				out[name] = until
			}
		}
		out[machine] = es.outbox.Now() + config.Second
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
	safeChance = 0.9
	lostChance = 0.05
	// maxDependencyDepth bounds how far back along a chain an outlook reaches.
	maxDependencyDepth = 64
)

// durationEstimate is a time that is not known exactly, by its mean and variance in seconds.
type durationEstimate struct{ mean, variance float64 }

func (s durationEstimate) plus(o durationEstimate) durationEstimate {
	return durationEstimate{s.mean + o.mean, s.variance + o.variance}
}

// probabilityWithin is the probability that it takes no longer than so many seconds: sums of run
// times are taken for lognormal (Fenton and Wilkinson).
func (s durationEstimate) probabilityWithin(seconds float64) float64 {
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

// longestOf is how long the longest of n runs of a kind takes.
func longestOf(a *estimate.Answer, n int) durationEstimate {
	root := 1 / float64(max(n, 1))
	q := func(p float64) float64 { return math.Max(float64(a.Quantile(math.Pow(p, root)))/1e6, 0.01) }
	mid, sigma := q(0.5), math.Log(q(0.9)/q(0.1))/2.563
	mean := mid * math.Exp(sigma*sigma/2)
	return durationEstimate{mean, mean * mean * (math.Exp(sigma*sigma) - 1)}
}

// jobDuration is how long a job takes from when its turn has come; false if nothing is
// known of such work.
func (es *runTimeEstimates) jobDuration(j *Job) (durationEstimate, bool) {
	spec := j.Record.Spec
	f := es.features(j, "")
	a := es.model.Estimate(&f)
	if a.Level == estimate.Unknown {
		return durationEstimate{}, false
	}
	left := spec.Tasks - j.DoneTasks
	var out durationEstimate
	if j.OpenTasks == 0 {
		if w := es.waits[spec.Class]; w != nil {
			out = durationEstimate{w.mean, w.mean * w.mean}
		}
		at := left
		if t := es.teams[spec.Team]; t != nil && t.GPUsMax > 0 && spec.GPUs > 0 {
			at = min(at, max(1, int(t.GPUsMax/spec.GPUs)))
		}
		return out.plus(inWaves(&a, left, at, spec.Shape)), true
	}
	// What runs is through when its longest task is, and the rest takes its places.
	var latest durationEstimate
	j.EachPlacement(func(p job.Placement) {
		if x, ok := es.remainingTime(j, &p); ok {
			if s := longestOf(&x, 1); s.mean > latest.mean {
				latest = s
			}
		}
	})
	if rest := left - j.OpenTasks; rest > 0 {
		return latest.plus(inWaves(&a, rest, j.OpenTasks, spec.Shape)), true
	}
	return latest, true
}

// inWaves is how long n tasks take, so many at a time.
func inWaves(a *estimate.Answer, n, at int, shape string) durationEstimate {
	if shape == wire.Gang {
		return longestOf(a, 1)
	}
	at = max(min(n, at), 1)
	one := longestOf(a, 1)
	turns := float64((n+at-1)/at - 1)
	return durationEstimate{one.mean * turns, one.variance * turns}.plus(longestOf(a, at))
}

// completionEstimate is how long a job takes along the longest way through what it needs.
func (es *runTimeEstimates) completionEstimate(j *Job, depth int) (durationEstimate, bool) {
	own, ok := es.jobDuration(j)
	if !ok || depth >= maxDependencyDepth {
		return own, ok
	}
	var before durationEstimate
	for _, id := range j.UnfinishedDependencies() {
		s, known := es.completionEstimate(es.jobs[id], depth+1)
		if !known {
			return durationEstimate{}, false
		}
		if s.mean > before.mean {
			before = s
		}
	}
	return before.plus(own), true
}

// deadlineVerdict tells how likely a job meets its deadline; a negative chance means that it
// can't be told.
func (es *runTimeEstimates) deadlineVerdict(j *Job) (verdict string, chance float64) {
	spec := j.Record.Spec
	if es.model == nil || spec == nil || spec.DeadlineS == nil || j.Record.Final() || j.Record.CancelRequested || j.DependencyCancelled() {
		return "", -1
	}
	due := float64(j.Record.CreatedAt-es.wallClockOffset-es.outbox.Now())/1e6 + *spec.DeadlineS
	if due <= 0 {
		return verdictLost, 0
	}
	s, ok := es.completionEstimate(j, 0)
	if !ok {
		return verdictUnknown, -1
	}
	switch chance = s.probabilityWithin(due); {
	case chance >= safeChance:
		return verdictSafe, chance
	case chance <= lostChance:
		return verdictLost, chance
	}
	return verdictRisk, chance
}

// updateDeadlineVerdicts tells of deadlines that have become at risk, lost or safe again.
func (es *runTimeEstimates) updateDeadlineVerdicts() {
	if es.model == nil {
		return
	}
	if len(es.unfinished) == 0 {
		return
	}
	judged := 0
	for i := range es.unfinished {
		j := es.unfinished[(es.nextDeadline+i)%len(es.unfinished)]
		if judged++; judged > maxDeadlinesPerCycle {
			es.nextDeadline = (es.nextDeadline + i) % len(es.unfinished) // the others come next
			return
		}
		v, chance := es.deadlineVerdict(j)
		if v == j.verdict || v == "" {
			continue
		}
		if j.verdict != "" || v != verdictSafe {
			es.outbox.Debug("deadline outlook changed", "job", j.ID, "class", j.Record.Spec.Class, "outlook", v, "previous", j.verdict, "probability", math.Round(chance*100)/100)
		}
		j.verdict, j.deadlineChance = v, chance
	}
}

// rankCost orders jobs of one level before their credit does, as the settings have
// it; smaller goes first.
func (es *runTimeEstimates) rankCost(j *Job) float64 {
	rank := es.cfg.Settings.Rank
	if es.model == nil || rank == config.RankCredit {
		return 0
	}
	s, ok := es.jobDuration(j)
	if !ok {
		return math.MaxFloat32
	}
	if rank == config.RankShortest {
		return s.mean
	}
	if d := j.Record.Spec.DeadlineS; d != nil {
		return float64(j.Record.CreatedAt-es.wallClockOffset-es.outbox.Now())/1e6 + *d - s.mean
	}
	return math.MaxFloat32
}

// subtractSoonFree is how much of the work without room the ends of running tasks will make
// room for before a machine that is rented now has booted. A half is reckoned with.
func (es *runTimeEstimates) subtractSoonFree(s *cycle) {
	if !es.cfg.Settings.ScaleOutAgainstBoot || es.model == nil {
		return
	}
	boot := 0.0
	for _, t := range es.catalog.Types {
		if boot == 0 || t.BootS < boot {
			boot = t.BootS
		}
	}
	free := 0.0
	for _, j := range es.unfinished {
		if j.Record.Spec.Shape == wire.Service || j.OpenTasks == 0 {
			continue
		}
		j.EachPlacement(func(p job.Placement) {
			if a, ok := es.remainingTime(j, &p); ok {
				free += 0.5 * a.Within(config.FromSeconds(boot)) * taskResources(j.Record.Spec).Weight()
			}
		})
	}
	for i := range s.demands {
		n := &s.demands[i]
		fit := min(n.Count, int(free/max(n.Task.Weight(), 1e-9)))
		n.Count -= fit
		free -= float64(fit) * n.Task.Weight()
	}
	s.demands = slices.DeleteFunc(s.demands, func(n autoscaler.Demand) bool { return n.Count == 0 })
}
