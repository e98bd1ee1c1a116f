package estimate

import "math"

const (
	// binsPerLog is the number of bins of errors per natural logarithm: a bin is 6% wide.
	binsPerLog = 16
	// bins is the number of bins. They span the errors from -4 to 4: a fiftieth to fifty times the estimate.
	bins = 128
	// maximumCount is the number of runs of a group at which all counts are halved, so that the newest half has as
	// much weight as all earlier runs.
	maximumCount = 400
	// sumUnit is the unit of the sums, in natural logarithms. Sums are integers because integer addition, unlike that
	// of floating-point numbers, doesn't depend on the order.
	sumUnit = 1e-4
)

// tally is the additive part of a group's statistics. It consists of integers, so that tallies can be merged in any
// order.
type tally struct {
	// N is the number of runs, Y the sum of the logarithms of their run times.
	N, Y int64
	// Nx is the number of runs with a user's estimate. X and Yx are the sums of the logarithms of their estimates and
	// run times, XX and XY the sums of the squares of the former and of the products of both.
	Nx, X, Yx, XX, XY int64
	// Completed and Censored count, by bin, the errors of completed runs and of censored runs: those that were cut off.
	Completed, Censored [bins]uint16
	// Errors is the sum of Completed.
	Errors int64
}

// group holds the statistics of a group of similar work.
type group struct {
	tally
	base           tally // the part of it that was recorded in earlier epochs
	level          Level
	class          string
	generation     uint32 // number of sudden changes so far
	detectedChange bool   // it detected the last change itself, so the level above still reflects the time before
	lastUse        uint64

	rebuiltErrors      float64 // number of errors that errorDistribution was computed from
	errorDistribution  distribution
	errorsSinceRebuild int
	detector           changeDetector
}

func (g *group) runs() float64 { return float64(g.N) }

// priorWeight returns the weight of the estimate of the level above, as an equivalent number of runs.
func (g *group) priorWeight() float64 {
	switch {
	case g.detectedChange:
		return levelPriorWeights[g.level] / 20
	case g.generation > 0: // a level above detected the change and has more data since then
		return 6 * levelPriorWeights[g.level]
	}
	return levelPriorWeights[g.level]
}

// widening returns the factor by which the errors are widened. It is more than 1 after a change until minimumErrors
// errors have been recorded since then.
func (g *group) widening() float64 {
	if g.generation == 0 {
		return 1
	}
	return 1 + float64(1.5*math.Max(0, 1-g.rebuiltErrors/minimumErrors))
}

func toSumUnits(y float64) int64 { return int64(math.Round(y / sumUnit)) }

// add adds a run to the sums, given the logarithm y of its run time.
func (g *group) add(y float64, user userEstimate) {
	if g.N >= maximumCount {
		g.halve()
		g.base.halve()
	}
	t := &g.tally
	t.N++
	t.Y += toSumUnits(y)
	if user.given {
		t.Nx++
		t.X += toSumUnits(user.logSeconds)
		t.Yx += toSumUnits(y)
		t.XX += toSumUnits(user.logSeconds * user.logSeconds)
		t.XY += toSumUnits(user.logSeconds * y)
	}
}

// halve halves all counts and sums.
func (t *tally) halve() {
	for _, v := range []*int64{&t.N, &t.Y, &t.Nx, &t.X, &t.Yx, &t.XX, &t.XY} {
		*v /= 2
	}
	t.Errors = 0
	for i := range t.Completed {
		t.Completed[i] /= 2
		t.Censored[i] /= 2
		t.Errors += int64(t.Completed[i])
	}
}

// combine adds another tally if sign is 1, and subtracts it if sign is -1.
func (t *tally) combine(other *tally, sign int64) {
	t.N += sign * other.N
	t.Y += sign * other.Y
	t.Nx += sign * other.Nx
	t.X += sign * other.X
	t.Yx += sign * other.Yx
	t.XX += sign * other.XX
	t.XY += sign * other.XY
	t.Errors = 0
	for i := range t.Completed {
		t.Completed[i] = clampCount(int64(t.Completed[i]) + sign*int64(other.Completed[i]))
		t.Censored[i] = clampCount(int64(t.Censored[i]) + sign*int64(other.Censored[i]))
		t.Errors += int64(t.Completed[i])
	}
}

