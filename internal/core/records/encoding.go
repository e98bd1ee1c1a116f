package records

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

const (
	// valueSlackBytes is how far values stay below the limit of the key-value store.
	valueSlackBytes = 32
	// minValueBytes is the lower bound of a reduced value limit.
	minValueBytes = 1024
	// minWriteShare bounds the interval between writes when a share is tiny.
	minWriteShare = 0.01
)

// FormatKey is the key of the format in force.
const FormatKey = job.KeyRoot + "format"

// Encoding determines how values are encoded: the format in force, and the size limits of the
// key-value store.
type Encoding struct {
	Format  job.Format // as far as this node knows
	Version uint64     // of FormatKey, 0 if it does not exist

	state        *config.State
	reducedLimit int // upper bound of values in bytes, 0 if there is none
}

// NewEncoding returns the first format within the limits of a key-value store.
func NewEncoding(state *config.State) *Encoding {
	return &Encoding{Format: job.FormatPlacements, state: state}
}

// Condition returns a condition that fails a transaction unless the format that this node knows is
// in force.
func (e *Encoding) Condition() wire.Condition {
	return wire.Condition{Key: FormatKey, Version: e.Version}
}

// UpgradePending reports whether the format is older than the newest one.
func (e *Encoding) UpgradePending() bool { return e.Format < job.NewestFormat }

func (e *Encoding) valueLimit() int {
	if e.reducedLimit > 0 {
		return min(e.state.ValueBytes(), e.reducedLimit)
	}
	return e.state.ValueBytes()
}

// MaxValueBytes returns how large a value may be. It respects the present limit of the key-value
// store as well as announced ones, since it is not known when they take effect.
func (e *Encoding) MaxValueBytes() int { return e.valueLimit() - valueSlackBytes }

// Fits reports whether an encoded value is small enough to be put.
func (e *Encoding) Fits(value []byte) bool { return wire.JSONSize(value) <= e.MaxValueBytes() }

// MaxOps returns how many changes a transaction may have.
func (e *Encoding) MaxOps() int { return e.state.Ops() }

// ReduceMaxValueBytes lowers the limit of values by a quarter, down to a bound. It is called when
// the key-value store has rejected a transaction as malformed.
func (e *Encoding) ReduceMaxValueBytes() { e.reducedLimit = max(minValueBytes, e.valueLimit()*3/4) }

// IntervalForShare returns the time between writes that may take a share, from 0 to 1, of the write rate.
func (e *Encoding) IntervalForShare(share float64) Micros {
	return config.FromSeconds(1 / max(minWriteShare, share*e.state.LeastWriteRPS()))
}
