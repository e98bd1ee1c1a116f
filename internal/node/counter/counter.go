// Package counter counts events for metrics, as totals, and for the debug log, by interval.
package counter

import "sync/atomic"

// Counter counts events. All methods but Since may be called from any goroutine.
type Counter struct {
	total    atomic.Int64
	reported int64
}

// Add counts one event.
func (c *Counter) Add() { c.total.Add(1) }

// AddN counts n events.
func (c *Counter) AddN(n int) { c.total.Add(int64(n)) }

// Total returns the number of events since the process began.
func (c *Counter) Total() float64 { return float64(c.total.Load()) }

// Since returns the number of events since it was last called. One goroutine may call it.
func (c *Counter) Since() int64 {
	total := c.total.Load()
	since := total - c.reported
	c.reported = total
	return since
}
