// Package quantile summarises histograms of times by quantiles.
package quantile

import "github.com/HdrHistogram/hdrhistogram-go"

// Times are quantiles of measured times, in the unit that was passed to Of.
type Times struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Of returns the quantiles of a histogram of microseconds, or zeros if it is empty. perSecond is the
// number of units of the result per second: 1 for seconds, 1000 for milliseconds.
func Of(h *hdrhistogram.Histogram, perSecond float64) Times {
	if h.TotalCount() == 0 {
		return Times{}
	}
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 * perSecond }
	return Times{q(50), q(90), q(99), float64(h.Max()) / 1e6 * perSecond}
}
