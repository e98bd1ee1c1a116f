// Package config reads the configuration of a node: the platform file (TOML) and the operators' settings (JSON).
package config

import "math"

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// maxDuration bounds converted durations, to 285 years: sums and small multiples of them and of times are within the
// range of Micros.
const maxDuration = 1 << 53

// FromSeconds converts seconds to Micros, rounded to the nearest microsecond. A duration above 0 is at least a
// microsecond: 0 often means that there is none. A duration beyond maxDuration, positive or negative, is maxDuration
// long, and NaN is 0.
func FromSeconds(s float64) Micros { return roundMicros(s * 1e6) }

// FromMillis converts milliseconds to Micros, rounded in the same way as by FromSeconds.
func FromMillis(ms float64) Micros { return roundMicros(ms * 1e3) }

func roundMicros(micros float64) Micros {
	if math.IsNaN(micros) {
		return 0
	}
	rounded := Micros(math.Round(min(max(micros, -maxDuration), maxDuration)))
	if micros > 0 {
		return max(rounded, 1)
	}
	return rounded
}

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
