package estimate

import (
	"math"
	"slices"
	"strings"
)

// speed is what is known of a machine's speed: the mean of how much longer its runs took
// than estimated, in natural logarithms.
type speed struct {
	n, sum  float64
	spread  float64 // usual standard deviation of the errors of such runs
	lastUse uint64
}

const (
	maximumSpeedRuns = 32 // at which the counts are halved
	minimumSpeedRuns = 3  // before a machine's speed is known
	// significantDeviations is how many standard errors a machine's mean error has to
	// differ from 0.
	significantDeviations = 2.5
	// minimumSpread bounds the spread from below.
	minimumSpread = 0.05
	// An error of a run counts for its machine between these bounds.
	minimumSpeedError = -2
	maximumSpeedError = 3
	// spreadRuns is the number of runs that the spread is averaged over.
	spreadRuns = 8
	// deviationsIn80 is the width of the 0.8 interval of a normal distribution, in
	// standard deviations.
	deviationsIn80 = 2.56
)

// Slowness returns how many times as long as usual runs take on a machine; 1 unless it is
// known to differ.
func (m *Model) Slowness(machine string) float64 { return math.Exp(m.slowness(machine)) }

// slowness returns the logarithm of Slowness.
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

// slowness returns the logarithm of how many times as long as usual runs take, 0 unless
// that is significant.
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

// Slow calls f with the machines that are known to take at least the given multiple of the
// usual time, in the order of their names.
func (m *Model) Slow(times float64, f func(machine string)) {
	var slow []string
	for name, s := range m.machines {
		if s.slowness() >= math.Log(times) {
			slow = append(slow, name)
		}
	}
	slices.Sort(slow)
	for _, name := range slow {
		f(name)
	}
}

// recordSpeed records the error of a run's estimate for its machine; width is that of the
// 0.8 interval stated for it.
func (m *Model) recordSpeed(machine string, logError, width float64) {
	s := m.machines[machine]
	if s == nil {
		evictOldest(m.machines, m.settings.Machines, func(s *speed) uint64 { return s.lastUse }, strings.Compare)
		s = &speed{}
		m.machines[machine] = s
	}
	if s.n >= maximumSpeedRuns {
		s.n /= 2
		s.sum /= 2
	}
	s.n++
	s.sum += math.Min(math.Max(logError, minimumSpeedError), maximumSpeedError)
	s.spread += (width/deviationsIn80 - s.spread) / math.Min(s.n, spreadRuns)
	s.lastUse = m.clock
}
