package records

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"coralhub/internal/core/job"
	"coralhub/wire"
)

// Shared parts. A job's tasks are stored in its record and its parts; from
// job.SharedParts on, leaders place tasks in shared parts as well: a page is one value
// that holds parts of many jobs, so that one change places tasks of all of them. What a
// page says of a job's part adds to what the record and other pages say: a task is done
// if any says so, open placements are of all, and so is what was spent. An attempt of a
// task is open in one of them at most. Once a job is over its parts in pages are void.

const sharedPrefix = job.Root + "placed/"

// SharedKey is where a page of shared parts is.
func SharedKey(n uint64) string { return sharedPrefix + strconv.FormatUint(n, 10) }

// SharedPart is what a page holds of a job's tasks from PartTasks*Index on.
type SharedPart struct {
	Job   string
	Index int    // task number by PartTasks, whichever part of the record would hold it
	Last  uint64 // highest attempt that was ever placed here: numbers rise over records and pages
	job.Part
}

// storedPage is a page's value. Zones are named once.
type storedPage struct {
	//lint:ignore U1000 read by the encoder: a page is a list, to be short
	_msgpack struct{} `msgpack:",as_array"`
	Zones    []string
	Parts    []storedPart
}

type storedPart struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
	Last     uint64
	Done     string
	Spent    *job.Spent
	Attempts []storedAttempt
}

// storedAttempt is the open placements of one attempt that were made at one time: of a job's
// tasks that start together there is one.
type storedAttempt struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  uint64
	At       int64
	Places   []storedPlace
}

// storedPlace is a machine with the tasks that are on it.
type storedPlace struct {
	//lint:ignore U1000 read by the encoder
	_msgpack struct{} `msgpack:",as_array"`
	Tasks    string   // hexadecimal bit set
	Machine  string
	Session  uint64
	Zone     int // twice its place among the page's zones, and one more on a spot machine
}

// EncodeShared turns parts into the value of a page.
func EncodeShared(parts []SharedPart) ([]byte, error) {
	page := storedPage{Zones: []string{}, Parts: make([]storedPart, 0, len(parts))}
	zones := map[string]int{}
	for i := range parts {
		p := &parts[i]
		page.Parts = append(page.Parts, storedPart{Job: p.Job, Index: p.Index, Last: p.Last, Done: p.Done, Spent: p.Spent, Attempts: page.attempts(p.Open, zones)})
	}
	return job.Encode(&page)
}

// attempts groups open placements by attempt and time, and in each by machine.
func (page *storedPage) attempts(open []job.Placement, zones map[string]int) []storedAttempt {
	type start struct {
		attempt uint64
		at      int64
	}
	type place struct {
		machine string
		session uint64
		zone    int
	}
	out := []storedAttempt{}
	starts, places := map[start]int{}, map[start]map[place]int{}
	masks := map[start]map[place]uint64{}
	for _, o := range open {
		s := start{o.Attempt, o.At}
		i, known := starts[s]
		if !known {
			i = len(out)
			starts[s], places[s], masks[s] = i, map[place]int{}, map[place]uint64{}
			out = append(out, storedAttempt{Attempt: o.Attempt, At: o.At})
		}
		z, named := zones[o.Zone]
		if !named {
			z = len(page.Zones)
			zones[o.Zone] = z
			page.Zones = append(page.Zones, o.Zone)
		}
		z *= 2
		if o.Cheap {
			z++
		}
		at := place{o.Machine, o.Session, z}
		k, known := places[s][at]
		if !known {
			k = len(out[i].Places)
			places[s][at] = k
			out[i].Places = append(out[i].Places, storedPlace{Machine: o.Machine, Session: o.Session, Zone: z})
		}
		masks[s][at] |= 1 << uint(o.Task%job.PartTasks)
		out[i].Places[k].Tasks = strconv.FormatUint(masks[s][at], 16)
	}
	return out
}

