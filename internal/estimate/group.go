package estimate

import "math"

const (
	// Errors are counted in bins of a sixteenth of a natural logarithm: 6%.
	binsPerLog = 16
	// bins span the errors from -4 to 4: a fiftieth to fifty times the estimate.
	bins = 128
	// maximumCount is how many runs a group remembers: beyond it all counts are halved,
	// so that the newest half weighs as much as all before.
	maximumCount = 400
	// grain is the unit of the sums, in natural logarithms. Whole numbers add up to the
	// same in any order.
	grain = 1e-4
)

// tally is the part of a group that adds up. It consists of whole numbers, so that tallies
// can be merged in any order.
type tally struct {
	N, Y         int64        // number of runs, and the sum of the logarithms of their run times
	Nx           int64        // the runs that came with a user's estimate:
	X, Yx        int64        // the sums of the logarithms of estimate and run time,
	XX, XY       int64        // and of their products
	Ends, Longer [bins]uint16 // errors of runs that ended, and of those that were cut off, by bin
	Errors       int64        // number of errors in Ends
}

// group is what is known of one kind of similar work.
type group struct {
	tally
	base          tally // the part of it that earlier epochs have learned
	level         Level
	class         string
	generation    uint32 // counts the sudden changes
	noticedChange bool   // it detected the last change: the level above still reflects the time before
	lastUse       uint64

	rebuiltErrors      float64 // number of errors that errorDistribution was made of
	errorDistribution  distribution
	errorsSinceRebuild int
	detector           detector
}

func (g *group) runs() float64 { return float64(g.N) }

// priorWeight returns how much the estimate of the level above weighs, in runs.
func (g *group) priorWeight() float64 {
	switch {
	case g.noticedChange:
		return levelPriorWeights[g.level] / 20
	case g.generation > 0: // the level above detected the change and knows more of the work since
		return 6 * levelPriorWeights[g.level]
	}
	return levelPriorWeights[g.level]
}

// widening returns the factor by which the errors are widened: more than 1 after a change,
// until enough errors are known since.
func (g *group) widening() float64 {
	if g.generation == 0 {
		return 1
	}
	return 1 + 1.5*math.Max(0, 1-g.rebuiltErrors/minimumErrors)
}

func toGrains(y float64) int64 { return int64(math.Round(y / grain)) }

// add counts a run by the logarithm of its run time.
func (g *group) add(y float64, user userEstimate) {
	if g.N >= maximumCount {
		g.halve()
		g.base.halve()
	}
	t := &g.tally
	t.N++
	t.Y += toGrains(y)
	if user.given {
		t.Nx++
		t.X += toGrains(user.logSeconds)
		t.Yx += toGrains(y)
		t.XX += toGrains(user.logSeconds * user.logSeconds)
		t.XY += toGrains(user.logSeconds * y)
	}
}

// halve halves all counts and sums.
func (t *tally) halve() {
	for _, v := range []*int64{&t.N, &t.Y, &t.Nx, &t.X, &t.Yx, &t.XX, &t.XY} {
		*v /= 2
	}
	t.Errors = 0
	for i := range t.Ends {
		t.Ends[i] /= 2
		t.Longer[i] /= 2
		t.Errors += int64(t.Ends[i])
	}
}

// combine adds another tally if sign is 1, or subtracts it if sign is -1.
func (t *tally) combine(other *tally, sign int64) {
	t.N += sign * other.N
	t.Y += sign * other.Y
	t.Nx += sign * other.Nx
	t.X += sign * other.X
	t.Yx += sign * other.Yx
	t.XX += sign * other.XX
	t.XY += sign * other.XY
	t.Errors = 0
	for i := range t.Ends {
		t.Ends[i] = clampCount(int64(t.Ends[i]) + sign*int64(other.Ends[i]))
		t.Longer[i] = clampCount(int64(t.Longer[i]) + sign*int64(other.Longer[i]))
		t.Errors += int64(t.Ends[i])
	}
}

