package leader

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// The completion log. A change of the key-value store is expensive, and large
// arrays complete task by task; so a completion that neither ends its job nor comes
// with new placements is not written into the job's record but, with those of all
// other jobs, into a page of this log. What a page says of an attempt on a
// machine stays true whichever version of the record it is compared with, so it can be
// applied any number of times. The record merges it when it is written
// next; a page whose entries have all been merged is deleted.

const (
	// completionShare is the share of all changes that the log may take while any job waits for the capacity or
	// the part of a limit that a completion frees, and idleCompletionShare the share while none does.
	completionShare, idleCompletionShare = 0.2, 0.03
	// maxCompletionDelay is the longest that the log waits for more completions.
	maxCompletionDelay = config.Second / 2
	// pageNumberBits is how many low bits of a page's number count the pages of a term. The
	// others are the term's first fencing token: a number that was used again after its page was
	// deleted could be taken for the old page with more entries.
	pageNumberBits = 20
	// maxCompletionLogBytes is how much the pages may hold before the jobs in the oldest page are
	// written so that it can be deleted.
	maxCompletionLogBytes = 64 << 10
)

// completionLog writes completions into the completion log and deletes its merged pages. One page is in flight at a time.
type completionLog struct {
	*environment
	commits    *jobCommitter
	placements *placementCommits
	scheduler  *scheduler
	snapshot   *clusterSnapshot

	pagesBegun    uint64 // pages begun in this term
	currentPage   uint64 // number of the page that this leader fills; 0: none
	unwritten     []records.CompletionEntry
	transaction   *wire.Transaction // not settled; nil: none
	inFlight      bool              // the answer to transaction is still expected
	deletingPages map[uint64]bool   // pages whose deletion is in flight
	nextWriteAt   Micros
}

// reset has the next term begin new pages. The time of the next write is kept: it saves the key-value store's quota.
func (cl *completionLog) reset() {
	cl.pagesBegun = 0
	cl.currentPage = 0
	cl.unwritten = nil
	cl.transaction = nil
	cl.inFlight = false
	cl.deletingPages = map[uint64]bool{}
}

// logCompletions hands completions of a job to the log, unless it has them already.
func (cl *completionLog) logCompletions(j *Job, completions []completion) {
	for _, c := range completions {
		for i := range j.completions {
			known := &j.completions[i]
			if known.key != c.key || known.machine != c.machine || known.logged {
				continue
			}
			known.logged = true
			cl.unwritten = append(cl.unwritten, records.CompletionEntry{
				Job:       c.key.Job,
				Task:      c.key.Task,
				Attempt:   c.key.Attempt,
				Machine:   c.machine,
				Done:      c.done,
				Occupancy: c.occupancy,
			})
		}
	}
}

