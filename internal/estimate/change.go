package estimate

import (
	"math"
	"slices"
)

// detector distinguishes a sudden change from noise by two sums of log-likelihood ratios
// (Page, 1954): up for the ranks of new errors among the earlier ones having moved up,
// down for their having moved down. Without a change the mean time to a false alarm is at
// least exp(alarmThreshold) = 665 ends, for each side.
type detector struct {
	up, down float64
	recent   [recentRuns]recentRun // a ring
	next     int
}

const (
	recentRuns     = 8
	alarmThreshold = 6.5
	// rankExponent is the exponent of the density that ranks u are assumed to have after
	// a change: rankExponent*u^(rankExponent-1).
	rankExponent = 4.0
	// minimumMove is how far off a run has to be to be evidence of a change: 16%.
	minimumMove = 0.15
	// minimumErrors is how many errors have to be known before their ranks say anything.
	minimumErrors = 10
	// changedFraction is the part of the change that the error of a run has to reach for
	// the run to count as one after the change.
	changedFraction = 0.6
)

// recentRun is a run that may belong to the time after a change.
type recentRun struct {
	logRun, logError float64
	user             userEstimate
}

// rank returns the fraction of earlier errors below an error.
func (g *group) rank(logError float64) float64 {
	bin := errorBin(logError)
	below := 0.0
	for i := range bin {
		below += float64(g.Ends[i])
	}
	below += float64(g.Ends[bin]) / 2
	return (below + 0.5) / (float64(g.Errors) + 1)
}

// detectChange takes the error of a run that ended and reports whether the work has
// changed suddenly.
func (g *group) detectChange(logError, logRun float64, user userEstimate) bool {
	if g.level < Class || g.Errors < minimumErrors {
		return false
	}
	d := &g.detector
	rank := g.rank(logError)
	if math.Abs(logError) < minimumMove {
		rank = 0.5 // for work of constant run time a few per cent are no change
	}
	d.recent[d.next] = recentRun{logRun, logError, user}
	d.next = (d.next + 1) % recentRuns
	d.up = addLikelihood(d.up, rank)
	d.down = addLikelihood(d.down, 1-rank)
	return max(d.up, d.down) > alarmThreshold
}

// addLikelihood adds the log-likelihood ratio of a rank to a sum that doesn't fall below 0.
func addLikelihood(sum, rank float64) float64 {
	return math.Max(0, sum+math.Log(rankExponent)+(rankExponent-1)*math.Log(rank))
}

// last returns the i-th newest recent run; 1 is the newest.
func (d *detector) last(i int) recentRun { return d.recent[(d.next-i+recentRuns)%recentRuns] }

// restart forgets what was learned before a change. The group that detected it keeps the
// runs since the change began.
func (g *group) restart(detected bool) {
	d := g.detector
	g.tally = tally{}
	g.base = tally{}
	g.errorDistribution = distribution{}
	g.rebuiltErrors = 0
	g.errorsSinceRebuild = 0
	g.detector = detector{}
	g.generation++
	g.noticedChange = detected
	if !detected {
		return
	}
	newest := []float64{d.last(1).logError, d.last(2).logError, d.last(3).logError}
	slices.Sort(newest)
	change := newest[1]                // the median
	for i := 1; i <= recentRuns; i++ { // the newest first
		run := d.last(i)
		if i > 1 && run.logError/change < changedFraction {
			return
		}
		g.add(run.logRun, run.user)
	}
}
