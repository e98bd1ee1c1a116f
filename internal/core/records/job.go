package records

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Job is the replica's view of a job: its record, its shards, and its entries of the completion log
// and the placement pages. It must not be modified outside of this package.
type Job struct {
	ID        string
	Record    job.Record
	Version   uint64  // version of the record, 0 if the replica does not have it yet
	Shards    []Shard // from shard 1 on; shard 0 is in Record
	DoneTasks int     // number of done tasks
	OpenTasks int     // number of open placements

	completions    []*Completion // entries of the completion log for this job
	pageEntries    []*pageEntry  // entries of placement pages for this job, in the order of pages
	highestAttempt uint64        // highest attempt ever observed in the record or a placement page
	dependencies
}

// Shard is a shard as it is stored; its version is 0 if it does not exist.
type Shard struct {
	job.Shard
	Version uint64
}

// Archived reports whether the job is finished and its record has been shrunk (see job.Record).
func (j *Job) Archived() bool { return j.Record.Final() && j.Record.Spec == nil }

// Shard returns the job's n-th shard and its version, without the state of its tasks in placement
// pages. A shard that does not exist is empty and has version 0.
func (j *Job) Shard(n int) (*job.Shard, uint64) {
	if n == 0 {
		return &j.Record.Shard, j.Version
	}
	if n > 0 && n <= len(j.Shards) {
		return &j.Shards[n-1].Shard, j.Shards[n-1].Version
	}
	return &job.Shard{}, 0
}

// CombinedShard returns the n-th shard together with the done tasks and open placements of its tasks
// in placement pages. The result must not be modified.
func (j *Job) CombinedShard(n int) *job.Shard {
	shard, _ := j.Shard(n)
	if len(j.pageEntries) == 0 {
		return shard
	}
	first, _ := j.Record.ShardSpan(n, wire.MaxTasksPerJob)
	combined := *shard
	j.eachPageEntry(first/job.TasksPerShard, func(e *pageEntry) {
		combined.DoneSet = job.UnionDoneSets(combined.DoneSet, e.DoneSet)
		combined.Open = append(slices.Clip(combined.Open), e.Open...)
	})
	return &combined
}

// EachPlacement calls f for each open placement of the job.
func (j *Job) EachPlacement(f func(job.Placement)) {
	for _, p := range j.Record.Open {
		f(p)
	}
	for i := range j.Shards {
		for _, p := range j.Shards[i].Open {
			f(p)
		}
	}
	for _, e := range j.pageEntries {
		for _, p := range e.Open {
			f(p)
		}
	}
}

// IsDone reports whether a task is done.
func (j *Job) IsDone(task int) bool {
	shard, _ := j.Shard(j.Record.ShardOf(task))
	return shard.IsDone(task%job.TasksPerShard) || j.doneInPages(task)
}

// IsOpen reports whether the placement of a task's attempt on a machine is open.
func (j *Job) IsOpen(task int, attempt uint64, machine string) bool {
	shard, _ := j.Shard(j.Record.ShardOf(task))
	return shard.IsOpen(task, attempt, machine) || j.InPlacementPage(task, attempt, machine)
}

// Placement returns the open placement of a task's attempt on a machine.
func (j *Job) Placement(task int, attempt uint64, machine string) (found job.Placement, ok bool) {
	shard, _ := j.Shard(j.Record.ShardOf(task))
	if found, ok = shard.Placement(task, attempt, machine); ok {
		return found, true
	}
	j.eachPageEntry(task/job.TasksPerShard, func(e *pageEntry) {
		if !ok {
			found, ok = e.Placement(task, attempt, machine)
		}
	})
	return found, ok
}

// recount updates the numbers of done tasks and open placements. A task that is done in several
// places (its record or shard, and placement pages) counts once.
func (j *Job) recount() {
	j.DoneTasks = j.Record.DoneCount()
	j.OpenTasks = len(j.Record.Open)
	for i := range j.Shards {
		j.DoneTasks += j.Shards[i].DoneCount()
		j.OpenTasks += len(j.Shards[i].Open)
	}
	if len(j.pageEntries) == 0 {
		return
	}
	doneInPages := map[int]string{} // bit sets by entry index
	for _, e := range j.pageEntries {
		doneInPages[e.index] = job.UnionDoneSets(doneInPages[e.index], e.DoneSet)
		j.OpenTasks += len(e.Open)
	}
	for index, done := range doneInPages { // a sum, so the order does not matter
		shard, _ := j.Shard(j.Record.ShardOf(index * job.TasksPerShard))
		j.DoneTasks += job.CountDoneSet(job.UnionDoneSets(shard.DoneSet, done)) - shard.DoneCount()
	}
}