// writeCompletionLog commits unwritten entries, a page at a time.
func (cl *completionLog) writeCompletionLog() {
	if cl.elector.TokenChangePending() || cl.inFlight || cl.outbox.Now() < cl.nextWriteAt {
		return
	}
	if cl.transaction != nil { // had no answer: it may be applied later, so the same is sent again
		cl.sendCompletionPage(cl.transaction)
		return
	}
	if len(cl.unwritten) == 0 {
		return
	}
	value, version := cl.nextPageValue()
	if value == nil {
		return
	}
	cl.nextWriteAt = cl.outbox.Now() + cl.completionLogInterval()
	key := records.CompletionPageKey(cl.currentPage)
	cl.transaction = &wire.Transaction{
		Conditions: []wire.Condition{cl.elector.Condition(), {Key: key, Version: version}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}
	cl.sendCompletionPage(cl.transaction)
}

// nextPageValue returns the value of the current page with unwritten entries added, and the version that it replaces.
// If there is no current page or it is full, it begins another one. nil: no entry fits.
func (cl *completionLog) nextPageValue() (value []byte, version uint64) {
	var entries []records.CompletionEntry
	if page := cl.replica.CompletionPage(cl.currentPage); page != nil {
		version = page.Version
		for _, c := range page.Completions {
			entries = append(entries, c.CompletionEntry)
		}
	}
	value = cl.encodeCompletions(entries)
	if version != 0 && value != nil {
		return value, version
	}
	cl.pagesBegun++
	cl.currentPage = cl.elector.TermStart()<<pageNumberBits | cl.pagesBegun
	return cl.encodeCompletions(nil), 0
}

// completionLogInterval is the time between two writes. While no job waits for what completions free, they are
// collected for a moment: each page costs a change, however few entries it holds.
func (cl *completionLog) completionLogInterval() Micros {
	shortest := cl.encoding.IntervalForShare(completionShare)
	if !cl.usesPlacementPages() || cl.snapshot.capacityShort {
		return shortest
	}
	return max(shortest, min(maxCompletionDelay, cl.encoding.IntervalForShare(idleCompletionShare)))
}

// encodeCompletions adds unwritten entries to those of a page, about as many as fit; nil: none fits.
func (cl *completionLog) encodeCompletions(entries []records.CompletionEntry) []byte {
	for n := len(cl.unwritten); n > 0; n /= 2 {
		value, err := records.EncodeCompletionPage(append(slices.Clip(entries), cl.unwritten[:n]...), cl.encoding.Format)
		if err == nil && cl.encoding.Fits(value) {
			return value
		}
	}
	return nil
}

func (cl *completionLog) sendCompletionPage(t *wire.Transaction) {
	cl.inFlight = true
	cl.outbox.CommitDeferrable(*t, msg.PurposeCompletionLog, func(d msg.CommitDone) {
		if !cl.elector.IsLeader() || cl.transaction != t {
			return
		}
		cl.inFlight = false
		cl.onLogAnswer(t, &d)
	})
}

// onLogAnswer handles the answer to the transaction on the current page.
func (cl *completionLog) onLogAnswer(t *wire.Transaction, d *msg.CommitDone) {
	key := t.Changes[0].Put
	switch d.Outcome {
	case msg.Unknown:
		cl.nextWriteAt = cl.outbox.Now() + outbox.CommitRetryInterval
		return
	case msg.OK:
		cl.applyRecord(&wire.Change{Put: key, Value: t.Changes[0].Value, Version: d.Revision})
	case msg.Conflict:
		if cl.elector.DeposedBy(t.Conditions[0].Version, d.Failed) {
			return
		}
		if slices.Contains(d.Failed, key) { // an earlier sending has been applied after all
			cl.nextWriteAt = cl.outbox.Now() + outbox.CommitRetryInterval
			cl.readPage(key)
		}
	case msg.Invalid:
		// An earlier sending may have been applied: the watch will show it. What isn't in
		// the log by then goes into a new page.
		cl.currentPage = 0
		cl.nextWriteAt = cl.outbox.Now() + config.Second
	default:
		cl.nextWriteAt = cl.outbox.Now() + outbox.CommitRetryInterval
	}
	cl.transaction = nil
	cl.dropLogged()
}

// readPage updates the replica to what a page of the log holds now.
func (cl *completionLog) readPage(key string) {
	cl.outbox.Read(key, func(d msg.ReadDone) {
		if d.Outcome == msg.OK && d.Item.Version != 0 {
			cl.applyRecord(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			cl.dropLogged()
		}
	})
}

// dropLogged drops the unwritten entries, and the completions they came from, that pages or records hold by now.
func (cl *completionLog) dropLogged() {
	kept := cl.unwritten[:0]
	for _, entry := range cl.unwritten {
		j := cl.jobs[entry.Job]
		if j == nil {
			continue
		}
		if j.Record.Spec != nil && j.IsOpen(entry.Task, entry.Attempt, entry.Machine) {
			kept = append(kept, entry)
			continue
		}
		j.completions = slices.DeleteFunc(j.completions, func(c completion) bool {
			return c.logged && c.key.Task == entry.Task && c.key.Attempt == entry.Attempt && c.machine == entry.Machine
		})
		cl.commits.requestCommit(j.ID)
		cl.scheduler.requestCycle()
	}
	cl.unwritten = kept
}

// deleteMergedPages deletes the first page that no record needs any more, and has jobs written
// so that the oldest page can be deleted when there are many.
func (cl *completionLog) deleteMergedPages() {
	pages := cl.replica.CompletionPages()
	tooMany := len(pages)*cl.encoding.MaxValueBytes() > maxCompletionLogBytes
	for i, n := range pages {
		if n == cl.currentPage || cl.deletingPages[n] {
			continue
		}
		page := cl.replica.CompletionPage(n)
		oldest := i == 0
		if cl.pageNeeded(page, oldest && tooMany) {
			continue
		}
		cl.deletePage(n, page)
		return // one at a time
	}
}

// pageNeeded reports whether a page has entries that are not merged. If merge is set, it has them merged.
func (cl *completionLog) pageNeeded(page *records.CompletionPage, merge bool) bool {
	needed := false
	for _, c := range page.Completions {
		j := cl.jobs[c.Job]
		if c.Merged || j == nil || j.Record.Spec == nil {
			continue
		}
		needed = true
		if !merge {
			continue
		}
		if placementPage, ok := c.PlacementPage(); ok {
			cl.placements.requestCompaction(placementPage)
			continue
		}
		if !j.mergeRequested {
			j.mergeRequested = true
			cl.commits.requestCommit(j.ID)
		}
	}
	return needed
}

// deletePage deletes a page whose entries are all merged.
func (cl *completionLog) deletePage(n uint64, page *records.CompletionPage) {
	deleting := cl.deletingPages // of this term: reset replaces it
	deleting[n] = true
	key := records.CompletionPageKey(n)
	cl.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{cl.elector.Condition(), {Key: key, Version: page.Version}},
		Changes:    []wire.Change{{Delete: key}},
	}, msg.PurposeCleanup, func(d msg.CommitDone) {
		delete(deleting, n)
		if d.Outcome == msg.OK && cl.replica.CompletionPage(n) == page {
			cl.replica.DropCompletionPage(n)
		}
	})
}
