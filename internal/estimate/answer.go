package estimate

import "math"

// Intervals are the nominal coverages of the three intervals of a RunTimeEstimate: the fraction of runs that each
// one is meant to contain.
var Intervals = [3]float64{0.5, 0.8, 0.95}

// RunTimeEstimate is an estimate of a run time, with prediction intervals.
type RunTimeEstimate struct {
	Level   Level // Unknown if there is no data to estimate from
	Median  Micros
	Low     [3]Micros // lower bounds, in the order of Intervals
	High    [3]Micros // upper bounds, in the order of Intervals
	Samples float64   // effective number of runs in the group of the level
	// Coverage is the observed coverage of each interval: the fraction of recent run times of the class that were
	// inside the interval predicted for them. It is negative until enough predictions have been compared.
	Coverage [3]float64

	distribution distribution
}

// Estimate returns an estimate of the run time of a run with these features. Its level is Unknown if there are no
// past runs and no user estimate to derive it from.
func (m *Model) Estimate(f *Features) RunTimeEstimate {
	estimate, level, samples := m.walk(f, nil)
	a := RunTimeEstimate{Level: level, Samples: samples, Coverage: [3]float64{-1, -1, -1}}
	if level == Unknown {
		return a
	}
	location := estimate.location + m.slowness(f.Machine)
	for i := range estimate.errors {
		a.distribution[i] = location + estimate.errors[i]
	}
	a.setIntervals()
	if c := m.coverage[f.Class]; c != nil {
		a.Coverage = c.fractions()
	}
	return a
}

// setIntervals derives the median and the intervals from the distribution.
func (a *RunTimeEstimate) setIntervals() {
	a.Median = fromLogSeconds(a.distribution[medianIndex])
	for i := range Intervals {
		a.Low[i] = fromLogSeconds(a.distribution[medianIndex-1-i])
		a.High[i] = fromLogSeconds(a.distribution[medianIndex+1+i])
	}
}

// minimumRemainingMicros is the lower bound of estimated remaining times, in microseconds.
const minimumRemainingMicros = 10_000

// Remaining returns the estimate of the remaining time of a run that has been running for the given time. It is the
// distribution of run times, conditioned on exceeding that time.
func (a *RunTimeEstimate) Remaining(ran Micros) RunTimeEstimate {
	if a.Level == Unknown || ran <= 0 {
		return *a
	}
	remaining := *a
	elapsedProbability := a.distribution.probabilityBelow(logSeconds(ran))
	for i, p := range probabilities {
		total := a.distribution.quantile(elapsedProbability + float64(p*(1-elapsedProbability)))
		remaining.distribution[i] = logSeconds(max(fromLogSeconds(total)-ran, minimumRemainingMicros))
	}
	for i := 1; i < len(remaining.distribution); i++ {
		remaining.distribution[i] = max(remaining.distribution[i], remaining.distribution[i-1])
	}
	remaining.setIntervals()
	return remaining
}

// Overdue reports whether the given running time exceeds the upper bound of the widest interval. It returns false if
// the level is Unknown.
func (a *RunTimeEstimate) Overdue(ran Micros) bool {
	return a.Level != Unknown && ran > a.High[len(a.High)-1]
}

// ProbabilityWithin returns the probability that the run time is at most d, or NaN if the level is Unknown.
func (a *RunTimeEstimate) ProbabilityWithin(d Micros) float64 {
	if a.Level == Unknown {
		return math.NaN()
	}
	if d <= 0 {
		return 0
	}
	return a.distribution.probabilityBelow(logSeconds(d))
}

// Quantile returns the run time that is not exceeded with probability p.
func (a *RunTimeEstimate) Quantile(p float64) Micros {
	return fromLogSeconds(a.distribution.quantile(p))
}
