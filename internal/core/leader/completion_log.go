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
	// completionShare is the part of all changes that the log may take while any job waits for the room or
	// the part of a limit that an end gives back, and calmShare the part while none does.
	completionShare, idleCompletionShare = 0.2, 0.03
	// maxCompletionDelay is the longest that the log waits for more ends.
	maxCompletionDelay = config.Second / 2
	// pageNumberBits is how many bits of a page's number count the pages of a leader. The
	// others are its first token: a number that came back after its page was
	// deleted could be taken for the old page grown longer.
	pageNumberBits = 20
	// maxCompletionLogBytes is how much the pages may hold before the jobs in the oldest are
	// written for its sake.
	maxCompletionLogBytes = 64 << 10
)

// completionLog is what the leader is to write into the log.
type completionLog struct {
	*environment
	commits    *jobCommitter
	placements *placementCommits
	scheduler  *scheduler
	snapshot   *clusterSnapshot

	pagesBegun    uint64 // how many pages this leader has begun
	currentPage   uint64 // the page that the leader fills; 0: none
	unwritten     []records.CompletionEntry
	transaction   *wire.Transaction // has not been settled
	inFlight      bool              // and its answer may still come
	deletingPages map[uint64]bool   // pages whose deletion is under way
	nextWriteAt   Micros
}

// reset begins new pages. When the next may be written stays: it spares the state service's quota.
func (lg *completionLog) reset() {
	lg.pagesBegun, lg.currentPage = 0, 0
	lg.unwritten, lg.transaction, lg.inFlight = nil, nil, false
	lg.deletingPages = map[uint64]bool{}
}

// logCompletions hands closings to the log.
func (lg *completionLog) logCompletions(j *Job, closes []completion) {
	for _, cl := range closes {
		for i := range j.completions {
			if o := &j.completions[i]; o.key == cl.key && o.machine == cl.machine && !o.logged {
				o.logged = true
				lg.unwritten = append(lg.unwritten, records.CompletionEntry{Job: cl.key.Job, Task: cl.key.Task, Attempt: cl.key.Attempt,
					Machine: cl.machine, Done: cl.done, Occupancy: cl.occupancy})
			}
		}
	}
}