// clampCount limits a count to the range of a bin.
func clampCount(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

const (
	// slopeRuns is how many runs of the usual spread have to speak against a slope of 1,
	// that of a user whose estimates are right in proportion, before it is given up.
	slopeRuns = 8
	// slopeSpread is the usual variance of the logarithm of users' estimates.
	slopeSpread = 0.16
	// maxSlope bounds the slope; none is below 0.
	maxSlope = 1.2
)

// predict returns the logarithm of the run time for a user's estimate, by regression. The
// group must have runs.
func (g *group) predict(user userEstimate) float64 {
	mean := float64(g.Y) * grain / g.runs()
	if !user.given || g.Nx == 0 {
		return mean
	}
	n := float64(g.Nx)
	meanX, meanY := float64(g.X)*grain/n, float64(g.Yx)*grain/n
	sxx := math.Max(float64(g.XX)*grain-n*meanX*meanX, 0)
	sxy := float64(g.XY)*grain - n*meanX*meanY
	slope := (sxy + slopeRuns*slopeSpread) / (sxx + slopeRuns*slopeSpread)
	slope = math.Min(math.Max(slope, 0), maxSlope)
	return meanY + slope*(user.logSeconds-meanX)
}

// errorBin returns the bin of an error; errors beyond the range go into the outermost bins.
func errorBin(logError float64) int {
	if math.IsNaN(logError) {
		return bins / 2
	}
	return int(math.Min(math.Max(math.Floor(logError*binsPerLog)+bins/2, 0), bins-1))
}

// recordError counts the error of an estimate. If done is false the run was cut off, and
// the true error is larger.
func (g *group) recordError(logError float64, done bool) {
	bin := errorBin(logError)
	if g.Errors >= maximumCount {
		g.halve()
		g.base.halve()
	}
	if done {
		if g.Ends[bin] < math.MaxUint16 {
			g.Ends[bin]++
			g.Errors++
		}
	} else if g.Longer[bin] < math.MaxUint16 {
		g.Longer[bin]++
	}
	// One more changes little in a distribution of hundreds.
	g.errorsSinceRebuild++
	if g.errorsSinceRebuild > int(g.rebuiltErrors)/16 {
		g.rebuildDistribution()
	}
}

// rebuildDistribution makes the distribution of errors from the bins. A run that was cut
// off counts by how much of the remaining errors lies beyond it (Kaplan and Meier, 1958).
func (g *group) rebuildDistribution() {
	g.errorsSinceRebuild = 0
	g.rebuiltErrors = float64(g.Errors)
	if g.Errors == 0 {
		return
	}
	g.setErrorQuantiles()
	// Few samples leave the outer quantiles uncertain: they are moved away from the median accordingly.
	widening := 1 + 1.5/float64(g.Errors)
	median := g.errorDistribution[medianIndex]
	// The location, which is learned as well, already corrects part of the median error.
	shift := median * float64(g.Errors) / (float64(g.Errors) + 20)
	for i := range g.errorDistribution {
		g.errorDistribution[i] = shift + (g.errorDistribution[i]-median)*widening
	}
}

// setErrorQuantiles sets the quantiles of the errors by the estimator of Kaplan and Meier.
func (g *group) setErrorQuantiles() {
	atRisk := 0.0
	for i := range g.Ends {
		atRisk += float64(g.Ends[i]) + float64(g.Longer[i])
	}
	survival, before, p := 1.0, 0.0, 0
	lastEnd := 0.0
	for i := 0; i < bins && p < len(probabilities); i++ {
		ends := float64(g.Ends[i])
		if atRisk > 0 && ends > 0 {
			survival *= 1 - ends/atRisk
			lastEnd = (float64(i-bins/2) + 1) / binsPerLog
		}
		atRisk -= ends + float64(g.Longer[i])
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
	for ; p < len(probabilities); p++ { // only runs that were cut off lie beyond the last end
		g.errorDistribution[p] = lastEnd + 0.3*float64(p-medianIndex)
		if p > 0 {
			g.errorDistribution[p] = math.Max(g.errorDistribution[p], g.errorDistribution[p-1])
		}
	}
}
