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

// SilenceLimit is how long a worker may say nothing before its machine is deleted:
// a few reports, and no less than half its lease.
func (c *Config) SilenceLimit() Micros {
	if s := c.Settings.SilentScaleInS; s > 0 {
		return FromSeconds(s)
	}
	w := &c.Cluster.Workers
	return max(FromSeconds(w.LeaseS)/2, FromSeconds(2.5*w.ReportS)+2*Second)
}
