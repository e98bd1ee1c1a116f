// Package count counts what adapters do, for whoever asks for totals and for the debug
// log, which tells what has come since its last line.
package count

import "sync/atomic"

// Counter counts from any goroutine.
type Counter struct {
	n    atomic.Int64
	told int64
}

// Add counts one more.
func (c *Counter) Add() { c.n.Add(1) }

// AddN counts n more.
func (c *Counter) AddN(n int) { c.n.Add(int64(n)) }

// Total is how many there were.
func (c *Counter) Total() float64 { return float64(c.n.Load()) }

// Since is how many there were since it was last asked. One goroutine may ask.
func (c *Counter) Since() int64 {
	n := c.n.Load()
	since := n - c.told
	c.told = n
	return since
}
