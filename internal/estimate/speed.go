package estimate

import (
	"math"
	"slices"
	"strings"
)

// speed is the recorded speed of a machine: the errors of the estimates of its runs, in natural logarithms. An error is
// positive if the run took longer than estimated.
type speed struct {
	n, sum  float64 // effective number of runs, and the sum of their errors
	spread  float64 // moving average of the standard deviations that the estimates of these runs implied
	lastUse uint64
}

const (
	maximumSpeedRuns = 32 // number of runs at which the count and the sum are halved
	minimumSpeedRuns = 3  // number of runs from which a machine's speed is used
	// significantDeviations is the number of standard errors by which a machine's mean error has to differ from 0 to be
	// significant.
	significantDeviations = 2.5
	// minimumSpread is the lower bound of the spread in the test of significance.
	minimumSpread = 0.05
	// Errors are clamped to these bounds, in natural logarithms.
	minimumSpeedError = -2
	maximumSpeedError = 3
	// spreadRuns is the number of runs that the spread is averaged over.
	spreadRuns = 8
	// deviationsIn80Interval is the width of the 0.8 interval of a normal distribution, in standard deviations.
	deviationsIn80Interval = 2.56
)

// Slowness returns the ratio of run times on a machine to the usual run times, or 1 unless the ratio differs
// significantly from 1.
func (m *Model) Slowness(machine string) float64 { return math.Exp(m.slowness(machine)) }

// slowness returns the natural logarithm of Slowness.
func (m *Model) slowness(machine string) float64 {
	if machine == "" {
		return 0
	}
	s := m.machines[machine]
	if s == nil {
		return 0
	}
	return s.slowness()
}

// slowness returns the mean error, shrunk towards 0 by one run's weight, or 0 if it is not significant.
func (s *speed) slowness() float64 {
	if s.n < minimumSpeedRuns {
		return 0
	}
	mean := s.sum / s.n
	if math.Abs(mean) < significantDeviations*math.Max(s.spread, minimumSpread)/math.Sqrt(s.n) {
		return 0
	}
	return mean * s.n / (s.n + 1)
}

// EachSlowMachine calls f with each machine whose Slowness is at least the given factor, in the order of their names.
func (m *Model) EachSlowMachine(factor float64, f func(machine string)) {
	var slow []string
	for name, s := range m.machines {
		if s.slowness() >= math.Log(factor) {
			slow = append(slow, name)
		}
	}
	slices.Sort(slow)
	for _, name := range slow {
		f(name)
	}
}

// recordSpeed records the error of the estimate of a run on a machine; width is the width of the 0.8 interval predicted
// for the run.
func (m *Model) recordSpeed(machine string, logError, width float64) {
	s := m.machines[machine]
	if s == nil {
		evictOldest(m.machines, m.settings.MaxMachines, func(s *speed) uint64 { return s.lastUse }, strings.Compare)
		s = &speed{}
		m.machines[machine] = s
	}
	if s.n >= maximumSpeedRuns {
		s.n /= 2
		s.sum /= 2
	}
	s.n++
	s.sum += math.Min(math.Max(logError, minimumSpeedError), maximumSpeedError)
	s.spread += (width/deviationsIn80Interval - s.spread) / math.Min(s.n, spreadRuns)
	s.lastUse = m.clock
}
