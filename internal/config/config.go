// Package config reads the configuration of a node: the platform file (TOML) and the operators' settings (JSON).
package config

import "math"

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// FromSeconds converts seconds to Micros, rounded to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * 1e6)) }

// FromMillis converts milliseconds to Micros, rounded to the nearest microsecond.
func FromMillis(ms float64) Micros { return Micros(math.Round(ms * 1e3)) }

// Config is the configuration with which a node starts.
type Config struct {
	Platform
	Settings Settings
}

// WorkerTimeout returns how long a worker may send no message before its machine is deleted. Unless the operators set
// it, it is two and a half heartbeat intervals and 2 s, but no less than half the worker's lease.
func (c *Config) WorkerTimeout() Micros {
	if s := c.Settings.WorkerTimeoutS; s > 0 {
		return FromSeconds(s)
	}
	w := &c.Cluster.Workers
	return max(FromSeconds(w.LeaseS)/2, FromSeconds(2.5*w.ReportS)+2*Second)
}
