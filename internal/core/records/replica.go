// Package records is a node's copy of what is committed about jobs: their records and
// parts, the log of ended attempts, and how chains of jobs hang together. It takes changes
// as they come, in whatever order, and tells a listener what each means. It decides
// nothing and writes nothing.
package records

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Job is a job as the records have it. Whoever gets one only reads it.
type Job struct {
	ID        string
	Record    job.Record
	Version   uint64  // 0: its record has not come yet
	Shards    []Shard // from part 1 on; part 0 is in Rec
	DoneTasks int     // done tasks
	OpenTasks int     // open placements

	completions    []*Completion // lines of the log that are about it
	pageEntries    []*pageEntry  // what pages of shared parts say of it, in the order of pages
	highestAttempt uint64        // attempt that was ever seen
	dependencies
}

// Shard is a part of a job as it is stored; version 0: it doesn't exist.
type Shard struct {
	job.Shard
	Version uint64
}

// Listener hears what changes mean, in the order in which they take effect.
type Listener interface {
	JobAdded(*Job)                                      // the copy holds a job of that name from now on
	PlacementsChanged(j *Job, old, now []job.Placement) // what is open of one part of a job
	PlanOutdated(*Job)                                  // a newer value was taken than plans were made for
	RecordChanged(*Job)                                 // a newer record was taken
	JobFinished(*Job)                                   // its phase is final
	JobChanged(*Job)                                    // something about it has changed
	DependenciesMet(*Job)                               // the last job that it needed is done
	DependencyCancelled(*Job)                           // a job that it needs, directly or not, is cancelled
}

// Replica is the copy.
type Replica struct {
	listener        Listener
	jobs            map[string]*Job
	completionPages map[uint64]*CompletionPage
	placementPages  map[uint64]*PlacementPage
	openByMachine   map[string]map[job.AttemptKey]job.Placement // by machine

	currentAt              Micros
	revision               uint64
	placementPagesRevision uint64 // of the last change of a page of shared parts
}

// New returns a Replica that knows nothing yet.
func New(to Listener) *Replica {
	return &Replica{listener: to, jobs: map[string]*Job{}, completionPages: map[uint64]*CompletionPage{},
		placementPages: map[uint64]*PlacementPage{}, openByMachine: map[string]map[job.AttemptKey]job.Placement{}}
}

// Apply takes a put or a delete of a key that is a job's or a page's. It returns false for
// other keys, and an error for a value that can't be read, which changes nothing.
func (b *Replica) Apply(ev *wire.Change) (bool, error) {
	key := ev.Put
	if key == "" {
		key = ev.Delete
	}
	if num, ok := strings.CutPrefix(key, completionPrefix); ok {
		n, err := strconv.ParseUint(num, 10, 64)
		if err != nil {
			return true, fmt.Errorf("log of ended attempts: %w", err)
		}
		return true, b.applyCompletionPage(n, ev)
	}
	if num, ok := strings.CutPrefix(key, placementPagePrefix); ok {
		n, err := strconv.ParseUint(num, 10, 64)
		if err == nil {
			err = b.applyPlacementPage(n, ev)
		}
		if err != nil {
			return true, fmt.Errorf("shared parts: %w", err)
		}
		return true, nil
	}
	id, n, ok := job.ParseKey(key)
	switch {
	case !ok:
		return false, nil
	case n > 0:
		return true, b.applyShard(id, n, ev)
	case ev.Put == "":
		return true, nil
	}
	if old := b.jobs[id]; old != nil && old.Version >= ev.Version {
		return true, nil
	}
	var rec job.Record
	if err := job.DecodeRecord(ev.Value, &rec); err != nil {
		return true, fmt.Errorf("record of %s: %w", id, err)
	}
	b.SetRecord(id, rec, ev.Version)
	return true, nil
}

// ApplyListing drops what a listing of this revision doesn't hold any more.
func (b *Replica) ApplyListing(revision uint64, listed map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		j := b.jobs[id]
		for n := range j.Shards {
			if v := j.Shards[n].Version; v != 0 && v <= revision && !listed[job.ShardKey(id, n+1)] {
				b.SetShard(j, n+1, job.Shard{}, 0)
			}
		}
	}
	for _, n := range b.CompletionPages() {
		if b.completionPages[n].Version <= revision && !listed[CompletionPageKey(n)] {
			b.DropCompletionPage(n)
		}
	}
}

func (b *Replica) job(id string) *Job {
	j := b.jobs[id]
	if j == nil {
		j = &Job{ID: id}
		b.jobs[id] = j
		b.listener.JobAdded(j)
	}
	return j
}

// SetRecord takes a newer record of a job.
func (b *Replica) SetRecord(id string, rec job.Record, version uint64) {
	j := b.job(id)
	old := j.Record.Open
	j.Record, j.Version = rec, version
	if rec.Spec != nil {
		j.applyCompletions(0, &j.Record.Shard)
	}
	b.replacePlacements(j, old, j.Record.Open)
	if j.Archived() {
		b.dropPageEntries(j)
	}
	j.raiseLastAttempt()
	b.listener.PlanOutdated(j)
	b.listener.RecordChanged(j)
	b.link(j)
	if rec.Final() {
		if rec.Spec == nil { // nothing of it is left, but for parts to be deleted
			for n := range j.Shards {
				b.replacePlacements(j, j.Shards[n].Open, nil)
				j.Shards[n].Shard = job.Shard{}
			}
		}
		b.listener.JobFinished(j)
		b.notifyDependents(j)
	}
	j.recount()
	b.listener.JobChanged(j)
}

