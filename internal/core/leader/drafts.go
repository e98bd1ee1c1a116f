package leader

import (
	"slices"

	"coralhub/internal/core/job"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// Pages of shared parts as they are put together, before a transaction is made of them.

// draft is a page as it is to be written.
type draft struct {
	number  uint64
	version uint64
	parts   []records.SharedPart
	size    int // bounds what it takes of the value's room
}

// draftOf begins to rewrite a page of the copy.
func (l *Leader) draftOf(n uint64) *draft {
	d := &draft{number: n, version: l.replica.SharedPage(n).Version, parts: l.replica.Folded(n)}
	value, err := records.EncodeShared(d.parts)
	if err != nil {
		panic(err) // a struct of numbers and text always encodes
	}
	d.size = wire.JSONSize(value)
	return d
}

// put puts a job's plan into drafts, which may be begun for it, up to a number of them. It returns
// false, and leaves the drafts as they were, if the transaction has no room for all of it.
func (l *Leader) put(j *Job, drafts []*draft, most int) ([]*draft, bool) {
	type mark struct {
		d     *draft
		parts int
		size  int
	}
	var undo []mark
	for _, d := range drafts {
		undo = append(undo, mark{d, len(d.parts), d.size})
	}
	if len(drafts) > most {
		return nil, false
	}
	out := slices.Clone(drafts)
	for _, part := range sharedParts(j) {
		size := partSize(&part)
		i := slices.IndexFunc(out, func(d *draft) bool { return d.size+size <= l.form.Room() })
		if i < 0 {
			d := l.nextDraft(out, most)
			if d == nil || d.size+size > l.form.Room() {
				for _, m := range undo {
					m.d.parts, m.d.size = m.d.parts[:m.parts], m.size
				}
				return nil, false
			}
			i = len(out)
			out = append(out, d)
		}
		out[i].add(part, size)
	}
	return out, true
}

// add puts a part into a page. One that the page has of the same tasks is joined with it in the end.
func (d *draft) add(part records.SharedPart, size int) {
	d.size += size
	d.parts = append(d.parts, part)
}

// nextDraft begins another page: the one of the copy with the most room, or a new one; nil: the
// transaction can't have more.
func (l *Leader) nextDraft(drafts []*draft, most int) *draft {
	if len(drafts) >= min(most, l.form.Ops()) {
		return nil
	}
	p := &l.placing
	best, least := uint64(0), int(pageFill*float64(l.form.Room()))
	for _, n := range l.replica.SharedPages() {
		if !p.free(n) || slices.ContainsFunc(drafts, func(d *draft) bool { return d.number == n }) {
			continue
		}
		if size := l.liveSize(n); size < least {
			best, least = n, size
		}
	}
	if best != 0 {
		if d := l.draftOf(best); d.size <= int(pageFill*float64(l.form.Room())) {
			return d
		}
	}
	// Pages are begun in the order of their numbers, and by one transaction at a time: who guards
	// all pages there are and the next one guards against any.
	number := l.replica.NextShared()
	if _, begun := p.busy[number]; begun {
		return nil
	}
	for _, d := range drafts {
		if d.version == 0 {
			number = d.number + 1
		}
	}
	return &draft{number: number, size: emptyPageSize}
}

const (
	// emptyPageSize bounds what a page takes that holds nothing.
	emptyPageSize = 16
	// partRest and placeSize estimate what a part and a place in it take.
	partRest, placeSize = 60, 30
)

// liveSize estimates what a page would take without the jobs that are over.
func (l *Leader) liveSize(n uint64) int {
	size := emptyPageSize
	page := l.replica.SharedPage(n)
	for i := range page.Parts {
		if j := l.jobs[page.Parts[i].Job]; j == nil || !j.Over() {
			size += partRest + placeSize*min(len(page.Parts[i].Open), job.PartTasks)
		}
	}
	return size
}

// sharedParts are a job's planned placements as parts of pages.
func sharedParts(j *Job) []records.SharedPart {
	var out []records.SharedPart
	for _, pl := range j.plan {
		index := pl.Task / job.PartTasks
		i := slices.IndexFunc(out, func(p records.SharedPart) bool { return p.Index == index })
		if i < 0 {
			i = len(out)
			out = append(out, records.SharedPart{Job: j.ID, Index: index})
		}
		out[i].Open = append(out[i].Open, pl)
		out[i].Last = max(out[i].Last, pl.Attempt)
	}
	return out
}

// partSize bounds what a part adds to a page.
func partSize(p *records.SharedPart) int {
	value, err := records.EncodeShared([]records.SharedPart{*p})
	if err != nil {
		panic(err) // a struct of numbers and text always encodes
	}
	return wire.JSONSize(value)
}

// mergeParts joins the parts of a page that are of the same tasks.
func mergeParts(parts []records.SharedPart) []records.SharedPart {
	type tasks struct {
		job   string
		index int
	}
	at := map[tasks]int{}
	out := make([]records.SharedPart, 0, len(parts))
	for _, p := range parts {
		key := tasks{p.Job, p.Index}
		i, known := at[key]
		if !known {
			at[key] = len(out)
			out = append(out, p)
			continue
		}
		same := &out[i]
		same.Open = append(slices.Clip(same.Open), p.Open...)
		same.Last = max(same.Last, p.Last)
		same.Done = job.UnionDone(same.Done, p.Done)
		same.Spent = same.Spent.Plus(p.Spent)
	}
	return out
}
