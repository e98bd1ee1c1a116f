package preemption

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/core/job"
)

// CountsKey is the key under which the counts are stored.
const CountsKey = KeyPrefix + "tally"

// maxCountRows bounds the number of rows: users choose the names of classes.
const maxCountRows = 60

// Pair is what preempted tasks are counted by.
type Pair struct {
	Preemptor, Victim string // classes of the jobs
	Reason            Reason
}

// countRow is a row as it is stored.
type countRow struct {
	//lint:ignore U1000 read by the encoder: a row is stored as a list, which is shorter
	_msgpack          struct{} `msgpack:",as_array"`
	Preemptor, Victim string
	Reason            Reason
	Tasks             uint64
}

// Counts counts the preempted tasks since the cluster began. Its zero value is empty. The leader counts and
// stores; the other nodes apply what is stored.
type Counts struct {
	version uint64
	tasks   map[Pair]uint64
}

// Add counts preempted tasks. When there are too many pairs, further ones are counted without the names of
// the classes.
func (c *Counts) Add(pair Pair, tasks int) {
	if c.tasks == nil {
		c.tasks = map[Pair]uint64{}
	}
	if _, exists := c.tasks[pair]; !exists && len(c.tasks) >= maxCountRows {
		pair.Preemptor = ""
		pair.Victim = ""
	}
	c.tasks[pair] += uint64(tasks)
}

// Each calls f for each pair with its number of tasks, the largest number first.
func (c *Counts) Each(f func(Pair, uint64)) {
	pairs := slices.SortedFunc(maps.Keys(c.tasks), func(a, b Pair) int {
		return cmp.Or(
			cmp.Compare(c.tasks[b], c.tasks[a]),
			cmp.Compare(a.Preemptor, b.Preemptor),
			cmp.Compare(a.Victim, b.Victim),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
	for _, pair := range pairs {
		f(pair, c.tasks[pair])
	}
}

// Version is the version of the stored value, as this node knows it.
func (c *Counts) Version() uint64 { return c.version }

// Value returns the counts as they are stored, without the smallest rows if they don't fit; nil: not even
// the first row fits, or there is none.
func (c *Counts) Value(fits func([]byte) bool) []byte {
	var rows []countRow
	c.Each(func(pair Pair, tasks uint64) {
		rows = append(rows, countRow{Preemptor: pair.Preemptor, Victim: pair.Victim, Reason: pair.Reason, Tasks: tasks})
	})
	for n := len(rows); n > 0; n /= 2 {
		if raw, err := job.Encode(rows[:n]); err == nil && fits(raw) {
			return raw
		}
	}
	return nil
}

// Apply takes the stored counts, unless a version at least as new is known. It returns an error if the value
// can't be decoded.
func (c *Counts) Apply(version uint64, value []byte) error {
	if version <= c.version {
		return nil
	}
	var rows []countRow
	if err := job.Decode(value, &rows); err != nil {
		return err
	}
	c.version = version
	c.tasks = map[Pair]uint64{}
	for _, row := range rows {
		c.tasks[Pair{row.Preemptor, row.Victim, row.Reason}] = row.Tasks
	}
	return nil
}

// Written records that the current counts are stored under a version.
func (c *Counts) Written(version uint64) { c.version = max(c.version, version) }
