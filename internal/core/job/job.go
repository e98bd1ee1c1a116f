// Package job holds a job's record, the only truth about the job, and the
// transitions that a record may go through.
package job

import (
	"fmt"
	"math/bits"
	"slices"
	"sort"
	"strconv"
	"strings"

	"coralhub/wire"
)

// TasksPerShard is how many tasks share one value of the state service: the open
// placements of this many tasks fit into 2 KiB with names of usual length.
const TasksPerShard = 32

// Phases of a record; Active is every phase that is not final.
const (
	Active    = ""
	Done      = "done"
	Cancelled = "cancelled"
)

// Placement says that a task may be on a machine. It stays open until there
// is proof that the task is not there any more.
type Placement struct {
	//lint:ignore U1000 read by the encoder: a placement is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Attempt  uint64
	Machine  string
	Session  uint64
	Zone     string
	PlacedAt int64 `msgpack:"-"` // when it was made, see TimeOf; stored by groups from Standing on
	Spot     bool  `msgpack:"-"` // on a spot machine
}

// AttemptKey names an attempt of a task.
type AttemptKey struct {
	Job     string
	Task    int
	Attempt uint64
}

// AttemptKey names the attempt that p places.
func (p Placement) AttemptKey(job string) AttemptKey { return AttemptKey{job, p.Task, p.Attempt} }

// Shard holds the state of PartTasks tasks. Part 0 is kept inside the record,
// the others have keys of their own. Of Open, Groups and Timed, a value has one; in memory it is always Open.
type Shard struct {
	DoneSet     string       `msgpack:"d,omitempty"` // hexadecimal bit set
	Open        []Placement  `msgpack:"o,omitempty"`
	Groups      []group      `msgpack:"g,omitempty"`
	TimedGroups []timedGroup `msgpack:"h,omitempty"` // from Standing on, in the place of groups
	Usage       *Usage       `msgpack:"u,omitempty"` // never changed, only replaced
}

// IsDone tells whether the i-th task of the part is done.
func (p *Shard) IsDone(i int) bool { return p.mask()>>uint(i)&1 == 1 }

// SetDone marks the i-th task of the part as done.
func (p *Shard) SetDone(i int) { p.DoneSet = strconv.FormatUint(p.mask()|1<<uint(i), 16) }

// DoneCount tells how many tasks of the part are done.
func (p *Shard) DoneCount() int { return bits.OnesCount64(p.mask()) }

// Missing lists which of the first n tasks of the part are neither done nor
// placed.
func (p *Shard) Missing(n int) []int {
	taken := p.mask()
	for _, o := range p.Open {
		taken |= 1 << uint(o.Task%TasksPerShard)
	}
	if bits.OnesCount64(taken) == n {
		return nil
	}
	var out []int
	for i := range n {
		if taken>>uint(i)&1 == 0 {
			out = append(out, i)
		}
	}
	return out
}

func (p *Shard) mask() uint64 { return maskOf(p.DoneSet) }

// maskOf reads a bit set of done tasks.
func maskOf(done string) uint64 {
	if done == "" {
		return 0
	}
	m, _ := strconv.ParseUint(done, 16, 64)
	return m
}

// UnionDoneSets is the bit set of the tasks that are done by either of two.
func UnionDoneSets(a, b string) string {
	switch {
	case a == "" || a == b:
		return b
	case b == "":
		return a
	}
	return strconv.FormatUint(maskOf(a)|maskOf(b), 16)
}

// CountDoneSet tells how many tasks a bit set says are done.
func CountDoneSet(done string) int { return bits.OnesCount64(maskOf(done)) }

// Clone returns a copy that shares nothing with p.
func (p *Shard) Clone() Shard {
	return Shard{DoneSet: p.DoneSet, Open: append([]Placement(nil), p.Open...), Usage: p.Usage}
}

// Remove closes the placement of a task's attempt on a machine.
func (p *Shard) Remove(task int, attempt uint64, machine string) bool {
	i := p.find(task, attempt, machine)
	if i < 0 {
		return false
	}
	p.Open = append(p.Open[:i:i], p.Open[i+1:]...)
	return true
}

