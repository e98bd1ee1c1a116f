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
	ID      string
	Rec     job.Record
	Version uint64 // 0: its record has not come yet
	Parts   []Part // from part 1 on; part 0 is in Rec
	Done    int    // done tasks
	Open    int    // open placements

	facts     []*Fact     // lines of the log that are about it
	pageParts []*pagePart // what pages of shared parts say of it, in the order of pages
	highest   uint64      // attempt that was ever seen
	chain
}

// Part is a part of a job as it is stored; version 0: it doesn't exist.
type Part struct {
	job.Part
	Version uint64
}

// Listener hears what changes mean, in the order in which they take effect.
type Listener interface {
	Born(*Job)                               // the copy holds a job of that name from now on
	Placed(j *Job, old, now []job.Placement) // what is open of one part of a job
	Stored(*Job)                             // a newer value was taken than plans were made for
	Recorded(*Job)                           // a newer record was taken
	Ended(*Job)                              // its phase is final
	Changed(*Job)                            // something about it has changed
	Freed(*Job)                              // the last job that it needed is done
	Doomed(*Job)                             // a job that it needs, directly or not, is cancelled
}

// Replica is the copy.
type Replica struct {
	to     Listener
	jobs   map[string]*Job
	pages  map[uint64]*Page
	shared map[uint64]*SharedPage
	open   map[string]map[job.Key]job.Placement // by machine

	currentAt      Micros
	revision       uint64
	sharedRevision uint64 // of the last change of a page of shared parts
}

// New returns a Replica that knows nothing yet.
func New(to Listener) *Replica {
	return &Replica{to: to, jobs: map[string]*Job{}, pages: map[uint64]*Page{},
		shared: map[uint64]*SharedPage{}, open: map[string]map[job.Key]job.Placement{}}
}

