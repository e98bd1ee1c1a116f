package faulttest

import "fmt"

// measureMet is the only measure for which a higher value is better.
const measureMet = "met"

// Measures lists the names of the measures of a result. For all but measureMet, a lower value is better.
var Measures = []string{
	"start_p50", "start_p90", "done_p50", "done_p90", "submit_p99",
	"cpu", "memory", "requests", "changes", "machines", measureMet,
}

// measure returns the value of a measure in a result. For latencies this is the highest value of all
// classes.
func measure(name string, res *Result) (float64, error) {
	switch name {
	case "start_p50":
		return res.worstClass(func(c *ClassResult) float64 { return c.StartS.P50 }), nil
	case "start_p90":
		return res.worstClass(func(c *ClassResult) float64 { return c.StartS.P90 }), nil
	case "done_p50":
		return res.worstClass(func(c *ClassResult) float64 { return c.DoneS.P50 }), nil
	case "done_p90":
		return res.worstClass(func(c *ClassResult) float64 { return c.DoneS.P90 }), nil
	case "submit_p99":
		return res.worstClass(func(c *ClassResult) float64 { return c.SubmitMS.P99 }), nil
	case "cpu":
		return res.totalCPU(), nil
	case "memory":
		return res.peakMemory(), nil
	case "requests":
		return float64(res.Requests), nil
	case "changes":
		return float64(res.Changes), nil
	case "machines":
		return float64(res.Machines), nil
	case measureMet:
		return res.meanShare(), nil
	}
	return 0, fmt.Errorf("no measure named %q; known measures: %v", name, Measures)
}

func (r *Result) worstClass(value func(*ClassResult) float64) float64 {
	worst := 0.0
	for i := range r.Classes {
		worst = max(worst, value(&r.Classes[i]))
	}
	return worst
}

// totalCPU returns the CPU time of all nodes together, in seconds.
func (r *Result) totalCPU() float64 {
	total := 0.0
	for _, n := range r.Nodes {
		total += n.CPUS
	}
	return total
}

// peakMemory returns the highest peak memory of any node, in MB.
func (r *Result) peakMemory() float64 {
	peak := 0.0
	for _, n := range r.Nodes {
		peak = max(peak, n.PeakMB)
	}
	return peak
}

// meanShare returns the mean of the shares found for the expectations, or 0 if there are none.
func (r *Result) meanShare() float64 {
	sum := 0.0
	for _, f := range r.Findings {
		sum += f.Share
	}
	return sum / float64(max(len(r.Findings), 1))
}
