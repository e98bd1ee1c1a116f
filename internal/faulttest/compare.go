package faulttest

import (
	"math"
	"slices"
)

// Verdicts of a comparison.
const (
	Better = "better"
	Worse  = "worse"
	Noise  = "noise"
)

// Comparison is a measure of a variant, compared with that of the first variant.
type Comparison struct {
	Variant string    `json:"variant"`
	Measure string    `json:"measure"`
	Values  []float64 `json:"values"` // by seed
	Median  float64   `json:"median"`
	Spread  float64   `json:"spread"`  // between the quartiles
	Against float64   `json:"against"` // median of the ratios to the first variant, pair by pair
	Verdict string    `json:"verdict"`
}

// Table is the result of an experiment.
type Table struct {
	Name   string       `json:"name"`
	Rows   []Comparison `json:"rows"`
	Failed []string     `json:"failed,omitempty"` // runs that did not pass, and why
}

const (
	// leastRatio is the relative difference below which nothing is called better or worse.
	leastRatio = 0.05
	// significance is the highest probability of a difference by chance at which it still counts.
	significance = 0.1
)

// compare compares a variant with the first one, pair by pair, and sets the verdict: it is better or worse if the median
// ratio differs from 1 by leastRatio at least, and the signs of the pairs would come about by chance
// with a probability of significance at most (sign test).
func compare(c *Comparison, first []float64, moreIsBetter bool) {
	var ratios []float64
	above, below := 0, 0
	for i, v := range c.Values {
		if first[i] > 0 {
			ratios = append(ratios, v/first[i])
		}
		switch {
		case v > first[i]:
			above++
		case v < first[i]:
			below++
		}
	}
	c.Median = median(c.Values)
	c.Against = median(ratios)
	sorted := slices.Sorted(slices.Values(c.Values))
	c.Spread = sorted[len(sorted)*3/4] - sorted[len(sorted)/4]
	c.Verdict = Noise
	if math.Abs(c.Against-1) < leastRatio || signTest(above, below) > significance {
		return
	}
	c.Verdict = Worse
	if (c.Against > 1) == moreIsBetter {
		c.Verdict = Better
	}
}

// signTest is the probability of signs that are at least as one-sided if both signs are equally
// likely (two-sided sign test).
func signTest(above, below int) float64 {
	pairs := above + below
	extreme := max(above, below)
	if pairs == 0 {
		return 1
	}
	sum := 0.0
	probability := math.Exp2(-float64(pairs)) // of i signs of one kind
	for i := 0; i <= pairs; i++ {
		if i >= extreme || i <= pairs-extreme {
			sum += probability
		}
		probability *= float64(pairs-i) / float64(i+1)
	}
	return min(sum, 1)
}

// median is the median of values; 1 if there are none, as of ratios.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
