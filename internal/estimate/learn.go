package estimate

// levelPriorWeights are the weights of the estimate of the level above, as equivalent numbers of runs of the level. The
// weight is large for a team because its jobs differ, so that its runs predict its next job poorly.
var levelPriorWeights = [levels]float64{Everything: 1, Team: 12, Class: 2, ClassShape: 2, ImageShape: 2}

// errorsPriorWeight is the corresponding weight of the errors of the level above.
const errorsPriorWeight = 6

// minimumSamples is the number of runs of a level from which an estimate is attributed to it, and the number of
// outcomes from which the coverage is reported.
const minimumSamples = 4

// levelEstimate is the estimate at one level: a location, and the distribution of errors around it, in logarithms of
// seconds.
type levelEstimate struct {
	location float64
	errors   distribution
	known    bool // false if there is no estimate
}

// walk descends the hierarchy and returns the estimate of the narrowest level, the level that it is attributed to and
// that level's number of runs. If visit isn't nil, it is called at each level with the estimate at that level; the
// group is nil if it doesn't exist.
func (m *Model) walk(
	f *Features, visit func(l Level, g *group, estimate levelEstimate),
) (estimate levelEstimate, attributed Level, samples float64) {
	if f.UserEstimate > 0 {
		estimate = levelEstimate{location: logSeconds(f.UserEstimate), errors: defaultUserErrors, known: true}
		attributed = User
	}
	user := userEstimate{f.UserEstimate > 0, estimate.location}
	keys := f.keys()
	for l := Everything; l < levels; l++ {
		g := m.groups[keys[l]]
		runs := 0.0
		if g != nil {
			runs = g.runs()
		}
		if runs > 0 {
			estimate = g.refine(estimate, user)
		}
		if visit != nil {
			visit(l, g, estimate)
		}
		if runs > 0 && attributable(l, runs, attributed) {
			attributed, samples = l, runs
		}
	}
	return estimate, attributed, samples
}

// attributable reports whether an estimate that is attributed to a wider level so far is attributed to level l, which
// has the given number of runs.
func attributable(l Level, runs float64, attributed Level) bool {
	if runs >= minimumSamples || attributed == Unknown {
		return true
	}
	return attributed == User && runs >= 1 && l >= Class
}

// refine corrects the estimate of the level above by the statistics of the group. The group must have runs.
func (g *group) refine(above levelEstimate, user userEstimate) levelEstimate {
	location := g.predict(user)
	errors := defaultUserErrors
	if above.known {
		w := g.runs() / (g.runs() + g.priorWeight())
		location = float64(w*location) + float64((1-w)*above.location)
		errors = above.errors
	}
	if g.rebuiltErrors > 0 {
		w := g.rebuiltErrors / (g.rebuiltErrors + errorsPriorWeight)
		for i := range errors {
			errors[i] = float64(w*g.errorDistribution[i]) + float64((1-w)*errors[i])
		}
	}
	if factor := g.widening(); factor > 1 {
		median := errors[medianIndex]
		for i := range errors {
			errors[i] = median + float64((errors[i]-median)*factor)
		}
	}
	return levelEstimate{location, errors, true}
}

// Observe updates the model with the outcome of a run. An outcome with a run time of 0 or less is ignored.
func (m *Model) Observe(e *Observation) {
	if e.Elapsed <= 0 {
		return
	}
	m.clock++
	m.observed++
	slowness := m.slowness(e.Machine)
	logRun := logSeconds(e.Elapsed) - slowness
	keys := e.keys()
	user := userEstimate{}
	if e.UserEstimate > 0 {
		user = userEstimate{true, logSeconds(e.UserEstimate)}
	}
	changed := Unknown // the widest level that detects a change, or Unknown
	estimate, level, _ := m.walk(&e.Features, func(l Level, g *group, estimate levelEstimate) {
		if g == nil {
			g = m.group(keys[l], e.Class)
		}
		g.lastUse = m.clock
		if g.learn(logRun, user, &estimate, e.Done) && changed == Unknown {
			changed = l
		}
	})
	if changed >= Class {
		m.resetAfterChange(changed, keys, e.Class)
	}
	if e.Done && level > User {
		m.recordCoverage(e.Class, logRun-estimate.location, &estimate.errors)
		if e.Machine != "" {
			width := estimate.errors[medianIndex+2] - estimate.errors[medianIndex-2]
			m.recordSpeed(e.Machine, logRun-estimate.location+slowness, width)
		}
	}
}

// learn records a run in the group, given the estimate of the run at the group's level, and reports whether the group
// detects a sudden change. A censored run is added to the location with its conditional median run time, if that is
// informative (see medianBeyond).
func (g *group) learn(logRun float64, user userEstimate, estimate *levelEstimate, done bool) (changed bool) {
	if estimate.known {
		logError := logRun - estimate.location
		changed = done && g.detectChange(logError, logRun, user)
		g.recordError(logError, done)
	}
	if done {
		g.add(logRun, user)
		return changed
	}
	if estimate.known {
		if longer, ok := estimate.medianBeyond(logRun); ok {
			g.add(longer, user)
		}
	}
	return changed
}

// minimumElapsedProbability is the least fraction of the distribution of run times that a censored run has to exceed
// for its conditional median to be informative.
const minimumElapsedProbability = 0.2

// medianBeyond returns the median run time of the runs that take longer than y, both as logarithms of seconds. It
// returns false if that is not informative because nearly all runs of the group take longer than y.
func (e *levelEstimate) medianBeyond(y float64) (float64, bool) {
	d := e.errors
	for i := range d {
		d[i] += e.location
	}
	elapsedProbability := d.probabilityBelow(y)
	if elapsedProbability < minimumElapsedProbability {
		return 0, false
	}
	return d.quantile(elapsedProbability + (1-elapsedProbability)/2), true
}

// resetAfterChange discards the data of work whose run times have changed: of the group that detected the change, and
// of the groups of the same class at narrower levels. The detecting group keeps the runs since the change began.
func (m *Model) resetAfterChange(changed Level, keys [levels]groupKey, class string) {
	m.changes++
	for k, g := range m.groups { // in any order, because the groups are independent
		detected := k == keys[changed]
		if detected || g.class == class && k.level > changed {
			g.resetAfterChange(detected)
		}
	}
}
