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

// Comparison holds the values of one measure for a variant and compares them with those of the first
// variant, the baseline.
type Comparison struct {
	Variant     string    `json:"variant"`
	Measure     string    `json:"measure"`
	Values      []float64 `json:"values"` // one per seed
	Median      float64   `json:"median"`
	Spread      float64   `json:"spread"`  // interquartile range
	MedianRatio float64   `json:"against"` // median of the pairwise ratios to the baseline
	Verdict     string    `json:"verdict"`
}

// Table is the result of an experiment.
type Table struct {
	Name   string       `json:"name"`
	Rows   []Comparison `json:"rows"`
	Failed []string     `json:"failed,omitempty"` // runs that did not pass, with the reasons
}

const (
	// minRelativeDifference is the relative difference below which the verdict is always Noise.
	minRelativeDifference = 0.05
	// maxChanceProbability is the significance level of the sign test: above it, the verdict is Noise.
	maxChanceProbability = 0.1
)

// compare compares the values of a variant with the baseline values of the same seeds and sets the
// remaining fields of c. The verdict is Better or Worse if the median ratio differs from 1 by at least
// minRelativeDifference and the sign test returns at most maxChanceProbability; otherwise it is Noise.
func compare(c *Comparison, baseline []float64, moreIsBetter bool) {
	var ratios []float64
	above, below := 0, 0
	for i, v := range c.Values {
		if baseline[i] > 0 {
			ratios = append(ratios, v/baseline[i])
		}
		switch {
		case v > baseline[i]:
			above++
		case v < baseline[i]:
			below++
		}
	}
	c.Median = median(c.Values)
	c.MedianRatio = median(ratios)
	sorted := slices.Sorted(slices.Values(c.Values))
	c.Spread = sorted[len(sorted)*3/4] - sorted[len(sorted)/4]
	c.Verdict = Noise
	if math.Abs(c.MedianRatio-1) < minRelativeDifference || signTest(above, below) > maxChanceProbability {
		return
	}
	c.Verdict = Worse
	if (c.MedianRatio > 1) == moreIsBetter {
		c.Verdict = Better
	}
}

// signTest returns the p-value of the two-sided sign test: the probability of a split at least as one-sided
// as above to below if both signs are equally likely.
func signTest(above, below int) float64 {
	pairs := above + below
	extreme := max(above, below)
	if pairs == 0 {
		return 1
	}
	sum := 0.0
	probability := math.Exp2(-float64(pairs)) // of exactly i signs of one kind
	for i := 0; i <= pairs; i++ {
		if i >= extreme || i <= pairs-extreme {
			sum += probability
		}
		probability *= float64(pairs-i) / float64(i+1)
	}
	return min(sum, 1)
}

// median returns the median of values. It returns 1, a neutral ratio, if there are none.
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
