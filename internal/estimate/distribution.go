package estimate

import "math"

// probabilities are those whose quantiles a distribution keeps.
var probabilities = [...]float64{0.025, 0.1, 0.25, 0.5, 0.75, 0.9, 0.975}

// medianIndex is the index of the median in probabilities.
const medianIndex = 3

// distribution is a distribution of the logarithm of a run time, or of its error, given by
// its quantiles at probabilities.
type distribution [len(probabilities)]float64

// defaultUserErrors is the distribution of the errors of users' estimates that is assumed
// before any was observed.
var defaultUserErrors = distribution{-1.6, -1, -0.5, 0, 0.5, 1, 1.6}

const (
	// minTail is the least width of a tail, in natural logarithms: a distribution that
	// is a single point has tails too.
	minTail = 0.02
	// minProbability is the distance from 0 and 1 that a quantile's probability is kept at.
	minProbability = 1e-6
)

// lowerTail returns how far the distribution goes on below the lowest quantile for each
// halving of the remaining probability: from 0.1 to 0.025 there are two halvings.
func (d *distribution) lowerTail() float64 {
	return math.Max((d[1]-d[0])/2, minTail)
}

// upperTail returns the same above the highest quantile.
func (d *distribution) upperTail() float64 {
	last := len(d) - 1
	return math.Max((d[last]-d[last-1])/2, minTail)
}

// quantile interpolates between the kept quantiles; beyond them the tails fall off
// exponentially.
func (d *distribution) quantile(p float64) float64 {
	p = math.Min(math.Max(p, minProbability), 1-minProbability)
	last := len(probabilities) - 1
	switch {
	case p <= probabilities[0]:
		return d[0] + d.lowerTail()*math.Log2(p/probabilities[0])
	case p >= probabilities[last]:
		return d[last] + d.upperTail()*math.Log2((1-probabilities[last])/(1-p))
	}
	i := 1
	for probabilities[i] < p {
		i++
	}
	return d[i-1] + (d[i]-d[i-1])*(p-probabilities[i-1])/(probabilities[i]-probabilities[i-1])
}

// probabilityBelow returns the probability of a value less than y.
func (d *distribution) probabilityBelow(y float64) float64 {
	last := len(probabilities) - 1
	switch {
	case y <= d[0]:
		return probabilities[0] * math.Exp2((y-d[0])/d.lowerTail())
	case y >= d[last]:
		return 1 - (1-probabilities[last])*math.Exp2(-(y-d[last])/d.upperTail())
	}
	i := 1
	for d[i] < y {
		i++
	}
	if d[i] == d[i-1] {
		return probabilities[i]
	}
	return probabilities[i-1] + (probabilities[i]-probabilities[i-1])*(y-d[i-1])/(d[i]-d[i-1])
}