// clampCount limits a count to the range of a bin's counter.
func clampCount(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

const (
	// slopePriorRuns is the weight of the prior slope of 1, as a number of runs of the usual variance. A slope of 1
	// means that run times are proportional to the user's estimates.
	slopePriorRuns = 8
	// slopePriorVariance is the usual variance of the logarithms of users' estimates.
	slopePriorVariance = 0.16
	// maxSlope is the upper bound of the slope; the lower bound is 0.
	maxSlope = 1.2
)

// predict returns the expected logarithm of the run time, by linear regression on the logarithm of the user's estimate.
// It returns the mean if no estimate is given or the group has no runs with one. The group must have runs.
func (g *group) predict(user userEstimate) float64 {
	mean := float64(g.Y) * sumUnit / g.runs()
	if !user.given || g.Nx == 0 {
		return mean
	}
	n := float64(g.Nx)
	meanX, meanY := float64(g.X)*sumUnit/n, float64(g.Yx)*sumUnit/n
	sxx := math.Max(float64(float64(g.XX)*sumUnit)-float64(n*meanX*meanX), 0)
	sxy := float64(float64(g.XY)*sumUnit) - float64(n*meanX*meanY)
	slope := (sxy + slopePriorRuns*slopePriorVariance) / (sxx + slopePriorRuns*slopePriorVariance)
	slope = math.Min(math.Max(slope, 0), maxSlope)
	return meanY + float64(slope*(user.logSeconds-meanX))
}

// errorBin returns the bin of an error. Errors out of range are counted in the outermost bins, NaN in the middle one.
func errorBin(logError float64) int {
	if math.IsNaN(logError) {
		return bins / 2
	}
	return int(math.Min(math.Max(math.Floor(logError*binsPerLog)+bins/2, 0), bins-1))
}

// recordError counts the error of an estimate. If done is false the run is censored, and the true error is larger.
func (g *group) recordError(logError float64, done bool) {
	bin := errorBin(logError)
	if g.Errors >= maximumCount {
		g.halve()
		g.base.halve()
	}
	if done {
		if g.Completed[bin] < math.MaxUint16 {
			g.Completed[bin]++
			g.Errors++
		}
	} else if g.Censored[bin] < math.MaxUint16 {
		g.Censored[bin]++
	}
	// The distribution is rebuilt only after more than a sixteenth as many errors have been added, because a single
	// error hardly changes a distribution of hundreds.
	g.errorsSinceRebuild++
	if g.errorsSinceRebuild > int(g.rebuiltErrors)/16 {
		g.rebuildDistribution()
	}
}

// rebuildDistribution computes the distribution of errors from the bins. The weight of a censored run is distributed
// over the errors beyond it (Kaplan and Meier, 1958).
func (g *group) rebuildDistribution() {
	g.errorsSinceRebuild = 0
	g.rebuiltErrors = float64(g.Errors)
	if g.Errors == 0 {
		return
	}
	g.setErrorQuantiles()
	// The fewer the samples, the less certain are the outer quantiles, and the further they are moved from the median.
	widening := 1 + 1.5/float64(g.Errors)
	median := g.errorDistribution[medianIndex]
	// Part of the median error is already corrected by the location, which is estimated from the same runs.
	shift := median * float64(g.Errors) / (float64(g.Errors) + 20)
	for i := range g.errorDistribution {
		g.errorDistribution[i] = shift + float64((g.errorDistribution[i]-median)*widening)
	}
}

// setErrorQuantiles computes the quantiles of the errors by the Kaplan-Meier estimator.
func (g *group) setErrorQuantiles() {
	atRisk := 0.0
	for i := range g.Completed {
		atRisk += float64(g.Completed[i]) + float64(g.Censored[i])
	}
	survival, before, p := 1.0, 0.0, 0
	lastEnd := 0.0
	for i := 0; i < bins && p < len(probabilities); i++ {
		ends := float64(g.Completed[i])
		if atRisk > 0 && ends > 0 {
			survival *= 1 - ends/atRisk
			lastEnd = (float64(i-bins/2) + 1) / binsPerLog
		}
		atRisk -= ends + float64(g.Censored[i])
		below := 1 - survival
		for p < len(probabilities) && below >= probabilities[p]-1e-12 {
			part := 1.0
			if below > before {
				part = (probabilities[p] - before) / (below - before)
			}
			g.errorDistribution[p] = (float64(i-bins/2) + math.Max(part, 0)) / binsPerLog
			p++
		}
		before = below
	}
	for ; p < len(probabilities); p++ { // beyond the last completed run there are only censored ones
		g.errorDistribution[p] = lastEnd + float64(0.3*float64(p-medianIndex))
		if p > 0 {
			g.errorDistribution[p] = math.Max(g.errorDistribution[p], g.errorDistribution[p-1])
		}
	}
}
