package records

import (
	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// slackBytes is what values stay below the state service's limit.
const slackBytes = 32

// leastBytes is what values are never made smaller than.
const leastBytes = 1024

// Form is how what is written has to look: the format in force, and how much the state
// service takes.
type Form struct {
	Format  job.Format // as far as this node knows
	Version uint64     // of the key that says so; 0: there is none

	state *config.State
	tight int // values stay below this, if it isn't 0
}

// NewForm returns the first format within the limits of a state service.
func NewForm(state *config.State) *Form { return &Form{Format: job.Placements, state: state} }

// FormatKey is where the format is.
const FormatKey = job.Root + "format"

// Guard has a transaction fail unless the format is the one that this node knows.
func (f *Form) Guard() wire.Guard { return wire.Guard{Key: FormatKey, Version: f.Version} }

// Upgrading tells whether the format is still to be raised.
func (f *Form) Upgrading() bool { return f.Format < job.Newest }

func (f *Form) most() int {
	if f.tight > 0 {
		return min(f.state.ValueBytes(), f.tight)
	}
	return f.state.ValueBytes()
}

// Room is how large a value may be: within the limits that the state service has
// and those that it will have, since nobody tells when they change.
func (f *Form) Room() int { return f.most() - slackBytes }

// Fits tells whether an encoded value may be put.
func (f *Form) Fits(value []byte) bool { return wire.JSONSize(value) <= f.Room() }

// Ops is how many changes a transaction may have.
func (f *Form) Ops() int { return f.state.Ops() }

// Tighten has values become smaller, down to a bound: the state service has refused one
// as malformed.
func (f *Form) Tighten() { f.tight = max(leastBytes, f.most()*3/4) }

// Pause is the time between changes that may take a share of all changes.
func (f *Form) Pause(share float64) Micros {
	return config.FromSeconds(1 / max(0.01, share*f.state.LeastWriteRPS()))
}
