// Package completionlog writes completions of tasks into the completion log. A change of the key-value store is
// expensive, and large arrays complete task by task; so a completion that neither ends its job nor comes with new
// placements is not written into the job's record but, with those of all other jobs, into a page of this log.
//
// What a page says of an attempt on a machine stays true whichever version of the record it is compared with, so it
// can be applied any number of times. The record merges it when it is written next; a page whose entries have all
// been merged is deleted. Package records reads the pages.
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

// Jobs is what the log asks and tells about jobs.
type Jobs interface {
	// HoldsOpen reports whether the records still hold an attempt open.
	HoldsOpen(e *records.CompletionEntry) bool
	// EntryStored is called when an entry that was added is stored, or doesn't have to be any more.
	EntryStored(e *records.CompletionEntry)
	// IsRecorded reports whether a job is known with its description; if not, none of its entries is needed.
	IsRecorded(id string) bool
	// RequestMerge has the record or the placement page written that holds an entry's task.
	RequestMerge(c *records.Completion)
	// CapacityIsShort reports whether a job waits for what completions free.
	CapacityIsShort() bool
	// ApplyRecord applies a page to the replica, and logs that it is unreadable.
	ApplyRecord(change *wire.Change)
}

// Log writes completions into the completion log and deletes its merged pages. One page is in flight at a time. It is
// not safe for concurrent use.
type Log struct {
	outbox   *outbox.Outbox
	encoding *records.Encoding
	elector  *election.Elector
	replica  *records.Replica
	jobs     Jobs

	pagesStarted  uint64 // pages started in this term
	currentPage   uint64 // number of the page that this leader fills; 0: none
	unwritten     []records.CompletionEntry
	transaction   *wire.Transaction // not settled; nil: none
	inFlight      bool              // the answer to transaction is still expected
	deletingPages map[uint64]bool   // pages whose deletion is in flight
	nextWriteAt   config.Micros
}

// New returns a log without entries to write.
func New(out *outbox.Outbox, encoding *records.Encoding, elector *election.Elector, replica *records.Replica, jobs Jobs) *Log {
	l := &Log{outbox: out, encoding: encoding, elector: elector, replica: replica, jobs: jobs}
	l.Reset()
	return l
}

// Reset has the next term begin new pages. The time of the next write is kept: it saves the key-value store's quota.
func (l *Log) Reset() {
	l.pagesStarted = 0
	l.currentPage = 0
	l.unwritten = nil
	l.transaction = nil
	l.inFlight = false
	l.deletingPages = map[uint64]bool{}
}

// Add has an entry written, together with others.
func (l *Log) Add(e records.CompletionEntry) { l.unwritten = append(l.unwritten, e) }

// Pending returns the number of entries that are not known to be stored.
func (l *Log) Pending() int { return len(l.unwritten) }

// Write commits unwritten entries, a page at a time.
func (l *Log) Write() {
	if l.elector.TokenChangePending() || l.inFlight || l.outbox.Now() < l.nextWriteAt {
		return
	}
	if l.transaction != nil { // had no answer: it may be applied later, so the same is sent again
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
// If there is no current page or it is full, it begins another one. nil: no entry fits.
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

// writeInterval is the time between two writes. While no job waits for what completions free, they are
// collected for a moment: each page costs a change, however few entries it holds.
func (l *Log) writeInterval() config.Micros {
	shortest := l.encoding.IntervalForShare(completionShare)
	if l.jobs.CapacityIsShort() {
		return shortest
	}
	return max(shortest, min(maxCompletionDelay, l.encoding.IntervalForShare(idleCompletionShare)))
}

// encode adds unwritten entries to those of a page, about as many as fit; nil: none fits.
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
		l.onAnswer(t, &d)
	})
}

// onAnswer handles the answer to the transaction on the current page.
func (l *Log) onAnswer(t *wire.Transaction, d *msg.CommitDone) {
	key := t.Changes[0].Put
	switch d.Outcome {
	case msg.Unknown:
		l.nextWriteAt = l.outbox.Now() + outbox.CommitRetryInterval
		return
	case msg.OK:
		l.jobs.ApplyRecord(&wire.Change{Put: key, Value: t.Changes[0].Value, Version: d.Revision})
	case msg.Conflict:
		if l.elector.DeposedBy(t.Conditions[0].Version, d.Failed) {
			return
		}
		if slices.Contains(d.Failed, key) { // an earlier sending has been applied after all
			l.nextWriteAt = l.outbox.Now() + outbox.CommitRetryInterval
			l.readPage(key)
		}
	case msg.Invalid:
		// An earlier sending may have been applied: the watch will show it. What isn't in
		// the log by then goes into a new page.
		l.currentPage = 0
		l.nextWriteAt = l.outbox.Now() + config.Second
	default:
		l.nextWriteAt = l.outbox.Now() + outbox.CommitRetryInterval
	}
	l.transaction = nil
	l.dropLogged()
}

// readPage updates the replica to what a page of the log holds now.
func (l *Log) readPage(key string) {
	l.outbox.Read(key, func(d msg.ReadDone) {
		if d.Outcome == msg.OK && d.Item.Version != 0 {
			l.jobs.ApplyRecord(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			l.dropLogged()
		}
	})
}

// dropLogged drops the unwritten entries, and the completions they came from, that pages or records hold by now.
func (l *Log) dropLogged() {
	kept := l.unwritten[:0]
	for i := range l.unwritten {
		entry := &l.unwritten[i]
		if l.jobs.HoldsOpen(entry) {
			kept = append(kept, *entry)
			continue
		}
		l.jobs.EntryStored(entry)
	}
	l.unwritten = kept
}

// DeleteMergedPages deletes the first page that no record needs any more, and has jobs written
// so that the oldest page can be deleted when there are many.
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
		return // one at a time
	}
}

// pageNeeded reports whether a page has entries that are not merged. If merge is set, it has them merged.
func (l *Log) pageNeeded(page *records.CompletionPage, merge bool) bool {
	needed := false
	for _, c := range page.Completions {
		if c.Merged || !l.jobs.IsRecorded(c.Job) {
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
	deleting := l.deletingPages // of this term: reset replaces it
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
