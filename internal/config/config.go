// Package config reads what a node is told at its start: the platform's file (TOML) and the operators' settings (JSON).
package config

import "math"

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// FromSeconds converts an amount of seconds.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * 1e6)) }

// FromMillis converts an amount of milliseconds.
func FromMillis(ms float64) Micros { return Micros(math.Round(ms * 1e3)) }

// Config is everything that a node is told at its start.
type Config struct {
	Platform
	Settings Settings
}

// WorkerTimeout returns how long a worker may send no message before its machine is deleted. Unless the operators set
// it, it is a few heartbeat intervals, but no less than half the worker's lease.
func (c *Config) WorkerTimeout() Micros {
	if s := c.Settings.WorkerTimeoutS; s > 0 {
		return FromSeconds(s)
	}
	w := &c.Cluster.Workers
	return max(FromSeconds(w.LeaseS)/2, FromSeconds(2.5*w.ReportS)+2*Second)
}
