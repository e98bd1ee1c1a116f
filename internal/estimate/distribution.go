package estimate

import "math"

// probabilities are the probabilities at which a distribution holds its quantiles.
var probabilities = [...]float64{0.025, 0.1, 0.25, 0.5, 0.75, 0.9, 0.975}

// medianIndex is the index of the median in probabilities.
const medianIndex = 3

// distribution is the distribution of the logarithm of a run time, or of the error of such a logarithm, represented by
// its quantiles at probabilities.
type distribution [len(probabilities)]float64

// defaultUserErrors is the distribution of the errors of users' estimates that is assumed until errors are observed.
var defaultUserErrors = distribution{-1.6, -1, -0.5, 0, 0.5, 1, 1.6}

const (
	// minTail is the least width of a tail per halving of the probability, in natural logarithms. It gives tails to a
	// distribution that is a single point.
	minTail = 0.02
	// minProbability is the least distance of a quantile's probability from 0 and 1; closer ones are clamped.
	minProbability = 1e-6
)

// lowerTail returns by how much a value below the lowest quantile decreases for each halving of its probability. It is
// extrapolated from the two lowest quantiles: from 0.1 to 0.025 there are two halvings.
func (d *distribution) lowerTail() float64 {
	return math.Max((d[1]-d[0])/2, minTail)
}

// upperTail is the counterpart of lowerTail above the highest quantile.
func (d *distribution) upperTail() float64 {
	last := len(d) - 1
	return math.Max((d[last]-d[last-1])/2, minTail)
}

// quantile returns the quantile at probability p. It interpolates linearly between the stored quantiles; beyond them
// the tails are exponential.
func (d *distribution) quantile(p float64) float64 {
	p = math.Min(math.Max(p, minProbability), 1-minProbability)
	last := len(probabilities) - 1
	switch {
	case p <= probabilities[0]:
		return d[0] + float64(d.lowerTail()*math.Log2(p/probabilities[0]))
	case p >= probabilities[last]:
		return d[last] + float64(d.upperTail()*math.Log2((1-probabilities[last])/(1-p)))
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
		return 1 - float64((1-probabilities[last])*math.Exp2(-(y-d[last])/d.upperTail()))
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
