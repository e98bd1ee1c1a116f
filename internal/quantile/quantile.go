// Package quantile summarises measured times by quantiles.
package quantile

import "github.com/HdrHistogram/hdrhistogram-go"

// Times are quantiles of measured times; their unit is up to the user.
type Times struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Of returns the quantiles of a histogram of microseconds, in the unit of which there are
// perSecond in a second: 1 for seconds, 1000 for milliseconds.
func Of(h *hdrhistogram.Histogram, perSecond float64) Times {
	if h.TotalCount() == 0 {
		return Times{}
	}
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e6 * perSecond }
	return Times{q(50), q(90), q(99), float64(h.Max()) / 1e6 * perSecond}
}
