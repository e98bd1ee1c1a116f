package estimate

import "math"

// Intervals are the fractions of runs that the three intervals of an Answer are to contain.
var Intervals = [3]float64{0.5, 0.8, 0.95}

// Answer is an estimate of a run time.
type Answer struct {
	Level   Level // Unknown: there is nothing to estimate from
	Median  Micros
	Low     [3]Micros // lower ends of Intervals
	High    [3]Micros // upper ends of Intervals
	Samples float64   // effective number of runs that the level has learned from
	// Trust is the fraction of recent outcomes that fell into the intervals stated for
	// them; negative as long as too few were stated.
	Trust [3]float64

	distribution distribution
}

// Estimate returns an estimate of how long work with these features runs.
func (m *Model) Estimate(f *Features) Answer {
	estimate, level, samples := m.walk(f, nil)
	a := Answer{Level: level, Samples: samples, Trust: [3]float64{-1, -1, -1}}
	if level == Unknown {
		return a
	}
	location := estimate.location + m.slowness(f.Machine)
	for i := range estimate.errors {
		a.distribution[i] = location + estimate.errors[i]
	}
	a.setIntervals()
	if c := m.coverage[f.Class]; c != nil {
		a.Trust = c.fractions()
	}
	return a
}

// setIntervals sets the median and the intervals from the distribution.
func (a *Answer) setIntervals() {
	a.Median = fromLogSeconds(a.distribution[medianIndex])
	for i := range Intervals {
		a.Low[i] = fromLogSeconds(a.distribution[medianIndex-1-i])
		a.High[i] = fromLogSeconds(a.distribution[medianIndex+1+i])
	}
}

// shortestRemaining is the least that is estimated to remain of a run, in microseconds.
const shortestRemaining = 10_000

// Left returns the estimate of the remaining time of a run that has run for the given time.
func (a *Answer) Left(ran Micros) Answer {
	if a.Level == Unknown || ran <= 0 {
		return *a
	}
	remaining := *a
	elapsed := a.distribution.probabilityBelow(logSeconds(ran))
	for i, p := range probabilities {
		total := a.distribution.quantile(elapsed + p*(1-elapsed))
		remaining.distribution[i] = logSeconds(max(fromLogSeconds(total)-ran, shortestRemaining))
	}
	for i := 1; i < len(remaining.distribution); i++ {
		remaining.distribution[i] = max(remaining.distribution[i], remaining.distribution[i-1])
	}
	remaining.setIntervals()
	return remaining
}

// Overdue reports whether a run that has run for the given time is beyond its widest
// interval.
func (a *Answer) Overdue(ran Micros) bool {
	return a.Level != Unknown && ran > a.High[len(a.High)-1]
}

// Within returns the probability that the run takes no longer than d; NaN if the level is
// Unknown.
func (a *Answer) Within(d Micros) float64 {
	if a.Level == Unknown {
		return math.NaN()
	}
	if d <= 0 {
		return 0
	}
	return a.distribution.probabilityBelow(logSeconds(d))
}

// Quantile returns the run time that is not exceeded with probability p.
func (a *Answer) Quantile(p float64) Micros { return fromLogSeconds(a.distribution.quantile(p)) }
