// Package job defines the stored record of a job, which is the single source of truth about it, and
// the changes that a record may undergo.
package job

import "coralhub/wire"

// Phases of a record. Active stands for every phase that is not final.
const (
	Active    = ""
	Done      = "done"
	Cancelled = "cancelled"
)

// Record is the value stored under a job's key. Once a job is finished and has no open placements,
// its record is shrunk: only the phase, the number of done tasks and the account remain.
type Record struct {
	Spec            *wire.Job `msgpack:"s,omitempty"`
	Phase           string    `msgpack:"f,omitempty"`
	CancelRequested bool      `msgpack:"c,omitempty"`
	CreatedAt       int64     `msgpack:"t,omitempty"` // time of day of the submission, in microseconds
	LastAttempt     uint64    `msgpack:"a,omitempty"` // highest attempt placed so far
	DoneTasks       int       `msgpack:"n,omitempty"` // number of done tasks, for display only
	// ShardsOnly is set if the spec is so large that the record has too little space for placements
	// beside it. All tasks are then in shards with keys of their own, from shard 1 on. It is written
	// from FormatGrouped on.
	ShardsOnly bool `msgpack:"p,omitempty"`
	// Account is the total usage of the job. It is set only in shrunk records, from
	// FormatPreemption on.
	Account *UsageAccount `msgpack:"b,omitempty"`
	Shard
}

// ShardOf returns the number of the shard that holds a task.
func (r *Record) ShardOf(task int) int {
	if r.ShardsOnly {
		return task/TasksPerShard + 1
	}
	return task / TasksPerShard
}

// ShardSpan returns which tasks shard n holds of a job with the given number of tasks: the first
// one and their count.
func (r *Record) ShardSpan(n, tasks int) (first, count int) {
	if r.ShardsOnly {
		n--
	}
	first = n * TasksPerShard
	return first, min(TasksPerShard, tasks-first)
}

// ShardRange returns which shards a job with the given number of tasks has: the first one and the
// one after the last.
func (r *Record) ShardRange(tasks int) (first, end int) {
	if r.ShardsOnly {
		first = 1
	}
	return first, first + (tasks+TasksPerShard-1)/TasksPerShard
}

// Final reports whether the record's phase can no longer change.
func (r *Record) Final() bool { return r.Phase != Active }

// Clone returns a copy that shares nothing mutable with r.
func (r *Record) Clone() Record {
	c := *r
	c.Shard = r.Shard.Clone()
	return c
}

// Shrink reduces the record of a finished job without open placements to its phase and its number of
// done tasks.
func (r *Record) Shrink() {
	*r = Record{Phase: r.Phase, DoneTasks: r.DoneTasks}
}
