package estimate

import "strings"

// coverage counts which part of recent outcomes fell into the intervals stated for them.
type coverage struct {
	stated  float64
	covered [3]float64
	lastUse uint64
}

// coverageWindow is the number of outcomes at which the counts are halved, so that recent
// ones weigh most.
const coverageWindow = 128

// recordCoverage records whether an outcome fell into the intervals stated for it, given
// its error and the distribution of errors that the intervals were made of.
func (m *Model) recordCoverage(class string, logError float64, errors *distribution) {
	c := m.coverage[class]
	if c == nil {
		evictOldest(m.coverage, m.settings.Groups, func(c *coverage) uint64 { return c.lastUse }, strings.Compare)
		c = &coverage{}
		m.coverage[class] = c
	}
	c.lastUse = m.clock
	c.record(logError, errors)
}

func (c *coverage) record(logError float64, errors *distribution) {
	if c.stated >= coverageWindow {
		c.stated /= 2
		for i := range c.covered {
			c.covered[i] /= 2
		}
	}
	c.stated++
	for i := range c.covered {
		if logError >= errors[medianIndex-1-i] && logError <= errors[medianIndex+1+i] {
			c.covered[i]++
		}
	}
}

// fractions returns the covered fraction for each interval, or -1 if too few outcomes
// were recorded.
func (c *coverage) fractions() [3]float64 {
	var fractions [3]float64
	for i := range fractions {
		fractions[i] = -1
		if c.stated >= minimumSamples {
			fractions[i] = c.covered[i] / c.stated
		}
	}
	return fractions
}
