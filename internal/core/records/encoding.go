package records

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// slackBytes is what values stay below the state service's limit.
const slackBytes = 32

// minValueBytes is what values are never made smaller than.
const minValueBytes = 1024

// Encoding is how what is written has to look: the format in force, and how much the state
// service takes.
type Encoding struct {
	Format  job.Format // as far as this node knows
	Version uint64     // of the key that says so; 0: there is none

	state        *config.State
	reducedLimit int // values stay below this, if it isn't 0
}

// NewEncoding returns the first format within the limits of a state service.
func NewEncoding(state *config.State) *Encoding {
	return &Encoding{Format: job.FormatPlacements, state: state}
}

// FormatKey is where the format is.
const FormatKey = job.KeyRoot + "format"

// Condition has a transaction fail unless the format is the one that this node knows.
func (f *Encoding) Condition() wire.Condition {
	return wire.Condition{Key: FormatKey, Version: f.Version}
}

// UpgradePending tells whether the format is still to be raised.
func (f *Encoding) UpgradePending() bool { return f.Format < job.NewestFormat }

func (f *Encoding) valueLimit() int {
	if f.reducedLimit > 0 {
		return min(f.state.ValueBytes(), f.reducedLimit)
	}
	return f.state.ValueBytes()
}

// MaxValueBytes is how large a value may be: within the limits that the state service has
// and those that it will have, since nobody tells when they change.
func (f *Encoding) MaxValueBytes() int { return f.valueLimit() - slackBytes }

// Fits tells whether an encoded value may be put.
func (f *Encoding) Fits(value []byte) bool { return wire.JSONSize(value) <= f.MaxValueBytes() }

// MaxOps is how many changes a transaction may have.
func (f *Encoding) MaxOps() int { return f.state.Ops() }

// ReduceMaxValueBytes has values become smaller, down to a bound: the state service has refused one
// as malformed.
func (f *Encoding) ReduceMaxValueBytes() { f.reducedLimit = max(minValueBytes, f.valueLimit()*3/4) }

// IntervalForShare is the time between changes that may take a share of all changes.
func (f *Encoding) IntervalForShare(share float64) Micros {
	return config.FromSeconds(1 / max(0.01, share*f.state.LeastWriteRPS()))
}
