package leader

import (
	"math"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/zone"
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
	// safeProbability is the probability of meeting a deadline from which on it counts as safe.
	safeProbability = 0.9
	// lostProbability is the probability up to which it counts as lost.
	lostProbability = 0.05
	// unknownProbability is returned in place of a probability that can't be computed.
	unknownProbability = -1
	// maxDependencyDepth bounds the length of the chains of dependencies that a completion estimate
	// follows.
	maxDependencyDepth = 64
	// maxDeadlinesPerScan is the number of jobs whose deadlines are assessed in a scan period.
	maxDeadlinesPerScan = 2000
)

// durationOfTasks returns how long n tasks of a job take if a given number of them run
// concurrently. The tasks of a gang all run concurrently.
func durationOfTasks(perTask *estimate.RunTimeEstimate, n, concurrent int, shape string) estimate.RandomDuration {
	if shape == wire.Gang {
		return perTask.Longest(1)
	}
	return perTask.TotalDuration(n, concurrent)
}

// jobDuration returns how long a job takes from now on, or from when its dependencies are done. It
// returns false if there is nothing to estimate from.
func (es *runTimeEstimates) jobDuration(j *Job) (estimate.RandomDuration, bool) {
	f := es.features(j, "")
	perTask := es.model.Estimate(&f)
	if perTask.Level == estimate.Unknown {
		return estimate.RandomDuration{}, false
	}
	if j.OpenTasks == 0 {
		return es.waitingDuration(j, &perTask), true
	}
	return es.runningDuration(j, &perTask), true
}

// waitingDuration returns how long a job without placements takes: it waits, and then its tasks
// run, as many concurrently as its team's limit allows.
func (es *runTimeEstimates) waitingDuration(j *Job, perTask *estimate.RunTimeEstimate) estimate.RandomDuration {
	spec := j.Record.Spec
	var wait estimate.RandomDuration
	if ws := es.waits[spec.Class]; ws != nil {
		wait = estimate.RandomDuration{Mean: ws.mean, Variance: ws.mean * ws.mean}
	}
	missing := spec.Tasks - j.DoneTasks
	return wait.Plus(durationOfTasks(perTask, missing, concurrentTasks(es.teams[spec.Team], spec, missing), spec.Shape))
}

// concurrentTasks returns how many of n tasks of a job may run at the same time by the limit of its team on GPUs, at
// least one. The team may be nil.
func concurrentTasks(team *config.Team, spec *wire.Job, n int) int {
	if team == nil || team.GPUsMax <= 0 || spec.GPUs <= 0 {
		return n
	}
	limit := zone.Resources{GPUs: team.GPUsMax}
	return min(n, max(1, zone.Resources{GPUs: spec.GPUs}.Count(limit)))
}

// runningDuration returns how long a job with placed tasks takes: until the longest of these is
// done, and then until its other tasks have run on the same capacity.
func (es *runTimeEstimates) runningDuration(j *Job, perTask *estimate.RunTimeEstimate) estimate.RandomDuration {
	spec := j.Record.Spec
	var longest estimate.RandomDuration
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

// completionEstimate returns how long a job takes along the longest path through its unfinished
// dependencies. It returns false if there is nothing to estimate one of these jobs from.
func (es *runTimeEstimates) completionEstimate(j *Job, depth int) (estimate.RandomDuration, bool) {
	own, ok := es.jobDuration(j)
	if !ok || depth >= maxDependencyDepth {
		return own, ok
	}
	var longest estimate.RandomDuration
	for _, id := range j.UnfinishedDependencies() {
		dependency, known := es.completionEstimate(es.jobs[id], depth+1)
		if !known {
			return estimate.RandomDuration{}, false
		}
		if dependency.Mean > longest.Mean {
			longest = dependency
		}
	}
	return longest.Plus(own), true
}

// dueInSeconds returns the time until the deadline of a job, which must have one.
func (es *runTimeEstimates) dueInSeconds(j *Job) float64 {
	return inSeconds(j.Record.CreatedAt-es.wallClockOffset-es.outbox.Now()) + *j.Record.Spec.DeadlineS
}

// deadlineVerdict returns the verdict on a job's deadline and the probability that the job meets
// it. The verdict is empty for a job that has no deadline, is over or is being cancelled, and if
// estimates are disabled. The probability is unknownProbability if it can't be computed.
func (es *runTimeEstimates) deadlineVerdict(j *Job) (verdict string, probability float64) {
	spec := j.Record.Spec
	if es.model == nil || spec == nil || spec.DeadlineS == nil {
		return "", unknownProbability
	}
	if j.Record.Final() || j.Record.CancelRequested || j.DependencyCancelled() {
		return "", unknownProbability
	}
	due := es.dueInSeconds(j)
	if due <= 0 {
		return verdictLost, 0
	}
	duration, ok := es.completionEstimate(j, 0)
	if !ok {
		return verdictUnknown, unknownProbability
	}
	probability = duration.ProbabilityWithin(due)
	switch {
	case probability >= safeProbability:
		return verdictSafe, probability
	case probability <= lostProbability:
		return verdictLost, probability
	}
	return verdictRisk, probability
}

// updateDeadlineVerdicts assesses the deadlines of the unfinished jobs and logs those that have
// become at risk, lost or safe again.
func (es *runTimeEstimates) updateDeadlineVerdicts() {
	if es.model == nil || len(es.unfinished) == 0 {
		return
	}
	for i := range es.unfinished {
		j := es.unfinished[(es.nextDeadlineIndex+i)%len(es.unfinished)]
		if i >= maxDeadlinesPerScan {
			es.nextDeadlineIndex = (es.nextDeadlineIndex + i) % len(es.unfinished) // the others are assessed next time
			return
		}
		es.updateDeadlineVerdict(j)
	}
}

// updateDeadlineVerdict assesses the deadline of a job and logs a change of the verdict. A deadline
// that is safe at first is not logged.
func (es *runTimeEstimates) updateDeadlineVerdict(j *Job) {
	verdict, probability := es.deadlineVerdict(j)
	if verdict == j.verdict || verdict == "" {
		return
	}
	if j.verdict != "" || verdict != verdictSafe {
		es.outbox.Debug("deadline outlook changed", "job", j.ID, "class", j.Record.Spec.Class, "outlook", verdict,
			"previous", j.verdict, "probability", math.Round(probability*100)/100)
	}
	j.verdict = verdict
}
