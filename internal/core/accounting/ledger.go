// Package accounting adds up what the work of each team and class has used of the machines. What a
// job has used is part of its record: a stay on a machine is charged by the very change that
// closes its placement, once and only once, whatever is lost, repeated or late. So the sums are
// a function of the committed records, and every node has the same.
package accounting

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// maxKeys are kept apart: users choose the names of classes.
const maxKeys = 1000

// Key is whose use it is.
type Key struct {
	Team, Class string
	Service     bool
}

// KeyOf tells whose account a job's use goes to.
func KeyOf(spec *wire.Job) Key { return Key{spec.Team, spec.Class, spec.Shape == wire.Service} }

// Ledger is the accounts of all.
type Ledger struct{ sums map[Key]job.ResourceUsage }

// Add charges an account. When there are too many, classes lose their names.
func (b *Ledger) Add(k Key, u job.ResourceUsage) {
	if u == (job.ResourceUsage{}) {
		return
	}
	if b.sums == nil {
		b.sums = map[Key]job.ResourceUsage{}
	}
	if _, had := b.sums[k]; !had && len(b.sums) >= maxKeys {
		k.Class = ""
	}
	if b.sums[k] = b.sums[k].Plus(u, 1); b.sums[k] == (job.ResourceUsage{}) {
		delete(b.sums, k)
	}
}

// Each calls f for each account, in order.
func (b *Ledger) Each(f func(Key, job.ResourceUsage)) {
	keys := slices.SortedFunc(maps.Keys(b.sums), func(x, y Key) int {
		return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.Class, y.Class), order(x.Service, y.Service))
	})
	for _, k := range keys {
		f(k, b.sums[k])
	}
}

func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Equal tells whether two books say the same.
func (b *Ledger) Equal(o *Ledger) bool { return maps.Equal(b.sums, o.sums) }

// RecentUse is what a charge still counts for in an average over a window, so long after it was
// made: the average of what was used is what decides between teams, not the sum of all times.
func RecentUse(charge float64, ago, window Micros) float64 {
	return charge / float64(window) * math.Exp(-float64(max(ago, 0))/float64(window))
}

// RunningUse is what something counts for there that has run for so long and still does.
func RunningUse(amount float64, since, window Micros) float64 {
	return amount * (1 - math.Exp(-float64(max(since, 0))/float64(window)))
}
