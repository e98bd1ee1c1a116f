// Package accounting sums the machine resources used by the tasks of each team and class. The usage of a job
// is part of its record: the change that closes a placement also charges its time, so that it is charged exactly
// once even if messages are lost, duplicated or delayed. The sums are therefore a function of the committed
// records, and every node computes the same ones.
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

// maxAccounts bounds the number of accounts, because users choose the names of classes.
const maxAccounts = 1000

// Key names an account: the use of a team's class, as batch jobs or as services.
type Key struct {
	Team, Class string
	Service     bool
}

// KeyOf returns the account to which the use of a job is charged.
func KeyOf(spec *wire.Job) Key { return Key{spec.Team, spec.Class, spec.Shape == wire.Service} }

// Ledger holds all accounts. Its zero value is empty.
type Ledger struct{ sums map[Key]job.ResourceUsage }

// Add charges an account. Once there are maxAccounts accounts, the use of further classes is charged to the team's
// account without a class.
func (l *Ledger) Add(k Key, u job.ResourceUsage) {
	if u == (job.ResourceUsage{}) {
		return
	}
	if l.sums == nil {
		l.sums = map[Key]job.ResourceUsage{}
	}
	if _, exists := l.sums[k]; !exists && len(l.sums) >= maxAccounts {
		k.Class = ""
	}
	l.sums[k] = l.sums[k].Plus(u, 1)
	if l.sums[k] == (job.ResourceUsage{}) {
		delete(l.sums, k)
	}
}

// Each calls f for each account, ordered by team, then class, then batch jobs before services.
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

// RecentUse returns the contribution of a charge, made some time ago, to an exponentially decaying average over a
// window. Fair share is based on the average use, not on the total of all time.
func RecentUse(charge float64, ago, window Micros) float64 {
	return float64(charge / float64(window) * math.Exp(-float64(max(ago, 0))/float64(window)))
}

// RunningUse returns the contribution to that average of a running task that has used an amount for the given duration.
func RunningUse(amount float64, duration, window Micros) float64 {
	return float64(amount * (1 - math.Exp(-float64(max(duration, 0))/float64(window))))
}
