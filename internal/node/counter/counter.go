// Package counter counts events: as totals for metrics, and per interval for the debug log.
package counter

import "sync/atomic"

// Counter counts events. All methods except Delta are safe for concurrent use.
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

// Delta returns the number of events since its last call. It is not safe for concurrent use.
func (c *Counter) Delta() int64 {
	total := c.total.Load()
	delta := total - c.reported
	c.reported = total
	return delta
}
