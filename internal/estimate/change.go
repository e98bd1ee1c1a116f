package estimate

import (
	"math"
	"slices"
)

// changeDetector detects sudden changes of run times by two cumulative sums of log-likelihood ratios (CUSUM: Page,
// 1954). The input is the rank of each new error among the earlier errors: up tests whether ranks have increased, down
// whether they have decreased. Without a change, the mean time to a false alarm of each test is at least
// exp(alarmThreshold) = 665 completed runs.
type changeDetector struct {
	up, down float64
	recent   [recentWindow]recentRun // ring buffer
	next     int
}

const (
	recentWindow   = 8
	alarmThreshold = 6.5
	// rankExponent is the parameter of the assumed density of ranks u after a change:
	// rankExponent*u^(rankExponent-1).
	rankExponent = 4.0
	// minimumLogError is the least absolute error, in natural logarithms, that is evidence of a change: 16%.
	minimumLogError = 0.15
	// minimumErrors is the number of recorded errors from which ranks among them are significant.
	minimumErrors = 10
	// minimumChangeFraction is the least ratio of a run's error to the size of the change at which the run is
	// attributed to the time after the change.
	minimumChangeFraction = 0.6
)

// recentRun is a recent run, which may have taken place after a change that is not detected yet.
type recentRun struct {
	logRun, logError float64
	user             userEstimate
}

// rank returns the fraction of the earlier errors that are less than logError. Errors in the same bin count half.
func (g *group) rank(logError float64) float64 {
	bin := errorBin(logError)
	below := 0.0
	for i := range bin {
		below += float64(g.Completed[i])
	}
	below += float64(g.Completed[bin]) / 2
	return (below + 0.5) / (float64(g.Errors) + 1)
}

// detectChange adds the error of a completed run to the detector and reports whether it detects a sudden change of the
// run times.
func (g *group) detectChange(logError, logRun float64, user userEstimate) bool {
	if g.level < Class || g.Errors < minimumErrors {
		return false
	}
	d := &g.detector
	rank := g.rank(logError)
	if math.Abs(logError) < minimumLogError {
		rank = 0.5 // if run times are nearly constant, a deviation of a few per cent has an extreme rank
	}
	d.recent[d.next] = recentRun{logRun, logError, user}
	d.next = (d.next + 1) % recentWindow
	d.up = addLikelihood(d.up, rank)
	d.down = addLikelihood(d.down, 1-rank)
	return max(d.up, d.down) > alarmThreshold
}

// addLikelihood adds the log-likelihood ratio of a rank to a cumulative sum, which is at least 0.
func addLikelihood(sum, rank float64) float64 {
	return math.Max(0, sum+math.Log(rankExponent)+float64((rankExponent-1)*math.Log(rank)))
}

// newest returns the i-th newest recent run, counted from 1.
func (d *changeDetector) newest(i int) recentRun {
	return d.recent[(d.next-i+recentWindow)%recentWindow]
}

// resetAfterChange discards the data from before a change. The group that detected the change (detected is true) keeps
// the runs since the change began.
func (g *group) resetAfterChange(detected bool) {
	d := g.detector
	g.tally = tally{}
	g.base = tally{}
	g.errorDistribution = distribution{}
	g.rebuiltErrors = 0
	g.errorsSinceRebuild = 0
	g.detector = changeDetector{}
	g.generation++
	g.detectedChange = detected
	if !detected {
		return
	}
	newest := []float64{d.newest(1).logError, d.newest(2).logError, d.newest(3).logError}
	slices.Sort(newest)
	change := newest[1]                  // median
	for i := 1; i <= recentWindow; i++ { // from the newest to the oldest
		run := d.newest(i)
		if i > 1 && run.logError/change < minimumChangeFraction {
			return
		}
		g.add(run.logRun, run.user)
	}
}
