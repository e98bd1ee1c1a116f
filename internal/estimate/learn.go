package estimate

// levelPriorWeights are how many runs of a level are worth as much as the estimate of the
// level above. A team's runs say little of its next job: its work is of many kinds.
var levelPriorWeights = [levels]float64{Everything: 1, Team: 12, Class: 2, ClassShape: 2, ImageShape: 2}

// errorsPriorWeight is the same for the errors of a level.
const errorsPriorWeight = 6

// minimumSamples is the number of runs from which on an answer names a level as its own,
// and coverage is stated.
const minimumSamples = 4

// levelEstimate is the estimate at one level: a location and the errors around it, in
// logarithms of seconds.
type levelEstimate struct {
	location float64
	errors   distribution
	known    bool
}

// walk descends the hierarchy and returns the estimate of the narrowest level, the level
// that it is attributed to and that level's number of runs. If visit isn't nil it is
// called at each level with the estimate there; the group is nil if it doesn't exist.
func (m *Model) walk(
	f *Features, visit func(l Level, g *group, estimate levelEstimate),
) (estimate levelEstimate, attributed Level, samples float64) {
	if f.Expect > 0 {
		estimate = levelEstimate{location: logSeconds(f.Expect), errors: defaultUserErrors, known: true}
		attributed = User
	}
	user := userEstimate{f.Expect > 0, estimate.location}
	keys := f.keys()
	for l := Everything; l < levels; l++ {
		g := m.groups[keys[l]]
		runs := 0.0
		if g != nil {
			runs = g.runs()
		}
		if runs > 0 {
			estimate = g.improve(estimate, user)
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

// attributable reports whether a level with so many runs replaces the level that an
// answer is attributed to so far.
func attributable(l Level, runs float64, attributed Level) bool {
	if runs >= minimumSamples || attributed == Unknown {
		return true
	}
	return attributed == User && runs >= 1 && l >= Class
}

// improve corrects the estimate of the level above by what the group has learned. The
// group must have runs.
func (g *group) improve(above levelEstimate, user userEstimate) levelEstimate {
	location := g.predict(user)
	errors := defaultUserErrors
	if above.known {
		w := g.runs() / (g.runs() + g.priorWeight())
		location = w*location + (1-w)*above.location
		errors = above.errors
	}
	if g.rebuiltErrors > 0 {
		w := g.rebuiltErrors / (g.rebuiltErrors + errorsPriorWeight)
		for i := range errors {
			errors[i] = w*g.errorDistribution[i] + (1-w)*errors[i]
		}
	}
	if factor := g.widening(); factor > 1 {
		median := errors[medianIndex]
		for i := range errors {
			errors[i] = median + (errors[i]-median)*factor
		}
	}
	return levelEstimate{location, errors, true}
}

// Observe learns from the end of a run. Evidence without a run time is ignored.
func (m *Model) Observe(e *Evidence) {
	if e.Ran <= 0 {
		return
	}
	m.clock++
	m.observed++
	slowness := m.slowness(e.Machine)
	logRun := logSeconds(e.Ran) - slowness
	keys := e.keys()
	user := userEstimate{}
	if e.Expect > 0 {
		user = userEstimate{true, logSeconds(e.Expect)}
	}
	changed := Unknown // the widest level that detects a change
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
		m.restart(changed, keys, e.Class)
	}
	if e.Done && level > User {
		m.recordCoverage(e.Class, logRun-estimate.location, &estimate.errors)
		if e.Machine != "" {
			width := estimate.errors[medianIndex+2] - estimate.errors[medianIndex-2]
			m.recordSpeed(e.Machine, logRun-estimate.location+slowness, width)
		}
	}
}

// learn records a run at the group, given the estimate that the group made of it, and
// reports whether the group detects a sudden change. A run that was cut off counts in the
// location as the median of what it would have taken, if that says anything.
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

// minimumElapsed is the part of the known runs that a run has to outlast before what it
// would have taken says anything new.
const minimumElapsed = 0.2

// medianBeyond returns the median run time, as a logarithm of seconds, of runs that take
// longer than y. It returns false if that says nothing new, because nearly all runs of the
// group take longer.
func (e *levelEstimate) medianBeyond(y float64) (float64, bool) {
	d := e.errors
	for i := range d {
		d[i] += e.location
	}
	elapsed := d.probabilityBelow(y)
	if elapsed < minimumElapsed {
		return 0, false
	}
	return d.quantile(elapsed + (1-elapsed)/2), true
}

// restart forgets what was learned of work that has changed: at the level that detected
// it and at the narrower levels of the same class. The detecting group keeps the runs
// since the change began.
func (m *Model) restart(changed Level, keys [levels]groupKey, class string) {
	m.changes++
	for k, g := range m.groups { // the groups are independent: the order doesn't matter
		detected := k == keys[changed]
		if detected || g.class == class && k.level > changed {
			g.restart(detected)
		}
	}
}
