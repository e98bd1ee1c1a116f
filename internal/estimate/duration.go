package estimate

import "math"

// RandomDuration is a random duration, described by its mean in seconds and its variance in square seconds.
type RandomDuration struct{ Mean, Variance float64 }

// negligibleLogVariance is the variance of the logarithm below which a duration is treated as a constant.
const negligibleLogVariance = 1e-9

// Plus returns the sum of two independent durations.
func (d RandomDuration) Plus(other RandomDuration) RandomDuration {
	return RandomDuration{d.Mean + other.Mean, d.Variance + other.Variance}
}

// ProbabilityWithin returns the probability that the duration is at most the given number of seconds. Sums of run times
// are assumed to be lognormal (Fenton and Wilkinson).
func (d RandomDuration) ProbabilityWithin(seconds float64) float64 {
	if seconds <= 0 || d.Mean <= 0 {
		return 0
	}
	logVariance := math.Log(1 + d.Variance/(d.Mean*d.Mean))
	logMean := math.Log(d.Mean) - logVariance/2
	if logVariance < negligibleLogVariance {
		if math.Log(seconds) >= logMean {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-(math.Log(seconds)-logMean)/math.Sqrt(2*logVariance))
}

// sigmasBetweenDeciles is the distance between the 0.1 and the 0.9 quantile of a normal distribution, in standard
// deviations.
const sigmasBetweenDeciles = 2.563

// minimumQuantileSeconds is the lower bound of quantiles, so that their logarithms are defined.
const minimumQuantileSeconds = 0.01

// Longest returns the duration of the longest of n independent runs. It fits a lognormal distribution to the
// 0.1, 0.5 and 0.9 quantiles of the maximum.
func (a *RunTimeEstimate) Longest(n int) RandomDuration {
	root := 1 / float64(max(n, 1))
	quantile := func(p float64) float64 {
		return math.Max(float64(a.Quantile(math.Pow(p, root)))/microsPerSecond, minimumQuantileSeconds)
	}
	median := quantile(0.5)
	sigma := math.Log(quantile(0.9)/quantile(0.1)) / sigmasBetweenDeciles
	mean := median * math.Exp(sigma*sigma/2)
	return RandomDuration{mean, mean * mean * (math.Exp(sigma*sigma) - 1)}
}

// TotalDuration returns the duration of n runs of which concurrency run at a time, in consecutive waves.
// Each wave but the last adds the duration of one run; the last one adds that of the longest of concurrency runs.
func (a *RunTimeEstimate) TotalDuration(n, concurrency int) RandomDuration {
	concurrency = max(min(n, concurrency), 1)
	one := a.Longest(1)
	earlierWaves := float64((n+concurrency-1)/concurrency - 1)
	earlier := RandomDuration{float64(one.Mean * earlierWaves), float64(one.Variance * earlierWaves)}
	return earlier.Plus(a.Longest(concurrency))
}
