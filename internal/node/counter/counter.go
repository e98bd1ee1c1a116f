// Package counter counts what adapters do, for whoever asks for totals and for the debug
// log, which tells what has come since its last line.
package counter

import "sync/atomic"

// Counter counts from any goroutine.
type Counter struct {
	total    atomic.Int64
	reported int64
}

// Add counts one more.
func (c *Counter) Add() { c.total.Add(1) }

// AddN counts n more.
func (c *Counter) AddN(n int) { c.total.Add(int64(n)) }

// Total is how many there were.
func (c *Counter) Total() float64 { return float64(c.total.Load()) }

// Since is how many there were since it was last asked. One goroutine may ask.
func (c *Counter) Since() int64 {
	n := c.total.Load()
	since := n - c.reported
	c.reported = n
	return since
}
