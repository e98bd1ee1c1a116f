// Package counter counts events: as totals for metrics, and per interval for the debug log.
package counter

import "sync/atomic"

// Counter counts events. All methods except Since are safe for concurrent use.
type Counter struct {
	total    atomic.Int64
	reported int64
}

// Add counts one event.
func (c *Counter) Add() { c.total.Add(1) }

// AddN counts n events.
func (c *Counter) AddN(n int) { c.total.Add(int64(n)) }

// Total returns the number of events since the start of the process.
func (c *Counter) Total() float64 { return float64(c.total.Load()) }

// Since returns the number of events since its last call. It is not safe for concurrent use.
func (c *Counter) Since() int64 {
	total := c.total.Load()
	since := total - c.reported
	c.reported = total
	return since
}
