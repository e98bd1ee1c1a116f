package preemption

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/core/job"
)

// CountsKey is where the tally is.
const CountsKey = KeyPrefix + "tally"

// maxCountRows bounds the rows of a tally: users choose the names of classes.
const maxCountRows = 60

// Pair is whose work yielded to whose, by which right.
type Pair struct {
	Preemptor, Victim string // classes
	Reason            Reason
}

// countRow is a row as it is stored.
type countRow struct {
	//lint:ignore U1000 read by the encoder: a row is a list, to be short
	_msgpack          struct{} `msgpack:",as_array"`
	Preemptor, Victim string
	Reason            Reason
	Tasks             uint64
}

// Counts counts the tasks that yielded, since the cluster began.
type Counts struct {
	version uint64
	tasks   map[Pair]uint64
}

// Add counts tasks that yielded. When there are too many kinds, classes lose their names.
func (t *Counts) Add(y Pair, tasks int) {
	if t.tasks == nil {
		t.tasks = map[Pair]uint64{}
	}
	if _, had := t.tasks[y]; !had && len(t.tasks) >= maxCountRows {
		y.Preemptor, y.Victim = "", ""
	}
	t.tasks[y] += uint64(tasks)
}

// Each calls f for each row, the largest first.
func (t *Counts) Each(f func(Pair, uint64)) {
	keys := slices.SortedFunc(maps.Keys(t.tasks), func(a, b Pair) int {
		return cmp.Or(cmp.Compare(t.tasks[b], t.tasks[a]), cmp.Compare(a.Preemptor, b.Preemptor), cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Reason, b.Reason))
	})
	for _, k := range keys {
		f(k, t.tasks[k])
	}
}

// Version is the stored one's.
func (t *Counts) Version() uint64 { return t.version }

// Value is the tally as it is stored, the smallest rows left out if it doesn't fit; nil: nothing
// fits.
func (t *Counts) Value(fits func([]byte) bool) []byte {
	var rows []countRow
	t.Each(func(y Pair, n uint64) {
		rows = append(rows, countRow{Preemptor: y.Preemptor, Victim: y.Victim, Reason: y.Reason, Tasks: n})
	})
	for n := len(rows); n > 0; n /= 2 {
		if raw, err := job.Encode(rows[:n]); err == nil && fits(raw) {
			return raw
		}
	}
	return nil
}

// Apply takes the stored tally, for those who don't count themselves.
func (t *Counts) Apply(version uint64, value []byte) error {
	if version <= t.version {
		return nil
	}
	var rows []countRow
	if err := job.Decode(value, &rows); err != nil {
		return err
	}
	t.version, t.tasks = version, map[Pair]uint64{}
	for _, r := range rows {
		t.tasks[Pair{r.Preemptor, r.Victim, r.Reason}] = r.Tasks
	}
	return nil
}

// Written notes that the present state is stored.
func (t *Counts) Written(version uint64) { t.version = max(t.version, version) }