// Apply takes a put or a delete of a key that is a job's or a page's. It returns false for
// other keys, and an error for a value that can't be read, which changes nothing.
func (b *Replica) Apply(ev *wire.Change) (bool, error) {
	key := ev.Put
	if key == "" {
		key = ev.Delete
	}
	if num, ok := strings.CutPrefix(key, pagePrefix); ok {
		n, err := strconv.ParseUint(num, 10, 64)
		if err != nil {
			return true, fmt.Errorf("log of ended attempts: %w", err)
		}
		return true, b.applyPage(n, ev)
	}
	if num, ok := strings.CutPrefix(key, sharedPrefix); ok {
		n, err := strconv.ParseUint(num, 10, 64)
		if err == nil {
			err = b.applyShared(n, ev)
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
		return true, b.applyPart(id, n, ev)
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

// Listed drops what a listing of this revision doesn't hold any more.
func (b *Replica) Listed(revision uint64, listed map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		j := b.jobs[id]
		for n := range j.Parts {
			if v := j.Parts[n].Version; v != 0 && v <= revision && !listed[job.PartKey(id, n+1)] {
				b.SetPart(j, n+1, job.Part{}, 0)
			}
		}
	}
	for _, n := range b.Pages() {
		if b.pages[n].Version <= revision && !listed[PageKey(n)] {
			b.Forget(n)
		}
	}
}

func (b *Replica) job(id string) *Job {
	j := b.jobs[id]
	if j == nil {
		j = &Job{ID: id}
		b.jobs[id] = j
		b.to.Born(j)
	}
	return j
}

// SetRecord takes a newer record of a job.
func (b *Replica) SetRecord(id string, rec job.Record, version uint64) {
	j := b.job(id)
	old := j.Rec.Open
	j.Rec, j.Version = rec, version
	if rec.Spec != nil {
		j.applyFacts(0, &j.Rec.Part)
	}
	b.place(j, old, j.Rec.Open)
	if j.Over() {
		b.voidPageParts(j)
	}
	j.raiseAttempt()
	b.to.Stored(j)
	b.to.Recorded(j)
	b.link(j)
	if rec.Final() {
		if rec.Spec == nil { // nothing of it is left, but for parts to be deleted
			for n := range j.Parts {
				b.place(j, j.Parts[n].Open, nil)
				j.Parts[n].Part = job.Part{}
			}
		}
		b.to.Ended(j)
		b.settled(j)
	}
	j.recount()
	b.to.Changed(j)
}

func (b *Replica) applyPart(id string, n int, ev *wire.Change) error {
	j := b.job(id)
	if n <= len(j.Parts) && j.Parts[n-1].Version >= ev.Version {
		return nil
	}
	var p job.Part
	if ev.Put == "" {
		if n <= len(j.Parts) {
			b.SetPart(j, n, p, 0)
		}
		return nil
	}
	if err := job.DecodePart(ev.Value, &p); err != nil {
		return fmt.Errorf("part %d of %s: %w", n, id, err)
	}
	b.SetPart(j, n, p, ev.Version)
	return nil
}

// SetPart takes a newer part of a job; version 0 means that it was deleted.
func (b *Replica) SetPart(j *Job, n int, p job.Part, version uint64) {
	for len(j.Parts) < n {
		j.Parts = append(j.Parts, Part{})
	}
	if j.Over() {
		p = job.Part{} // what it says of tasks is out of date
	}
	j.applyFacts(n, &p)
	b.place(j, j.Parts[n-1].Open, p.Open)
	j.Parts[n-1] = Part{p, version}
	j.recount()
	b.to.Changed(j)
	b.to.Stored(j)
}

// Shorten replaces a job's description by a shorter one that decides the same; nil: there
// is none, and it returns false.
func (b *Replica) Shorten(j *Job, spec *wire.Job) bool {
	if spec != nil {
		j.Rec.Spec = spec
	}
	return spec != nil
}

// place keeps the open placements by machine.
func (b *Replica) place(j *Job, old, now []job.Placement) {
	for _, p := range old {
		on := b.open[p.Machine]
		if delete(on, p.Key(j.ID)); len(on) == 0 {
			delete(b.open, p.Machine)
		}
	}
	for _, p := range now {
		on := b.open[p.Machine]
		if on == nil {
			on = map[job.Key]job.Placement{}
			b.open[p.Machine] = on
		}
		on[p.Key(j.ID)] = p
	}
	b.to.Placed(j, old, now)
}

// OpenOn returns the open placements on a machine, to be read only.
func (b *Replica) OpenOn(machine string) map[job.Key]job.Placement { return b.open[machine] }

// Used lists the machines with open placements.
func (b *Replica) Used() []string { return slices.Sorted(maps.Keys(b.open)) }

// Current notes a moment as of which the copy was current.
func (b *Replica) Current(at Micros) { b.currentAt = max(b.currentAt, at) }

// Upto notes that the copy holds all changes up to a revision.
func (b *Replica) Upto(revision uint64) { b.revision = max(b.revision, revision) }

// Revision is the last one up to which the copy holds all changes.
func (b *Replica) Revision() uint64 { return b.revision }

// CurrentAt is the last such moment.
func (b *Replica) CurrentAt() Micros { return b.currentAt }

// Job returns a job; nil: nothing is known of it.
func (b *Replica) Job(id string) *Job { return b.jobs[id] }

// Over tells whether a job is over and nothing is left of it but its phase.
func (j *Job) Over() bool { return j.Rec.Final() && j.Rec.Spec == nil }

// Part returns a job's n-th part and its version.
func (j *Job) Part(n int) (*job.Part, uint64) {
	if n == 0 {
		return &j.Rec.Part, j.Version
	}
	if n <= len(j.Parts) {
		return &j.Parts[n-1].Part, j.Parts[n-1].Version
	}
	return &job.Part{}, 0
}

// EachOpen calls f for each open placement of a job.
func (j *Job) EachOpen(f func(job.Placement)) {
	for _, p := range j.Rec.Open {
		f(p)
	}
	for i := range j.Parts {
		for _, p := range j.Parts[i].Open {
			f(p)
		}
	}
	for _, s := range j.pageParts {
		for _, p := range s.Open {
			f(p)
		}
	}
}

// recount counts done tasks and open placements. A task is done once, whoever says so.
func (j *Job) recount() {
	j.Done, j.Open = j.Rec.Part.Count(), len(j.Rec.Open)
	for i := range j.Parts {
		j.Done += j.Parts[i].Count()
		j.Open += len(j.Parts[i].Open)
	}
	if len(j.pageParts) == 0 {
		return
	}
	said := map[int]string{} // by index of the part: what pages say is done
	for _, s := range j.pageParts {
		said[s.index] = job.UnionDone(said[s.index], s.Done)
		j.Open += len(s.Open)
	}
	for index, done := range said { // sums: in any order
		p, _ := j.Part(j.Rec.PartOf(index * job.PartTasks))
		j.Done += job.CountDone(job.UnionDone(p.Done, done)) - p.Count()
	}
}
