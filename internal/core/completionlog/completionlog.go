// Package completionlog writes completions of tasks into the completion log. Changes of the state service are
// expensive, and large arrays complete task by task. A completion that neither finishes its job nor is committed
// together with new placements is therefore not written into the job's record, but into a page of this log, together
// with the completions of all other jobs.
//
// An entry records that an attempt is no longer on a machine. This is true for every version of the job's record, so an
// entry can be applied any number of times. The next write of the record merges the entry, and a page is deleted once
// all of its entries have been merged. Package records reads the pages.
package completionlog

import (
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/election"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

const (
	// completionShare is the share of the state service's write rate that the log may use while any job waits for
	// the capacity or the part of a limit that a completion frees, and idleCompletionShare the share while none does.
	completionShare, idleCompletionShare = 0.2, 0.03
	// maxCompletionDelay limits the time for which completions are collected while no job waits for what they free.
	maxCompletionDelay = config.Second / 2
	// pageNumberBits is the number of low bits of a page number that count the pages of a term. The high bits are
	// the term's first fencing token: if a number were reused after its page was deleted, the new page could be
	// mistaken for the old one with more entries.
	pageNumberBits = 20
	// maxCompletionLogBytes limits the size of all pages, each counted as full. Above it, the records and placement
	// pages that hold the tasks of the oldest page's entries are written, so that the oldest page can be deleted.
	maxCompletionLogBytes = 64 << 10
)

// Jobs gives the log access to the state of jobs, and is notified of stored entries.
type Jobs interface {
	// IsOpen reports whether the placement of an entry's attempt is still open in the replica.
	IsOpen(e *records.CompletionEntry) bool
	// EntryStored is called when an entry that was added is stored, or no longer has to be.
	EntryStored(e *records.CompletionEntry)
	// HasSpec reports whether the replica has the record of a job with its spec. If not, none of the job's
	// entries is needed.
	HasSpec(id string) bool
	// RequestMerge requests a write of the record or placement page that holds an entry's task.
	RequestMerge(c *records.Completion)
	// CapacityShort reports whether a job waits, or may wait, for what completions free.
	CapacityShort() bool
	// ApplyPage applies a page to the replica, and logs an error if it cannot be decoded.
	ApplyPage(change *wire.Change)
}

// Log writes completions into the completion log and deletes its merged pages. At most one write of a page is in flight
// at a time. It is not safe for concurrent use.
type Log struct {
	outbox   *outbox.Outbox
	encoding *records.Encoding
	elector  *election.Elector
	replica  *records.Replica
	jobs     Jobs

	pagesStarted  uint64 // number of pages started in this term
	currentPage   uint64 // number of the page that this leader fills, 0 if there is none
	unwritten     []records.CompletionEntry
	transaction   *wire.Transaction // write of the current page whose outcome is not final, nil if there is none
	inFlight      bool              // whether the response to transaction is outstanding
	deletingPages map[uint64]bool   // numbers of the pages whose deletion is in flight
	nextWriteAt   config.Micros
}

// New returns a log without entries to write.
func New(
	out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector, replica *records.Replica, jobs Jobs,
) *Log {
	l := &Log{outbox: out, encoding: encoding, elector: elector, replica: replica, jobs: jobs}
	l.Reset()
	return l
}

// Reset discards the entries and the state of the term, so that the next term begins new pages. The time of the next
// write is kept, to stay within the state service's quota.
func (l *Log) Reset() {
	l.pagesStarted = 0
	l.currentPage = 0
	l.unwritten = nil
	l.transaction = nil
	l.inFlight = false
	l.deletingPages = map[uint64]bool{}
}

// Add queues an entry, to be written together with others.
func (l *Log) Add(e records.CompletionEntry) { l.unwritten = append(l.unwritten, e) }

// Pending returns the number of entries that are not known to be stored.
func (l *Log) Pending() int { return len(l.unwritten) }

// Write commits unwritten entries, one page at a time. It does nothing while a write is in flight, the next write is
// not yet due, or the fencing token is being replaced.
func (l *Log) Write() {
	if l.elector.TokenChangePending() || l.inFlight || l.outbox.Now() < l.nextWriteAt {
		return
	}
	if l.transaction != nil { // it had no response and may still be applied, so the same one is sent again
		l.send(l.transaction)
		return
	}
	if len(l.unwritten) == 0 {
		return
	}
	value, version := l.nextPageValue()
	if value == nil {
		return
	}
	l.nextWriteAt = l.outbox.Now() + l.writeInterval()
	key := records.CompletionPageKey(l.currentPage)
	l.transaction = &wire.Transaction{
		Conditions: []wire.Condition{l.elector.Condition(), {Key: key, Version: version}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}
	l.send(l.transaction)
}

// nextPageValue returns the value of the current page with unwritten entries added, and the version that it replaces.
// If there is no current page or it is full, it begins another one. The value is nil if no entry fits.
func (l *Log) nextPageValue() (value []byte, version uint64) {
	var entries []records.CompletionEntry
	if page := l.replica.CompletionPage(l.currentPage); page != nil {
		version = page.Version
		for _, c := range page.Completions {
			entries = append(entries, c.CompletionEntry)
		}
	}
	value = l.encode(entries)
	if version != 0 && value != nil {
		return value, version
	}
	l.pagesStarted++
	l.currentPage = l.elector.TermStart()<<pageNumberBits | l.pagesStarted
	return l.encode(nil), 0
}

// writeInterval returns the time between two writes. While no job waits for what completions free, they are collected
// for longer: each write of a page costs one change, however few entries it adds.
func (l *Log) writeInterval() config.Micros {
	shortest := l.encoding.IntervalForShare(completionShare)
	if l.jobs.CapacityShort() {
		return shortest
	}
	return max(shortest, min(maxCompletionDelay, l.encoding.IntervalForShare(idleCompletionShare)))
}

// encode returns the value of a page with the given entries and about as many unwritten ones as fit, or nil if none
// fits.
func (l *Log) encode(entries []records.CompletionEntry) []byte {
	for n := len(l.unwritten); n > 0; n /= 2 {
		value, err := records.EncodeCompletionPage(append(slices.Clip(entries), l.unwritten[:n]...), l.encoding.Format)
		if err == nil && l.encoding.Fits(value) {
			return value
		}
	}
	return nil
}

func (l *Log) send(t *wire.Transaction) {
	l.inFlight = true
	l.outbox.CommitDeferrable(*t, msg.PurposeCompletionLog, func(d msg.CommitDone) {
		if !l.elector.IsLeader() || l.transaction != t {
			return
		}
		l.inFlight = false
		l.handleResult(t, &d)
	})
}

// handleResult handles the result of the transaction that writes the current page.
func (l *Log) handleResult(t *wire.Transaction, d *msg.CommitDone) {
	key := t.Changes[0].Put
	switch d.Outcome {
	case msg.Unknown:
		l.nextWriteAt = l.outbox.Now() + outbox.CommitRetryInterval
		return
	case msg.OK:
		l.jobs.ApplyPage(&wire.Change{Put: key, Value: t.Changes[0].Value, Version: d.Revision})
	case msg.Conflict:
		if l.elector.ResignIfDeposed(t.Conditions[0].Version, d.Failed) {
			return
		}
		if slices.Contains(d.Failed, key) { // the transaction was applied when it was sent before
			l.nextWriteAt = l.outbox.Now() + outbox.CommitRetryInterval
			l.readPage(key)
		}
	case msg.Invalid:
		// The transaction may have been applied when it was sent before, which the watch will report. Entries
		// that are not in the log by then are written to a new page.
		l.currentPage = 0
		l.nextWriteAt = l.outbox.Now() + config.Second
	default:
		l.nextWriteAt = l.outbox.Now() + outbox.CommitRetryInterval
	}
	l.transaction = nil
	l.dropStoredEntries()
}

// readPage reads a page of the log and applies it to the replica.
func (l *Log) readPage(key string) {
	l.outbox.Read(key, func(d msg.ReadDone) {
		if d.Outcome == msg.OK && d.Item.Version != 0 {
			l.jobs.ApplyPage(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			l.dropStoredEntries()
		}
	})
}

// dropStoredEntries drops the unwritten entries whose placements are no longer open in the replica, since a page or a
// record holds them by now, and calls EntryStored for each.
func (l *Log) dropStoredEntries() {
	kept := l.unwritten[:0]
	for i := range l.unwritten {
		entry := &l.unwritten[i]
		if l.jobs.IsOpen(entry) {
			kept = append(kept, *entry)
			continue
		}
		l.jobs.EntryStored(entry)
	}
	l.unwritten = kept
}

// DeleteMergedPages deletes the oldest page that has no entries left to merge, apart from the current page and those
// being deleted. If the pages exceed maxCompletionLogBytes, it also requests merges of the oldest page's entries.
func (l *Log) DeleteMergedPages() {
	pages := l.replica.CompletionPages()
	tooMany := len(pages)*l.encoding.MaxValueBytes() > maxCompletionLogBytes
	for i, n := range pages {
		if n == l.currentPage || l.deletingPages[n] {
			continue
		}
		page := l.replica.CompletionPage(n)
		oldest := i == 0
		if l.pageNeeded(page, oldest && tooMany) {
			continue
		}
		l.deletePage(n, page)
		return // one page per call
	}
}

// pageNeeded reports whether a page has entries that still have to be merged. If merge is set, it requests their merge.
func (l *Log) pageNeeded(page *records.CompletionPage, merge bool) bool {
	needed := false
	for _, c := range page.Completions {
		if c.Merged || !l.jobs.HasSpec(c.Job) {
			continue
		}
		needed = true
		if merge {
			l.jobs.RequestMerge(c)
		}
	}
	return needed
}

// deletePage deletes a page whose entries are all merged.
func (l *Log) deletePage(n uint64, page *records.CompletionPage) {
	deleting := l.deletingPages // the map of this term: Reset replaces it
	deleting[n] = true
	key := records.CompletionPageKey(n)
	l.outbox.CommitDeferrable(wire.Transaction{
		Conditions: []wire.Condition{l.elector.Condition(), {Key: key, Version: page.Version}},
		Changes:    []wire.Change{{Delete: key}},
	}, msg.PurposeCleanup, func(d msg.CommitDone) {
		delete(deleting, n)
		if d.Outcome == msg.OK && l.replica.CompletionPage(n) == page {
			l.replica.DropCompletionPage(n)
		}
	})
}
