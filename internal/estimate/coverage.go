package estimate

import "strings"

// coverage counts how many recent outcomes were inside the intervals predicted for them.
type coverage struct {
	outcomes float64
	covered  [3]float64
	lastUse  uint64
}

// coverageWindow is the number of outcomes at which the counts are halved, so that recent outcomes have the most
// weight.
const coverageWindow = 128

// recordCoverage records whether an outcome of the class was inside the intervals predicted for it, given its error and
// the distribution of errors from which the intervals were derived.
func (m *Model) recordCoverage(class string, logError float64, errors *distribution) {
	c := m.coverage[class]
	if c == nil {
		evictOldest(m.coverage, m.settings.MaxGroups, func(c *coverage) uint64 { return c.lastUse }, strings.Compare)
		c = &coverage{}
		m.coverage[class] = c
	}
	c.lastUse = m.clock
	c.record(logError, errors)
}

func (c *coverage) record(logError float64, errors *distribution) {
	if c.outcomes >= coverageWindow {
		c.outcomes /= 2
		for i := range c.covered {
			c.covered[i] /= 2
		}
	}
	c.outcomes++
	for i := range c.covered {
		if logError >= errors[medianIndex-1-i] && logError <= errors[medianIndex+1+i] {
			c.covered[i]++
		}
	}
}

// fractions returns the observed coverage of each interval, or -1 if fewer than minimumSamples outcomes were recorded.
func (c *coverage) fractions() [3]float64 {
	var fractions [3]float64
	for i := range fractions {
		fractions[i] = -1
		if c.outcomes >= minimumSamples {
			fractions[i] = c.covered[i] / c.outcomes
		}
	}
	return fractions
}