// IsOpen tells whether the placement of a task's attempt on a machine is open.
func (p *Shard) IsOpen(task int, attempt uint64, machine string) bool {
	return p.find(task, attempt, machine) >= 0
}

// Placement returns the open placement of a task's attempt on a machine.
func (p *Shard) Placement(task int, attempt uint64, machine string) (Placement, bool) {
	if i := p.find(task, attempt, machine); i >= 0 {
		return p.Open[i], true
	}
	return Placement{}, false
}

func (p *Shard) find(task int, attempt uint64, machine string) int {
	return slices.IndexFunc(p.Open, func(o Placement) bool {
		return o.Task == task && o.Attempt == attempt && o.Machine == machine
	})
}

// Record is the value kept under a job's key. A finished job without open
// placements shrinks to its phase.
type Record struct {
	Spec            *wire.Job `msgpack:"s,omitempty"`
	Phase           string    `msgpack:"f,omitempty"`
	CancelRequested bool      `msgpack:"c,omitempty"`
	CreatedAt       int64     `msgpack:"t,omitempty"` // time of day of the submission, in microseconds
	LastAttempt     uint64    `msgpack:"a,omitempty"` // highest attempt placed so far
	DoneTasks       int       `msgpack:"n,omitempty"` // done tasks, for display
	// Apart tells that the description leaves no room for tasks: they are all in
	// parts, from 1 on. Written from Grouped on.
	ShardsOnly bool `msgpack:"p,omitempty"`
	// Account is what the job has used, once it is over and nothing else is left.
	Account *UsageAccount `msgpack:"b,omitempty"`
	Shard
}

// ShardOf tells which part a task is in.
func (r *Record) ShardOf(task int) int {
	if r.ShardsOnly {
		return task/TasksPerShard + 1
	}
	return task / TasksPerShard
}

// ShardSpan tells which tasks part n of a job of so many tasks holds: the first, and
// how many.
func (r *Record) ShardSpan(n, tasks int) (first, count int) {
	if r.ShardsOnly {
		n--
	}
	first = n * TasksPerShard
	return first, min(TasksPerShard, tasks-first)
}

// ShardRange tells which parts a job of so many tasks has: the first, and the one
// after the last.
func (r *Record) ShardRange(tasks int) (first, end int) {
	if r.ShardsOnly {
		first = 1
	}
	return first, first + (tasks+TasksPerShard-1)/TasksPerShard
}

// Final tells whether the record's phase can't change any more.
func (r *Record) Final() bool { return r.Phase != Active }

// Clone returns a copy that shares nothing mutable with r.
func (r *Record) Clone() Record {
	c := *r
	c.Shard = r.Shard.Clone()
	return c
}

// Shrink reduces a finished record that has nothing open.
func (r *Record) Shrink() {
	*r = Record{Phase: r.Phase, DoneTasks: r.DoneTasks}
}

// Keys of the state service.
const (
	KeyRoot     = "ch/"
	jobPrefix   = KeyRoot + "job/"
	shardPrefix = KeyRoot + "part/"
)

// RecordKey is the key of a job's record.
func RecordKey(id string) string { return jobPrefix + id }

// ShardKey is the key of a job's n-th part.
func ShardKey(id string, n int) string { return fmt.Sprintf("%s%s/%d", shardPrefix, id, n) }

// ParseKey takes a key apart; part is 0 for the record itself.
func ParseKey(key string) (id string, part int, ok bool) {
	if id, ok = strings.CutPrefix(key, jobPrefix); ok {
		return id, 0, wire.ValidJobID(id)
	}
	rest, ok := strings.CutPrefix(key, shardPrefix)
	if !ok {
		return "", 0, false
	}
	id, num, ok := strings.Cut(rest, "/")
	n, err := strconv.Atoi(num)
	return id, n, ok && err == nil && n > 0 && wire.ValidJobID(id)
}

// SortedAttemptKeys lists attempts in a set order.
func SortedAttemptKeys[V any](m map[AttemptKey]V) []AttemptKey {
	keys := make([]AttemptKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		if a.Task != b.Task {
			return a.Task < b.Task
		}
		return a.Attempt < b.Attempt
	})
	return keys
}
