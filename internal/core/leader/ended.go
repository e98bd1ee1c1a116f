package leader

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// The log of ended attempts. A change of the state service is dear and large
// arrays end task by task; so an end that neither finishes its job nor comes
// with new places is not written into the job's record but, with those of all
// other jobs, into a page of this log. What a page says of an attempt on a
// machine is true for ever, whichever record it is held against, so it can be
// applied any number of times. The record takes it over when it is written
// next; a page whose every line has been taken over is deleted.

const (
	// endedShare is the part of all changes that the log may take while any job waits for the room or
	// the part of a limit that an end gives back, and calmShare the part while none does.
	endedShare, calmShare = 0.2, 0.03
	// calmPause is the longest that the log waits for more ends.
	calmPause = config.Second / 2
	// pageBits is how many bits of a page's number count the pages of a leader. The
	// others are its first token: a number that came back after its page was
	// deleted could be taken for the old page grown longer.
	pageBits = 20
	// maxLogBytes is how much the pages may hold before the jobs in the oldest are
	// written for its sake.
	maxLogBytes = 64 << 10
)

// endedLog is what the leader is to write into the log.
type endedLog struct {
	begun   uint64 // how many pages this leader has begun
	current uint64 // the page that the leader fills; 0: none
	fresh   []records.Ended
	txn     *wire.Commit    // has not been settled
	out     bool            // and its answer may still come
	leaving map[uint64]bool // pages whose deletion is under way
	writeAt Micros
}

// logEnds hands closings to the log.
func (l *Leader) logEnds(j *Job, closes []closing) {
	for _, cl := range closes {
		for i := range j.closes {
			if o := &j.closes[i]; o.key == cl.key && o.machine == cl.machine && !o.logging {
				o.logging = true
				l.ended.fresh = append(l.ended.fresh, records.Ended{Job: cl.key.Job, Task: cl.key.Task, Attempt: cl.key.Attempt,
					Machine: cl.machine, Done: cl.done, Stay: cl.stay})
			}
		}
	}
}

// writeEnded commits what has been noted, a page at a time.
func (l *Leader) writeEnded() {
	e := &l.ended
	if l.claim.Raising() || e.out || l.box.Now() < e.writeAt {
		return
	}
	if e.txn != nil { // without an answer: it may be applied later, so the same again
		l.sendEnded(e.txn)
		return
	}
	if len(e.fresh) == 0 {
		return
	}
	var lines []records.Ended
	version := uint64(0)
	if p := l.replica.Page(e.current); p != nil {
		version = p.Version
		for _, f := range p.Facts {
			lines = append(lines, f.Ended)
		}
	}
	value := l.fitEnded(lines)
	if version == 0 || value == nil { // the first page, or the next
		e.begun++
		e.current, version = l.claim.Base()<<pageBits|e.begun, 0
		if value = l.fitEnded(nil); value == nil {
			return
		}
	}
	e.writeAt = l.box.Now() + l.endedPause()
	key := records.PageKey(e.current)
	e.txn = &wire.Commit{
		Guards:  []wire.Guard{l.claim.Guard(), {Key: key, Version: version}},
		Changes: []wire.Change{{Put: key, Value: value}},
	}
	l.sendEnded(e.txn)
}

// endedPause is the time between two pages. While nothing waits for what ends give back, they are
// collected for a moment: each page costs a change, however few ends it holds.
func (l *Leader) endedPause() Micros {
	short := l.form.Pause(endedShare)
	if !l.pagesInUse() || l.survey.pressing {
		return short
	}
	return max(short, min(calmPause, l.form.Pause(calmShare)))
}

// fitEnded adds as many fresh lines to a page as it has room for; nil: none.
func (l *Leader) fitEnded(lines []records.Ended) []byte {
	for n := len(l.ended.fresh); n > 0; n /= 2 {
		value, err := records.EncodePage(append(lines[:len(lines):len(lines)], l.ended.fresh[:n]...), l.form.Format)
		if err == nil && l.form.Fits(value) {
			return value
		}
	}
	return nil
}

func (l *Leader) sendEnded(t *wire.Commit) {
	l.ended.out = true
	l.box.CommitLater(*t, msg.ForEndedPage, func(d msg.CommitDone) {
		e := &l.ended
		if !l.claim.Held() || e.txn != t {
			return
		}
		e.out = false
		key := t.Changes[0].Put
		switch d.Outcome {
		case msg.Unknown:
			e.writeAt = l.box.Now() + commitPause
			return
		case msg.OK:
			l.take(&wire.Change{Put: key, Value: t.Changes[0].Value, Version: d.Revision})
		case msg.Conflict:
			if l.claim.Failed(t.Guards[0].Version, d.Failed) {
				return
			}
			if slices.Contains(d.Failed, key) { // an earlier sending has been applied after all
				e.writeAt = l.box.Now() + commitPause
				l.box.Read(key, func(d msg.ReadDone) {
					if d.Outcome == msg.OK && d.Item.Version != 0 {
						l.take(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
						l.logged()
					}
				})
			}
		case msg.Invalid:
			// An earlier sending may have been applied: the watch tells. What isn't in
			// the log by then goes into a new page.
			e.current = 0
			e.writeAt = l.box.Now() + config.Second
		default:
			e.writeAt = l.box.Now() + commitPause
		}
		e.txn = nil
		l.logged()
	})
}

// logged drops what pages or records say by now from what is to be written.
func (l *Leader) logged() {
	e := &l.ended
	left := e.fresh[:0]
	for _, line := range e.fresh {
		j := l.jobs[line.Job]
		if j != nil && j.Rec.Spec != nil {
			if j.IsOpen(line.Task, line.Attempt, line.Machine) {
				left = append(left, line)
				continue
			}
		}
		if j != nil {
			j.closes = slices.DeleteFunc(j.closes, func(cl closing) bool {
				return cl.logging && cl.key.Task == line.Task && cl.key.Attempt == line.Attempt && cl.machine == line.Machine
			})
			l.dirty[j.ID] = true
			l.passDue = true
		}
	}
	e.fresh = left
}

// tidyEnded deletes pages that no record needs any more, and has jobs written
// for the sake of the oldest page when there are many.
func (l *Leader) tidyEnded() {
	pages := l.replica.Pages()
	for i, n := range pages {
		p := l.replica.Page(n)
		if n == l.ended.current || l.ended.leaving[n] {
			continue
		}
		needed := false
		for _, f := range p.Facts {
			j := l.jobs[f.Job]
			if f.Merged || j == nil || j.Rec.Spec == nil {
				continue
			}
			needed = true
			if i > 0 || len(pages)*l.form.Room() <= maxLogBytes {
				continue
			}
			if shared, ok := f.SharedPage(); ok {
				l.placing.fold[shared] = true
				continue
			}
			if !j.mergeNow {
				j.mergeNow = true
				l.dirty[j.ID] = true
			}
		}
		if needed {
			continue
		}
		leaving := l.ended.leaving
		leaving[n] = true
		key := records.PageKey(n)
		l.box.CommitLater(wire.Commit{
			Guards:  []wire.Guard{l.claim.Guard(), {Key: key, Version: p.Version}},
			Changes: []wire.Change{{Delete: key}},
		}, msg.ForCleanup, func(d msg.CommitDone) {
			delete(leaving, n)
			if d.Outcome == msg.OK && l.replica.Page(n) == p {
				l.replica.Forget(n)
			}
		})
		return // one at a time
	}
}