// DecodeShared reads the value of a page.
func DecodeShared(value []byte) ([]SharedPart, error) {
	var page storedPage
	if err := job.Decode(value, &page); err != nil {
		return nil, err
	}
	out := make([]SharedPart, 0, len(page.Parts))
	for i := range page.Parts {
		s := &page.Parts[i]
		p := SharedPart{Job: s.Job, Index: s.Index, Last: s.Last, Part: job.Part{Done: s.Done, Spent: s.Spent}}
		for _, a := range s.Attempts {
			for _, place := range a.Places {
				if place.Zone < 0 || place.Zone/2 >= len(page.Zones) {
					return nil, fmt.Errorf("shared part of %s: no zone %d", s.Job, place.Zone)
				}
				mask, err := strconv.ParseUint(place.Tasks, 16, job.PartTasks)
				if err != nil {
					return nil, fmt.Errorf("shared part of %s: %w", s.Job, err)
				}
				for k := range job.PartTasks {
					if mask>>uint(k)&1 == 1 {
						p.Open = append(p.Open, job.Placement{Task: s.Index*job.PartTasks + k, Attempt: a.Attempt, Machine: place.Machine,
							Session: place.Session, Zone: page.Zones[place.Zone/2], At: a.At, Cheap: place.Zone%2 == 1})
					}
				}
			}
		}
		out = append(out, p)
	}
	return out, nil
}

// SharedPage is a page of shared parts, as it is stored.
type SharedPage struct {
	Version uint64
	Parts   []SharedPart
}

// pagePart is a part in a page as its job knows it: the stored one, brought up to the log of ended
// attempts.
type pagePart struct {
	page  uint64
	index int
	last  uint64
	job.Part
}

// SharedPages lists the pages' numbers, oldest first.
func (b *Replica) SharedPages() []uint64 { return slices.Sorted(maps.Keys(b.shared)) }

// SharedRevision is the last revision at which a page was changed; 0: there is none.
func (b *Replica) SharedRevision() uint64 { return b.sharedRevision }

// SharedGuards returns guards that hold only if no page was changed, nor begun, since this copy was
// current: pages are numbered from 1 on, and the next is begun only once all before it exist.
func (b *Replica) SharedGuards() []wire.Guard {
	var out []wire.Guard
	next := b.NextShared()
	for n := uint64(1); n <= next; n++ {
		version := uint64(0)
		if p := b.shared[n]; p != nil {
			version = p.Version
		}
		out = append(out, wire.Guard{Key: SharedKey(n), Version: version})
	}
	return out
}

// NextShared is the number of the page that would be begun next.
func (b *Replica) NextShared() uint64 {
	next := uint64(1)
	for b.shared[next] != nil {
		next++
	}
	return next
}

// SharedPage returns a page; nil: there is none.
func (b *Replica) SharedPage(n uint64) *SharedPage { return b.shared[n] }

// Folded returns the parts of a page as they are now: with ended attempts taken in, and without
// the jobs that are over. What it leaves out or takes in means the same to every reader.
func (b *Replica) Folded(n uint64) []SharedPart {
	page := b.shared[n]
	if page == nil {
		return nil
	}
	var out []SharedPart
	for i := range page.Parts {
		p := &page.Parts[i]
		j := b.jobs[p.Job]
		if j != nil && j.Over() {
			continue
		}
		folded := *p
		if s := j.pagePart(n, p.Index); s != nil {
			folded.Part = s.Clone()
		}
		out = append(out, folded)
	}
	return out
}

// pagePart finds a job's part in a page; nil: there is none. The job may be nil.
func (j *Job) pagePart(page uint64, index int) *pagePart {
	if j == nil {
		return nil
	}
	for _, s := range j.pageParts {
		if s.page == page && s.index == index {
			return s
		}
	}
	return nil
}

