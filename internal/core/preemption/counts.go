package preemption

import (
	"cmp"
	"maps"
	"slices"

	"coralhub/internal/core/job"
)

// CountsKey is the key under which the counts are stored.
const CountsKey = KeyPrefix + "tally"

// maxCountRows bounds the number of rows, because users choose the names of classes.
const maxCountRows = 60

// Pair is the key by which preempted tasks are counted.
type Pair struct {
	Preemptor, Victim string // classes of the jobs
	Reason            Reason
}

// countRow is the stored form of a pair with its number of tasks.
type countRow struct {
	//lint:ignore U1000 read by the encoder: a row is stored as a list, which is shorter
	_msgpack          struct{} `msgpack:",as_array"`
	Preemptor, Victim string
	Reason            Reason
	Tasks             uint64
}

// Counts counts the preempted tasks since the cluster was first started. Its zero value is empty. The leader
// adds to the counts and stores them; the other nodes apply the stored ones.
type Counts struct {
	version uint64
	tasks   map[Pair]uint64
}

// Add counts preempted tasks. Once there are maxCountRows pairs, further ones are counted without the names of
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

// Each calls f for each pair with its number of tasks, in descending order of that number.
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

// Version returns the version of the stored counts that this node has last read or written.
func (c *Counts) Version() uint64 { return c.version }

// Value returns the encoded counts, without the smallest rows if they don't all fit. It returns nil if not even
// the largest row fits, or if there are no rows.
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

// Apply replaces the counts with the stored ones, unless a version at least as new is known. It returns an
// error, and changes nothing, if the value can't be decoded.
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

// NoteStored records that the current counts are stored under a version.
func (c *Counts) NoteStored(version uint64) { c.version = max(c.version, version) }