func (b *Replica) applyShard(id string, n int, ev *wire.Change) error {
	j := b.job(id)
	if n <= len(j.Shards) && j.Shards[n-1].Version >= ev.Version {
		return nil
	}
	var p job.Shard
	if ev.Put == "" {
		if n <= len(j.Shards) {
			b.SetShard(j, n, p, 0)
		}
		return nil
	}
	if err := job.DecodeShard(ev.Value, &p); err != nil {
		return fmt.Errorf("part %d of %s: %w", n, id, err)
	}
	b.SetShard(j, n, p, ev.Version)
	return nil
}

// SetShard takes a newer part of a job; version 0 means that it was deleted.
func (b *Replica) SetShard(j *Job, n int, p job.Shard, version uint64) {
	for len(j.Shards) < n {
		j.Shards = append(j.Shards, Shard{})
	}
	if j.Archived() {
		p = job.Shard{} // what it says of tasks is out of date
	}
	j.applyCompletions(n, &p)
	b.replacePlacements(j, j.Shards[n-1].Open, p.Open)
	j.Shards[n-1] = Shard{p, version}
	j.recount()
	b.listener.JobChanged(j)
	b.listener.PlanOutdated(j)
}

// ShortenSpec replaces a job's description by a shorter one that decides the same; nil: there
// is none, and it returns false.
func (b *Replica) ShortenSpec(j *Job, spec *wire.Job) bool {
	if spec != nil {
		j.Record.Spec = spec
	}
	return spec != nil
}

// replacePlacements keeps the open placements by machine.
func (b *Replica) replacePlacements(j *Job, old, now []job.Placement) {
	for _, p := range old {
		on := b.openByMachine[p.Machine]
		if delete(on, p.AttemptKey(j.ID)); len(on) == 0 {
			delete(b.openByMachine, p.Machine)
		}
	}
	for _, p := range now {
		on := b.openByMachine[p.Machine]
		if on == nil {
			on = map[job.AttemptKey]job.Placement{}
			b.openByMachine[p.Machine] = on
		}
		on[p.AttemptKey(j.ID)] = p
	}
	b.listener.PlacementsChanged(j, old, now)
}

// PlacementsOn returns the open placements on a machine, to be read only.
func (b *Replica) PlacementsOn(machine string) map[job.AttemptKey]job.Placement {
	return b.openByMachine[machine]
}

// OccupiedMachines lists the machines with open placements.
func (b *Replica) OccupiedMachines() []string { return slices.Sorted(maps.Keys(b.openByMachine)) }

// NoteCurrent notes a moment as of which the copy was current.
func (b *Replica) NoteCurrent(at Micros) { b.currentAt = max(b.currentAt, at) }

// NoteRevision notes that the copy holds all changes up to a revision.
func (b *Replica) NoteRevision(revision uint64) { b.revision = max(b.revision, revision) }

// Revision is the last one up to which the copy holds all changes.
func (b *Replica) Revision() uint64 { return b.revision }

// CurrentAt is the last such moment.
func (b *Replica) CurrentAt() Micros { return b.currentAt }

// Job returns a job; nil: nothing is known of it.
func (b *Replica) Job(id string) *Job { return b.jobs[id] }

// Archived tells whether a job is over and nothing is left of it but its phase.
func (j *Job) Archived() bool { return j.Record.Final() && j.Record.Spec == nil }

// Shard returns a job's n-th part and its version.
func (j *Job) Shard(n int) (*job.Shard, uint64) {
	if n == 0 {
		return &j.Record.Shard, j.Version
	}
	if n <= len(j.Shards) {
		return &j.Shards[n-1].Shard, j.Shards[n-1].Version
	}
	return &job.Shard{}, 0
}

// EachPlacement calls f for each open placement of a job.
func (j *Job) EachPlacement(f func(job.Placement)) {
	for _, p := range j.Record.Open {
		f(p)
	}
	for i := range j.Shards {
		for _, p := range j.Shards[i].Open {
			f(p)
		}
	}
	for _, s := range j.pageEntries {
		for _, p := range s.Open {
			f(p)
		}
	}
}

// recount counts done tasks and open placements. A task is done once, whoever says so.
func (j *Job) recount() {
	j.DoneTasks, j.OpenTasks = j.Record.Shard.DoneCount(), len(j.Record.Open)
	for i := range j.Shards {
		j.DoneTasks += j.Shards[i].DoneCount()
		j.OpenTasks += len(j.Shards[i].Open)
	}
	if len(j.pageEntries) == 0 {
		return
	}
	said := map[int]string{} // by index of the part: what pages say is done
	for _, s := range j.pageEntries {
		said[s.index] = job.UnionDoneSets(said[s.index], s.DoneSet)
		j.OpenTasks += len(s.Open)
	}
	for index, done := range said { // sums: in any order
		p, _ := j.Shard(j.Record.ShardOf(index * job.TasksPerShard))
		j.DoneTasks += job.CountDoneSet(job.UnionDoneSets(p.DoneSet, done)) - p.DoneCount()
	}
}