// applyShared takes a newer value of a page.
func (b *Replica) applyShared(n uint64, ev *wire.Change) error {
	old := b.shared[n]
	if old != nil && old.Version >= ev.Version || ev.Put == "" { // pages are rewritten, never deleted
		return nil
	}
	parts, err := DecodeShared(ev.Value)
	if err != nil {
		return fmt.Errorf("page %d: %w", n, err)
	}
	b.sharedRevision = max(b.sharedRevision, ev.Version)
	b.setShared(n, &SharedPage{Version: ev.Version, Parts: parts})
	return nil
}

// setShared replaces a page, and with it what it says of each job.
func (b *Replica) setShared(n uint64, page *SharedPage) {
	before := map[string]bool{}
	if old := b.shared[n]; old != nil {
		for i := range old.Parts {
			before[old.Parts[i].Job] = true
		}
	}
	b.shared[n] = page
	now := map[string][]*SharedPart{}
	for i := range page.Parts {
		p := &page.Parts[i]
		now[p.Job] = append(now[p.Job], p)
		before[p.Job] = true
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		b.setPageParts(b.job(id), n, now[id])
	}
}

// setPageParts replaces what a page says of a job.
func (b *Replica) setPageParts(j *Job, page uint64, parts []*SharedPart) {
	var old []job.Placement
	oldDone, oldSpent := j.Done, j.SharedSpent()
	j.forgetPage(page)
	j.pageParts = slices.DeleteFunc(j.pageParts, func(s *pagePart) bool {
		if s.page == page {
			old = append(old, s.Open...)
		}
		return s.page == page
	})
	var now []job.Placement
	if !j.Over() {
		for _, p := range parts {
			s := &pagePart{page: page, index: p.Index, last: p.Last, Part: p.Clone()}
			j.pageParts = append(j.pageParts, s)
			j.settleFacts(s)
			now = append(now, s.Open...)
		}
		slices.SortStableFunc(j.pageParts, func(a, b *pagePart) int { return cmp.Or(cmp.Compare(a.page, b.page), cmp.Compare(a.index, b.index)) })
	}
	j.raiseAttempt()
	j.recount()
	if slices.Equal(old, now) && j.Done == oldDone && equalSpent(oldSpent, j.SharedSpent()) {
		return // rewritten for the sake of others
	}
	b.place(j, old, now)
	b.to.Changed(j)
	b.to.Stored(j)
}

func equalSpent(a, b *job.Spent) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Time == b.Time && a.Cheap == b.Cheap && a.Lost == b.Lost
}

// voidPageParts drops what pages say of a job that is over.
func (b *Replica) voidPageParts(j *Job) {
	var old []job.Placement
	for _, s := range j.pageParts {
		old = append(old, s.Open...)
	}
	j.pageParts = nil
	if len(old) > 0 {
		b.place(j, old, nil)
	}
}

// settleFacts brings a part of a page up to the log of ended attempts.
func (j *Job) settleFacts(s *pagePart) {
	for _, f := range j.facts {
		if !s.close(f) && f.in == nil && f.Done && s.says(f.Task) {
			f.Merged = true
		}
	}
}

// close closes what a line says has ended, if the part has it open.
func (s *pagePart) close(f *Fact) bool {
	if f.Task/job.PartTasks != s.index || !s.Close(f.Task, f.Attempt, f.Machine, f.Stay) {
		return false
	}
	if f.Done {
		s.SetDone(f.Task % job.PartTasks)
	}
	f.in, f.Merged = s, false
	return true
}

// says tells whether the part says that a task is done.
func (s *pagePart) says(task int) bool {
	return s.index == task/job.PartTasks && s.IsDone(task%job.PartTasks)
}

// forgetPage has lines that a page's old value had open be taken in by the new one, unless that
// has them open, too.
func (j *Job) forgetPage(page uint64) {
	for _, f := range j.facts {
		if f.in != nil && f.in.page == page {
			f.in, f.Merged = nil, true
		}
	}
}

