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

// durationEstimate is a duration that is not known exactly, by its mean in seconds and its variance.
type durationEstimate struct{ mean, variance float64 }

// plus returns the sum of two independent durations.
func (de durationEstimate) plus(other durationEstimate) durationEstimate {
	return durationEstimate{de.mean + other.mean, de.variance + other.variance}
}

// probabilityWithin is the probability that it takes no longer than so many seconds: sums of run
// times are assumed to be lognormal (Fenton and Wilkinson).
func (de durationEstimate) probabilityWithin(seconds float64) float64 {
	if seconds <= 0 || de.mean <= 0 {
		return 0
	}
	logVariance := math.Log(1 + de.variance/(de.mean*de.mean))
	logMean := math.Log(de.mean) - logVariance/2
	if logVariance < 1e-9 {
		if math.Log(seconds) >= logMean {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-(math.Log(seconds)-logMean)/math.Sqrt(2*logVariance))
}

// sigmasBetweenDeciles is the distance between the 0.1 and the 0.9 quantile of a normal distribution,
// in standard deviations.
const sigmasBetweenDeciles = 2.563

// longestOf is how long the longest of n runs takes.
func longestOf(a *estimate.Answer, n int) durationEstimate {
	root := 1 / float64(max(n, 1))
	quantile := func(p float64) float64 { return math.Max(inSeconds(a.Quantile(math.Pow(p, root))), 0.01) }
	median := quantile(0.5)
	sigma := math.Log(quantile(0.9)/quantile(0.1)) / sigmasBetweenDeciles
	mean := median * math.Exp(sigma*sigma/2)
	return durationEstimate{mean, mean * mean * (math.Exp(sigma*sigma) - 1)}
}

// inWaves is how long n tasks take, so many at a time.
func inWaves(a *estimate.Answer, n, atATime int, shape string) durationEstimate {
	if shape == wire.Gang {
		return longestOf(a, 1)
	}
	atATime = max(min(n, atATime), 1)
	one := longestOf(a, 1)
	earlierWaves := float64((n+atATime-1)/atATime - 1)
	return durationEstimate{one.mean * earlierWaves, one.variance * earlierWaves}.plus(longestOf(a, atATime))
}

// jobDuration is how long a job takes from now on, once its dependencies are done; false: nothing is
// known of such jobs.
func (es *runTimeEstimates) jobDuration(j *Job) (durationEstimate, bool) {
	f := es.features(j, "")
	perTask := es.model.Estimate(&f)
	if perTask.Level == estimate.Unknown {
		return durationEstimate{}, false
	}
	if j.OpenTasks == 0 {
		return es.waitingDuration(j, &perTask), true
	}
	return es.runningDuration(j, &perTask), true
}

// waitingDuration is how long a job takes of which nothing is placed: it waits, and then its tasks run
// as many at a time as its team's limit allows.
func (es *runTimeEstimates) waitingDuration(j *Job, perTask *estimate.Answer) durationEstimate {
	spec := j.Record.Spec
	var wait durationEstimate
	if ws := es.waits[spec.Class]; ws != nil {
		wait = durationEstimate{ws.mean, ws.mean * ws.mean}
	}
	missing := spec.Tasks - j.DoneTasks
	atATime := missing
	if team := es.teams[spec.Team]; team != nil && team.GPUsMax > 0 && spec.GPUs > 0 {
		atATime = min(atATime, max(1, int(team.GPUsMax/spec.GPUs)))
	}
	return wait.plus(inWaves(perTask, missing, atATime, spec.Shape))
}

// runningDuration is how long a job takes of which tasks are placed: until the longest of these is
// done, and then the other tasks run on the same capacity.
func (es *runTimeEstimates) runningDuration(j *Job, perTask *estimate.Answer) durationEstimate {
	spec := j.Record.Spec
	var longest durationEstimate
	j.EachPlacement(func(p job.Placement) {
		if remaining, ok := es.remainingTime(j, &p); ok {
			if duration := longestOf(&remaining, 1); duration.mean > longest.mean {
				longest = duration
			}
		}
	})
	rest := spec.Tasks - j.DoneTasks - j.OpenTasks
	if rest > 0 {
		return longest.plus(inWaves(perTask, rest, j.OpenTasks, spec.Shape))
	}
	return longest
}

// completionEstimate is how long a job takes along the longest path through its unfinished
// dependencies; false: nothing is known of one of these jobs.
func (es *runTimeEstimates) completionEstimate(j *Job, depth int) (durationEstimate, bool) {
	own, ok := es.jobDuration(j)
	if !ok || depth >= maxDependencyDepth {
		return own, ok
	}
	var longest durationEstimate
	for _, id := range j.UnfinishedDependencies() {
		dependency, known := es.completionEstimate(es.jobs[id], depth+1)
		if !known {
			return durationEstimate{}, false
		}
		if dependency.mean > longest.mean {
			longest = dependency
		}
	}
	return longest.plus(own), true
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
	chance = duration.probabilityWithin(due)
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
