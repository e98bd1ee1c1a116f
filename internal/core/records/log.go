package records

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

const pagePrefix = job.Root + "ended/"

// PageKey is where a page of the log of ended attempts is.
func PageKey(n uint64) string { return pagePrefix + strconv.FormatUint(n, 10) }

// Ended is a line of the log: an attempt of a task is not on a machine any more. That
// is true for ever, whichever record it is held against, so it can be applied any number
// of times.
type Ended struct {
	//lint:ignore U1000 read by the encoder: a line is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Task     int
	Attempt  uint64
	Machine  string
	Done     bool
	job.Stay // from Standing on
}

// endedBefore is a line in the formats before Standing.
type endedBefore struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Task     int
	Attempt  uint64
	Machine  string
	Done     bool
}

// EncodePage turns lines into the value of a page.
func EncodePage(lines []Ended, f job.Format) ([]byte, error) {
	if f >= job.Standing {
		return job.Encode(lines)
	}
	before := make([]endedBefore, len(lines))
	for i, l := range lines {
		before[i] = endedBefore{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine, Done: l.Done}
	}
	return job.Encode(before)
}

// DecodePage reads a page of any format.
func DecodePage(value []byte) ([]Ended, error) {
	var lines []Ended
	err := job.Decode(value, &lines)
	if err == nil {
		return lines, nil
	}
	var before []endedBefore
	if job.Decode(value, &before) != nil {
		return nil, err // of the present format
	}
	lines = make([]Ended, len(before))
	for i, l := range before {
		lines[i] = Ended{Job: l.Job, Task: l.Task, Attempt: l.Attempt, Machine: l.Machine, Done: l.Done}
	}
	return lines, nil
}

// Fact is a line of a page as its job knows it.
type Fact struct {
	Ended
	Merged bool      // the job's record or page, as it is stored, says so too
	in     *pagePart // the part of a page that has the attempt open, as it is stored; nil: none
}

// SharedPage is the page of shared parts that has to be rewritten for a line to be of no more use;
// false: none has.
func (f *Fact) SharedPage() (page uint64, ok bool) {
	if f.in == nil {
		return 0, false
	}
	return f.in.page, true
}

// Page is a page of the log.
type Page struct {
	Version uint64
	Facts   []*Fact
}

// Pages lists the pages' numbers, oldest first.
func (b *Replica) Pages() []uint64 { return slices.Sorted(maps.Keys(b.pages)) }

// Page returns a page; nil: there is none.
func (b *Replica) Page(n uint64) *Page { return b.pages[n] }

func (b *Replica) applyPage(n uint64, ev *wire.Change) error {
	p := b.pages[n]
	if p != nil && p.Version >= ev.Version {
		return nil
	}
	if ev.Put == "" {
		if p != nil {
			b.Forget(n)
		}
		return nil
	}
	lines, err := DecodePage(ev.Value)
	if err != nil {
		return fmt.Errorf("log of ended attempts, page %d: %w", n, err)
	}
	if p == nil {
		p = &Page{}
		b.pages[n] = p
	}
	p.Version = ev.Version
	for _, l := range lines[min(len(p.Facts), len(lines)):] { // a page only grows
		f := &Fact{Ended: l}
		p.Facts = append(p.Facts, f)
		b.learn(f)
	}
	return nil
}

// Forget drops a page that was deleted.
func (b *Replica) Forget(n uint64) {
	for _, f := range b.pages[n].Facts {
		if j := b.jobs[f.Job]; j != nil {
			j.facts = slices.DeleteFunc(j.facts, func(o *Fact) bool { return o == f })
		}
	}
	delete(b.pages, n)
}

// learn holds a line against what is known of its job.
func (b *Replica) learn(f *Fact) {
	j := b.job(f.Job)
	j.facts = append(j.facts, f)
	if b.closeInPages(j, f) {
		return
	}
	n := j.Rec.PartOf(f.Task)
	if j.Version == 0 || j.Over() || n > len(j.Parts) {
		return // the record or the part comes later, or not at all
	}
	p, _ := j.Part(n)
	q := p.Clone()
	if !f.apply(j, &q) {
		return
	}
	b.place(j, p.Open, q.Open)
	*p = q
	j.recount()
	b.to.Changed(j)
}

// closeInPages closes what a line says has ended if a page of shared parts has it open.
func (b *Replica) closeInPages(j *Job, f *Fact) bool {
	for _, s := range j.pageParts {
		old := s.Open
		if !s.close(f) {
			continue
		}
		b.place(j, old, s.Open)
		j.recount()
		b.to.Changed(j)
		return true
	}
	return false
}

// apply brings a part of the record up to a line; it returns whether that changed anything. A line
// about what a page has placed is none of the record's business.
func (f *Fact) apply(j *Job, p *job.Part) bool {
	if f.in != nil {
		return false
	}
	if f.Done && j.pagesSayDone(f.Task) {
		f.Merged = true
		return false
	}
	changed := p.Close(f.Task, f.Attempt, f.Machine, f.Stay)
	if f.Done && !p.IsDone(f.Task%job.PartTasks) {
		p.SetDone(f.Task % job.PartTasks)
		changed = true
	}
	f.Merged = !changed
	return changed
}

// applyFacts brings the stored value of a job's n-th part up to the log.
func (j *Job) applyFacts(n int, p *job.Part) {
	for _, f := range j.facts {
		if j.Rec.PartOf(f.Task) == n {
			f.apply(j, p)
		}
	}
}

// Unmerged calls f for the task of each line that the job's record doesn't say yet.
func (j *Job) Unmerged(f func(task int)) {
	for _, x := range j.facts {
		if !x.Merged && x.in == nil {
			f(x.Task)
		}
	}
}