// raiseAttempt has the record in memory name the highest attempt that was ever seen: pages place
// attempts that the stored record doesn't name.
func (j *Job) raiseAttempt() {
	for _, s := range j.pageParts {
		j.highest = max(j.highest, s.last)
	}
	j.highest = max(j.highest, j.Rec.Attempt)
	if !j.Over() {
		j.Rec.Attempt = j.highest
	}
}

// pagesSayDone tells whether a page says that a task is done.
func (j *Job) pagesSayDone(task int) bool {
	return slices.ContainsFunc(j.pageParts, func(s *pagePart) bool { return s.says(task) })
}

// eachPagePart calls f for what pages say of the tasks from PartTasks*index on.
func (j *Job) eachPagePart(index int, f func(*pagePart)) {
	for _, s := range j.pageParts {
		if s.index == index {
			f(s)
		}
	}
}

// InPage tells whether the placement of a task's attempt on a machine is open in a page.
func (j *Job) InPage(task int, attempt uint64, machine string) bool {
	return slices.ContainsFunc(j.pageParts, func(s *pagePart) bool {
		return s.index == task/job.PartTasks && s.IsOpen(task, attempt, machine)
	})
}

// SharedDone is what pages say is done of the tasks that part n of a record holds.
func (j *Job) SharedDone(rec *job.Record, n int) string {
	first, _ := rec.Span(n, wire.MaxTasks)
	done := ""
	j.eachPagePart(first/job.PartTasks, func(s *pagePart) { done = job.UnionDone(done, s.Done) })
	return done
}

// LastShared is the last part of a record of whose tasks pages say anything; 0: none is.
func (j *Job) LastShared(rec *job.Record) int {
	last := 0
	for _, s := range j.pageParts {
		last = max(last, rec.PartOf(s.index*job.PartTasks))
	}
	return last
}

// SharedOpen counts the placements that are open in pages.
func (j *Job) SharedOpen() int {
	open := 0
	for _, s := range j.pageParts {
		open += len(s.Open)
	}
	return open
}

// SharedSpent is what has been spent by tasks in pages.
func (j *Job) SharedSpent() *job.Spent {
	var sum *job.Spent
	for _, s := range j.pageParts {
		sum = sum.Plus(s.Spent)
	}
	return sum
}

// IsOpen tells whether the placement of a task's attempt on a machine is open.
func (j *Job) IsOpen(task int, attempt uint64, machine string) bool {
	p, _ := j.Part(j.Rec.PartOf(task))
	return p.IsOpen(task, attempt, machine) || j.InPage(task, attempt, machine)
}

// IsDone tells whether a task is done.
func (j *Job) IsDone(task int) bool {
	if p, _ := j.Part(j.Rec.PartOf(task)); p.IsDone(task % job.PartTasks) {
		return true
	}
	return j.pagesSayDone(task)
}

// Placement finds the open placement of a task's attempt on a machine.
func (j *Job) Placement(task int, attempt uint64, machine string) (found job.Placement, ok bool) {
	p, _ := j.Part(j.Rec.PartOf(task))
	if found, ok = p.Placement(task, attempt, machine); ok {
		return found, true
	}
	j.eachPagePart(task/job.PartTasks, func(s *pagePart) {
		if !ok {
			found, ok = s.Placement(task, attempt, machine)
		}
	})
	return found, ok
}

// Whole returns part n of the record with what pages say of the same tasks: done tasks and open
// placements. It is to be read only.
func (j *Job) Whole(n int) *job.Part {
	p, _ := j.Part(n)
	if len(j.pageParts) == 0 {
		return p
	}
	first, _ := j.Rec.Span(n, wire.MaxTasks)
	whole := *p
	j.eachPagePart(first/job.PartTasks, func(s *pagePart) {
		whole.Done = job.UnionDone(whole.Done, s.Done)
		whole.Open = append(slices.Clip(whole.Open), s.Open...)
	})
	return &whole
}