// writeCompletionLog commits what has been noted, a page at a time.
func (lg *completionLog) writeCompletionLog() {
	e := lg
	if lg.elector.TokenChangePending() || e.inFlight || lg.outbox.Now() < e.nextWriteAt {
		return
	}
	if e.transaction != nil { // without an answer: it may be applied later, so the same again
		lg.sendCompletionPage(e.transaction)
		return
	}
	if len(e.unwritten) == 0 {
		return
	}
	var lines []records.CompletionEntry
	version := uint64(0)
	if p := lg.replica.CompletionPage(e.currentPage); p != nil {
		version = p.Version
		for _, f := range p.Completions {
			lines = append(lines, f.CompletionEntry)
		}
	}
	value := lg.encodeCompletions(lines)
	if version == 0 || value == nil { // the first page, or the next
		e.pagesBegun++
		e.currentPage, version = lg.elector.TermStart()<<pageNumberBits|e.pagesBegun, 0
		if value = lg.encodeCompletions(nil); value == nil {
			return
		}
	}
	e.nextWriteAt = lg.outbox.Now() + lg.completionLogInterval()
	key := records.CompletionPageKey(e.currentPage)
	e.transaction = &wire.Transaction{
		Conditions: []wire.Condition{lg.elector.Condition(), {Key: key, Version: version}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}
	lg.sendCompletionPage(e.transaction)
}

// completionLogInterval is the time between two pages. While nothing waits for what ends give back, they are
// collected for a moment: each page costs a change, however few ends it holds.
func (lg *completionLog) completionLogInterval() Micros {
	short := lg.encoding.IntervalForShare(completionShare)
	if !lg.usesPlacementPages() || lg.snapshot.capacityShort {
		return short
	}
	return max(short, min(maxCompletionDelay, lg.encoding.IntervalForShare(idleCompletionShare)))
}

// encodeCompletions adds as many fresh lines to a page as it has room for; nil: none.
func (lg *completionLog) encodeCompletions(lines []records.CompletionEntry) []byte {
	for n := len(lg.unwritten); n > 0; n /= 2 {
		value, err := records.EncodeCompletionPage(append(lines[:len(lines):len(lines)], lg.unwritten[:n]...), lg.encoding.Format)
		if err == nil && lg.encoding.Fits(value) {
			return value
		}
	}
	return nil
}

func (lg *completionLog) sendCompletionPage(t *wire.Transaction) {
	lg.inFlight = true
	lg.outbox.CommitDeferrable(*t, msg.PurposeCompletionLog, func(d msg.CommitDone) {
		e := lg
		if !lg.elector.IsLeader() || e.transaction != t {
			return
		}
		e.inFlight = false
		key := t.Changes[0].Put
		switch d.Outcome {
		case msg.Unknown:
			e.nextWriteAt = lg.outbox.Now() + commitRetryInterval
			return
		case msg.OK:
			lg.applyRecord(&wire.Change{Put: key, Value: t.Changes[0].Value, Version: d.Revision})
		case msg.Conflict:
			if lg.elector.DeposedBy(t.Conditions[0].Version, d.Failed) {
				return
			}
			if slices.Contains(d.Failed, key) { // an earlier sending has been applied after all
				e.nextWriteAt = lg.outbox.Now() + commitRetryInterval
				lg.outbox.Read(key, func(d msg.ReadDone) {
					if d.Outcome == msg.OK && d.Item.Version != 0 {
						lg.applyRecord(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
						lg.dropLogged()
					}
				})
			}
		case msg.Invalid:
			// An earlier sending may have been applied: the watch tells. What isn't in
			// the log by then goes into a new page.
			e.currentPage = 0
			e.nextWriteAt = lg.outbox.Now() + config.Second
		default:
			e.nextWriteAt = lg.outbox.Now() + commitRetryInterval
		}
		e.transaction = nil
		lg.dropLogged()
	})
}

// dropLogged drops what pages or records say by now from what is to be written.
func (lg *completionLog) dropLogged() {
	e := lg
	left := e.unwritten[:0]
	for _, line := range e.unwritten {
		j := lg.jobs[line.Job]
		if j != nil && j.Record.Spec != nil {
			if j.IsOpen(line.Task, line.Attempt, line.Machine) {
				left = append(left, line)
				continue
			}
		}
		if j != nil {
			j.completions = slices.DeleteFunc(j.completions, func(cl completion) bool {
				return cl.logged && cl.key.Task == line.Task && cl.key.Attempt == line.Attempt && cl.machine == line.Machine
			})
			lg.commits.pendingCommits[j.ID] = true
			lg.scheduler.cycleDue = true
		}
	}
	e.unwritten = left
}

// deleteMergedPages deletes pages that no record needs any more, and has jobs written
// for the sake of the oldest page when there are many.
func (lg *completionLog) deleteMergedPages() {
	pages := lg.replica.CompletionPages()
	for i, n := range pages {
		p := lg.replica.CompletionPage(n)
		if n == lg.currentPage || lg.deletingPages[n] {
			continue
		}
		needed := false
		for _, f := range p.Completions {
			j := lg.jobs[f.Job]
			if f.Merged || j == nil || j.Record.Spec == nil {
				continue
			}
			needed = true
			if i > 0 || len(pages)*lg.encoding.MaxValueBytes() <= maxCompletionLogBytes {
				continue
			}
			if shared, ok := f.PlacementPage(); ok {
				lg.placements.pagesToCompact[shared] = true
				continue
			}
			if !j.mergeRequested {
				j.mergeRequested = true
				lg.commits.pendingCommits[j.ID] = true
			}
		}
		if needed {
			continue
		}
		leaving := lg.deletingPages
		leaving[n] = true
		key := records.CompletionPageKey(n)
		lg.outbox.CommitDeferrable(wire.Transaction{
			Conditions: []wire.Condition{lg.elector.Condition(), {Key: key, Version: p.Version}},
			Changes:    []wire.Change{{Delete: key}},
		}, msg.PurposeCleanup, func(d msg.CommitDone) {
			delete(leaving, n)
			if d.Outcome == msg.OK && lg.replica.CompletionPage(n) == p {
				lg.replica.DropCompletionPage(n)
			}
		})
		return // one at a time
	}
}
