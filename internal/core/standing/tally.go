package standing

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/core/job"
)

// TallyKey is where the tally is.
const TallyKey = Prefix + "tally"

// mostRows bounds the rows of a tally: users choose the names of classes.
const mostRows = 60

// Yield is whose work yielded to whose, by which right.
type Yield struct {
	To, From string // classes
	Why      Why
}

// row is a row as it is stored.
type row struct {
	//lint:ignore U1000 read by the encoder: a row is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	To, From string
	Why      Why
	Tasks    uint64
}

// Tally counts the tasks that yielded, since the cluster began.
type Tally struct {
	version uint64
	tasks   map[Yield]uint64
}

// Add counts tasks that yielded. When there are too many kinds, classes lose their names.
func (t *Tally) Add(y Yield, tasks int) {
	if t.tasks == nil {
		t.tasks = map[Yield]uint64{}
	}
	if _, had := t.tasks[y]; !had && len(t.tasks) >= mostRows {
		y.To, y.From = "", ""
	}
	t.tasks[y] += uint64(tasks)
}

// Each calls f for each row, the largest first.
func (t *Tally) Each(f func(Yield, uint64)) {
	keys := slices.SortedFunc(maps.Keys(t.tasks), func(a, b Yield) int {
		return cmp.Or(cmp.Compare(t.tasks[b], t.tasks[a]), cmp.Compare(a.To, b.To), cmp.Compare(a.From, b.From), cmp.Compare(a.Why, b.Why))
	})
	for _, k := range keys {
		f(k, t.tasks[k])
	}
}

// Version is the stored one's.
func (t *Tally) Version() uint64 { return t.version }

// Value is the tally as it is stored, the smallest rows left out if it doesn't fit; nil: nothing
// fits.
func (t *Tally) Value(fits func([]byte) bool) []byte {
	var rows []row
	t.Each(func(y Yield, n uint64) { rows = append(rows, row{To: y.To, From: y.From, Why: y.Why, Tasks: n}) })
	for n := len(rows); n > 0; n /= 2 {
		if raw, err := job.Encode(rows[:n]); err == nil && fits(raw) {
			return raw
		}
	}
	return nil
}

// Apply takes the stored tally, for those who don't count themselves.
func (t *Tally) Apply(version uint64, value []byte) error {
	if version <= t.version {
		return nil
	}
	var rows []row
	if err := job.Decode(value, &rows); err != nil {
		return err
	}
	t.version, t.tasks = version, map[Yield]uint64{}
	for _, r := range rows {
		t.tasks[Yield{r.To, r.From, r.Why}] = r.Tasks
	}
	return nil
}

// Written notes that the present state is stored.
func (t *Tally) Written(version uint64) { t.version = max(t.version, version) }
