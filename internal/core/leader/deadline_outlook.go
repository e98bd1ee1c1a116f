package leader

import (
	"math"

	"coralhub/internal/core/job"
	"coralhub/internal/estimate"
	"coralhub/wire"
)

// Verdicts on deadlines.
const (
	verdictSafe    = "safe"
	verdictRisk    = "at risk"
	verdictLost    = "lost"
	verdictUnknown = "unknown"
)

const (
	// safeChance is the probability of meeting a deadline from which on it counts as safe.
	safeChance = 0.9
	// lostChance is the probability up to which it counts as lost.
	lostChance = 0.05
	// unknownChance is given in place of a probability that can't be computed.
	unknownChance = -1
	// maxDependencyDepth bounds how far back along a chain of dependencies an outlook goes.
	maxDependencyDepth = 64
	// maxDeadlinesPerCycle is the number of jobs whose deadlines are judged in a scan period.
	maxDeadlinesPerCycle = 2000
)

// durationOfTasks is how long n tasks of a job take, so many at a time. The tasks of a gang run together.
func durationOfTasks(perTask *estimate.Answer, n, atATime int, shape string) estimate.Duration {
	if shape == wire.Gang {
		return perTask.Longest(1)
	}
	return perTask.InWaves(n, atATime)
}

// jobDuration is how long a job takes from now on, once its dependencies are done; false: nothing is
// known of such jobs.
func (es *runTimeEstimates) jobDuration(j *Job) (estimate.Duration, bool) {
	f := es.features(j, "")
	perTask := es.model.Estimate(&f)
	if perTask.Level == estimate.Unknown {
		return estimate.Duration{}, false
	}
	if j.OpenTasks == 0 {
		return es.waitingDuration(j, &perTask), true
	}
	return es.runningDuration(j, &perTask), true
}

// waitingDuration is how long a job takes of which nothing is placed: it waits, and then its tasks run
// as many at a time as its team's limit allows.
func (es *runTimeEstimates) waitingDuration(j *Job, perTask *estimate.Answer) estimate.Duration {
	spec := j.Record.Spec
	var wait estimate.Duration
	if ws := es.waits[spec.Class]; ws != nil {
		wait = estimate.Duration{Mean: ws.mean, Variance: ws.mean * ws.mean}
	}
	missing := spec.Tasks - j.DoneTasks
	atATime := missing
	if team := es.teams[spec.Team]; team != nil && team.GPUsMax > 0 && spec.GPUs > 0 {
		atATime = min(atATime, max(1, int(team.GPUsMax/spec.GPUs)))
	}
	return wait.Plus(durationOfTasks(perTask, missing, atATime, spec.Shape))
}

// runningDuration is how long a job takes of which tasks are placed: until the longest of these is
// done, and then the other tasks run on the same capacity.
func (es *runTimeEstimates) runningDuration(j *Job, perTask *estimate.Answer) estimate.Duration {
	spec := j.Record.Spec
	var longest estimate.Duration
	j.EachPlacement(func(p job.Placement) {
		if remaining, ok := es.remainingTime(j, &p); ok {
			if duration := remaining.Longest(1); duration.Mean > longest.Mean {
				longest = duration
			}
		}
	})
	rest := spec.Tasks - j.DoneTasks - j.OpenTasks
	if rest > 0 {
		return longest.Plus(durationOfTasks(perTask, rest, j.OpenTasks, spec.Shape))
	}
	return longest
}

// completionEstimate is how long a job takes along the longest path through its unfinished
// dependencies; false: nothing is known of one of these jobs.
func (es *runTimeEstimates) completionEstimate(j *Job, depth int) (estimate.Duration, bool) {
	own, ok := es.jobDuration(j)
	if !ok || depth >= maxDependencyDepth {
		return own, ok
	}
	var longest estimate.Duration
	for _, id := range j.UnfinishedDependencies() {
		dependency, known := es.completionEstimate(es.jobs[id], depth+1)
		if !known {
			return estimate.Duration{}, false
		}
		if dependency.Mean > longest.Mean {
			longest = dependency
		}
	}
	return longest.Plus(own), true
}

// dueInSeconds is the time until the deadline of a job that has one.
func (es *runTimeEstimates) dueInSeconds(j *Job) float64 {
	return inSeconds(j.Record.CreatedAt-es.wallClockOffset-es.outbox.Now()) + *j.Record.Spec.DeadlineS
}

// deadlineVerdict returns how likely a job meets its deadline. The verdict is empty for a job without
// one; a negative chance means that it can't be computed.
func (es *runTimeEstimates) deadlineVerdict(j *Job) (verdict string, chance float64) {
	spec := j.Record.Spec
	if es.model == nil || spec == nil || spec.DeadlineS == nil {
		return "", unknownChance
	}
	if j.Record.Final() || j.Record.CancelRequested || j.DependencyCancelled() {
		return "", unknownChance
	}
	due := es.dueInSeconds(j)
	if due <= 0 {
		return verdictLost, 0
	}
	duration, ok := es.completionEstimate(j, 0)
	if !ok {
		return verdictUnknown, unknownChance
	}
	chance = duration.ProbabilityWithin(due)
	switch {
	case chance >= safeChance:
		return verdictSafe, chance
	case chance <= lostChance:
		return verdictLost, chance
	}
	return verdictRisk, chance
}

// updateDeadlineVerdicts logs the deadlines that have become at risk, lost or safe again.
func (es *runTimeEstimates) updateDeadlineVerdicts() {
	if es.model == nil || len(es.unfinished) == 0 {
		return
	}
	for i := range es.unfinished {
		j := es.unfinished[(es.nextDeadline+i)%len(es.unfinished)]
		if i >= maxDeadlinesPerCycle {
			es.nextDeadline = (es.nextDeadline + i) % len(es.unfinished) // the others are judged next time
			return
		}
		es.updateDeadlineVerdict(j)
	}
}

// updateDeadlineVerdict judges the deadline of a job and logs a change. A deadline that is safe at first
// is not logged.
func (es *runTimeEstimates) updateDeadlineVerdict(j *Job) {
	verdict, chance := es.deadlineVerdict(j)
	if verdict == j.verdict || verdict == "" {
		return
	}
	if j.verdict != "" || verdict != verdictSafe {
		es.outbox.Debug("deadline outlook changed", "job", j.ID, "class", j.Record.Spec.Class, "outlook", verdict, "previous", j.verdict, "probability", math.Round(chance*100)/100)
	}
	j.verdict = verdict
}
