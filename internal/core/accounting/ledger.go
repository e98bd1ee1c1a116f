// Package accounting adds up what the tasks of each team and class have used of the machines. What a job
// has used is part of its record: the time of a placement is charged by the same change that closes it, once
// and only once, whatever is lost, repeated or late. So the sums are a function of the committed records, and
// every node computes the same ones.
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

// maxKeys bounds the number of accounts: users choose the names of classes.
const maxKeys = 1000

// Key names an account: the use of a team's class, as batch jobs or as services.
type Key struct {
	Team, Class string
	Service     bool
}

// KeyOf returns the account to which the use of a job is charged.
func KeyOf(spec *wire.Job) Key { return Key{spec.Team, spec.Class, spec.Shape == wire.Service} }

// Ledger holds all accounts. Its zero value is empty.
type Ledger struct{ sums map[Key]job.ResourceUsage }

// Add charges an account. When there are too many accounts, the use of further classes is charged to one
// without a class.
func (l *Ledger) Add(k Key, u job.ResourceUsage) {
	if u == (job.ResourceUsage{}) {
		return
	}
	if l.sums == nil {
		l.sums = map[Key]job.ResourceUsage{}
	}
	if _, exists := l.sums[k]; !exists && len(l.sums) >= maxKeys {
		k.Class = ""
	}
	l.sums[k] = l.sums[k].Plus(u, 1)
	if l.sums[k] == (job.ResourceUsage{}) {
		delete(l.sums, k)
	}
}

// Each calls f for each account, ordered by team, class and kind.
func (l *Ledger) Each(f func(Key, job.ResourceUsage)) {
	keys := slices.SortedFunc(maps.Keys(l.sums), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class), compareBool(a.Service, b.Service))
	})
	for _, k := range keys {
		f(k, l.sums[k])
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Equal reports whether two ledgers hold the same accounts.
func (l *Ledger) Equal(other *Ledger) bool { return maps.Equal(l.sums, other.sums) }

// RecentUse is what a charge still contributes to an exponentially decaying average over a window, some
// time after it was made: fair share is decided by the average use, not by the sum of all times.
func RecentUse(charge float64, ago, window Micros) float64 {
	return charge / float64(window) * math.Exp(-float64(max(ago, 0))/float64(window))
}

// RunningUse is what a task contributes to that average that has used an amount for some time and still does.
func RunningUse(amount float64, since, window Micros) float64 {
	return amount * (1 - math.Exp(-float64(max(since, 0))/float64(window)))
}
