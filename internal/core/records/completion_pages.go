package records

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

const completionPrefix = job.KeyRoot + "ended/"

// CompletionPageKey is where a page of the log of ended attempts is.
func CompletionPageKey(n uint64) string { return completionPrefix + strconv.FormatUint(n, 10) }

// CompletionEntry is a line of the log: an attempt of a task is not on a machine any more. That
// is true for ever, whichever record it is held against, so it can be applied any number
// of times.
type CompletionEntry struct {
	//lint:ignore U1000 read by the encoder: a line is a list, to be short
	_msgpack      struct{} `msgpack:",as_array"`
	Job           string
	Task          int
	Attempt       uint64
	Machine       string
	Done          bool
	job.Occupancy // from Standing on
}

// completionEntryV1 is a line in the formats before Standing.
type completionEntryV1 struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Task     int
	Attempt  uint64
	Machine  string
	Done     bool
}

// EncodeCompletionPage turns lines into the value of a page.
func EncodeCompletionPage(lines []CompletionEntry, f job.Format) ([]byte, error) {
	if f >= job.FormatPreemption {
		return job.Encode(lines)
	}
	before := make([]completionEntryV1, len(lines))
	for i, l := range lines {
		before[i] = completionEntryV1{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine, Done: l.Done}
	}
	return job.Encode(before)
}

// DecodeCompletionPage reads a page of any format.
func DecodeCompletionPage(value []byte) ([]CompletionEntry, error) {
	var lines []CompletionEntry
	err := job.Decode(value, &lines)
	if err == nil {
		return lines, nil
	}
	var before []completionEntryV1
	if job.Decode(value, &before) != nil {
		return nil, err // of the present format
	}
	lines = make([]CompletionEntry, len(before))
	for i, l := range before {
		lines[i] = CompletionEntry{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine, Done: l.Done}
	}
	return lines, nil
}

// Completion is a line of a page as its job knows it.
type Completion struct {
	CompletionEntry
	Merged bool       // the job's record or page, as it is stored, says so too
	entry  *pageEntry // the part of a page that has the attempt open, as it is stored; nil: none
}

// PlacementPage is the page of shared parts that has to be rewritten for a line to be of no more use;
// false: none has.
func (f *Completion) PlacementPage() (page uint64, ok bool) {
	if f.entry == nil {
		return 0, false
	}
	return f.entry.page, true
}

// CompletionPage is a page of the log.
type CompletionPage struct {
	Version     uint64
	Completions []*Completion
}

// CompletionPages lists the pages' numbers, oldest first.
func (b *Replica) CompletionPages() []uint64 { return slices.Sorted(maps.Keys(b.completionPages)) }

// CompletionPage returns a page; nil: there is none.
func (b *Replica) CompletionPage(n uint64) *CompletionPage { return b.completionPages[n] }

func (b *Replica) applyCompletionPage(n uint64, ev *wire.Change) error {
	p := b.completionPages[n]
	if p != nil && p.Version >= ev.Version {
		return nil
	}
	if ev.Put == "" {
		if p != nil {
			b.DropCompletionPage(n)
		}
		return nil
	}
	lines, err := DecodeCompletionPage(ev.Value)
	if err != nil {
		return fmt.Errorf("log of ended attempts, page %d: %w", n, err)
	}
	if p == nil {
		p = &CompletionPage{}
		b.completionPages[n] = p
	}
	p.Version = ev.Version
	for _, l := range lines[min(len(p.Completions), len(lines)):] { // a page only grows
		f := &Completion{CompletionEntry: l}
		p.Completions = append(p.Completions, f)
		b.applyCompletion(f)
	}
	return nil
}

// DropCompletionPage drops a page that was deleted.
func (b *Replica) DropCompletionPage(n uint64) {
	for _, f := range b.completionPages[n].Completions {
		if j := b.jobs[f.Job]; j != nil {
			j.completions = slices.DeleteFunc(j.completions, func(o *Completion) bool { return o == f })
		}
	}
	delete(b.completionPages, n)
}

// applyCompletion holds a line against what is known of its job.
func (b *Replica) applyCompletion(f *Completion) {
	j := b.job(f.Job)
	j.completions = append(j.completions, f)
	if b.closeInPlacementPages(j, f) {
		return
	}
	n := j.Record.ShardOf(f.Task)
	if j.Version == 0 || j.Archived() || n > len(j.Shards) {
		return // the record or the part comes later, or not at all
	}
	p, _ := j.Shard(n)
	q := p.Clone()
	if !f.apply(j, &q) {
		return
	}
	b.replacePlacements(j, p.Open, q.Open)
	*p = q
	j.recount()
	b.listener.JobChanged(j)
}

// closeInPlacementPages closes what a line says has ended if a page of shared parts has it open.
func (b *Replica) closeInPlacementPages(j *Job, f *Completion) bool {
	for _, s := range j.pageEntries {
		old := s.Open
		if !s.close(f) {
			continue
		}
		b.replacePlacements(j, old, s.Open)
		j.recount()
		b.listener.JobChanged(j)
		return true
	}
	return false
}

// apply brings a part of the record up to a line; it returns whether that changed anything. A line
// about what a page has placed is none of the record's business.
func (f *Completion) apply(j *Job, p *job.Shard) bool {
	if f.entry != nil {
		return false
	}
	if f.Done && j.pagesSayDone(f.Task) {
		f.Merged = true
		return false
	}
	changed := p.Close(f.Task, f.Attempt, f.Machine, f.Occupancy)
	if f.Done && !p.IsDone(f.Task%job.TasksPerShard) {
		p.SetDone(f.Task % job.TasksPerShard)
		changed = true
	}
	f.Merged = !changed
	return changed
}

// applyCompletions brings the stored value of a job's n-th part up to the log.
func (j *Job) applyCompletions(n int, p *job.Shard) {
	for _, f := range j.completions {
		if j.Record.ShardOf(f.Task) == n {
			f.apply(j, p)
		}
	}
}

// EachUnmerged calls f for the task of each line that the job's record doesn't say yet.
func (j *Job) EachUnmerged(f func(task int)) {
	for _, x := range j.completions {
		if !x.Merged && x.entry == nil {
			f(x.Task)
		}
	}
}
