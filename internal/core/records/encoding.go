package records

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

const (
	// valueSlackBytes is the margin between the largest value and the limit of the state service.
	valueSlackBytes = 32
	// minValueBytes is the lower bound of a reduced value limit.
	minValueBytes = 1024
	// minWritesPerSecond is the lower bound of the rate in IntervalForShare. It limits the interval when the
	// share of the write rate is tiny.
	minWritesPerSecond = 0.01
)

// FormatKey is the key of the format in force.
const FormatKey = job.KeyRoot + "format"

// Encoding determines how values are encoded: the format in force, and the size limits of the state
// service.
type Encoding struct {
	Format  job.Format // format in force, as last observed by this node
	Version uint64     // version of FormatKey, 0 if it does not exist

	state        *config.State
	reducedLimit int // limit of values in bytes set by ReduceMaxValueBytes, 0 if it was not called
}

// NewEncoding returns an Encoding with the first format and the limits of the state service.
func NewEncoding(state *config.State) *Encoding {
	return &Encoding{Format: job.FormatPlacements, state: state}
}

// Condition returns a condition that fails a transaction unless Format is still in force.
func (e *Encoding) Condition() wire.Condition {
	return wire.Condition{Key: FormatKey, Version: e.Version}
}

// UpgradePending reports whether the format is older than the newest one.
func (e *Encoding) UpgradePending() bool { return e.Format < job.NewestFormat }

func (e *Encoding) valueLimit() int {
	if e.reducedLimit > 0 {
		return min(e.state.MaxValueBytes(), e.reducedLimit)
	}
	return e.state.MaxValueBytes()
}

// MaxValueBytes returns the maximum size of a value. It respects the current limit of the state service
// and the next one, since it is not known when that takes effect.
func (e *Encoding) MaxValueBytes() int { return e.valueLimit() - valueSlackBytes }

// Fits reports whether an encoded value is small enough to be put.
func (e *Encoding) Fits(value []byte) bool { return wire.JSONSize(value) <= e.MaxValueBytes() }

// MaxOps returns the maximum number of changes in a transaction.
func (e *Encoding) MaxOps() int { return e.state.MaxTxnOps() }

// ReduceMaxValueBytes lowers the size limit of values by a quarter, but not below minValueBytes. It is
// called when the state service has rejected a transaction as malformed.
func (e *Encoding) ReduceMaxValueBytes() { e.reducedLimit = max(minValueBytes, e.valueLimit()*3/4) }

// IntervalForShare returns the time between writes that together use the given share, from 0 to 1, of
// the state service's write rate.
func (e *Encoding) IntervalForShare(share float64) Micros {
	return config.FromSeconds(1 / max(minWritesPerSecond, share*e.state.MinWriteRPS()))
}
