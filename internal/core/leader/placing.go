package leader

import (
	"maps"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

// Group commit of placements. Changes of the state service are scarce, and a job's record is
// one for each job that is placed. From job.SharedParts on, what a pass has planned goes into
// shared parts instead (package records): a transaction rewrites a page or a few, and with
// them places tasks of as many jobs as it may have guards for. Each job's record is guarded and not
// written: a cancellation that was committed before voids the whole, and the rest
// is sent again without that job. While a transaction is under way what is planned waits for
// its answer, so that an idle leader commits at once and a busy one many jobs at a time.

const (
	// pageFill is how full a page may be, by what it holds open, for more to be put into it.
	pageFill = 0.75
	// firstJobs is how many jobs a transaction is to place for it not to give way to others.
	firstJobs = 8
	// sharedCost is what placing a job by pages counts of the changes that a pass may ask for.
	sharedCost = 0.1
)

// placing is what the leader does about shared parts.
type placing struct {
	waiting []*Job                // with a plan that is to be committed, in the order of passes
	queued  map[*Job]bool         // the same
	out     []*placement          // that have not been settled
	busy    map[uint64]*placement // pages that are being written
	fold    map[uint64]bool       // pages to be rewritten so that the log of ended attempts can be shortened
}

// placement is a transaction on pages.
type placement struct {
	commit   wire.Commit
	token    uint64
	jobs     []*Job
	pages    []uint64
	resendAt Micros // 0: no answer is missing
	unsure   bool   // a sending of it had no answer
}

func newPlacing() placing {
	return placing{queued: map[*Job]bool{}, busy: map[uint64]*placement{}, fold: map[uint64]bool{}}
}

// pagesInUse tells whether placements go into shared parts.
func (l *Leader) pagesInUse() bool {
	return l.cfg.Settings.SharedParts && l.form.Format >= job.SharedParts
}

// queuePlacement has a job's plan committed with those of others.
func (l *Leader) queuePlacement(j *Job) {
	if p := &l.placing; !p.queued[j] {
		p.queued[j] = true
		p.waiting = append(p.waiting, j)
	}
}

// writePlacements commits what waits, as much as may be on its way.
func (l *Leader) writePlacements() {
	p := &l.placing
	for len(p.waiting) > 0 || len(p.fold) > 0 {
		if l.claim.Raising() || l.writing >= l.mostWriting() || p.underWay() > 0 && len(p.waiting) < l.mostJobs() {
			return
		}
		t := l.placementOf()
		if t == nil {
			return
		}
		l.sendPlacement(t)
	}
}

// underWay counts the transactions of which an answer is still to be expected soon.
func (p *placing) underWay() int {
	n := 0
	for _, t := range p.out {
		if !t.unsure {
			n++
		}
	}
	return n
}

// mostJobs is how many jobs a transaction on one page may place: each has a guard, and so have the
// claim and the page.
func (l *Leader) mostJobs() int { return wire.GuardFactor*l.form.Ops() - 2 }

// placementOf returns the next transaction; nil: there is nothing that could be written now.
func (l *Leader) placementOf() *placement {
	p := &l.placing
	t := &placement{token: l.claim.Token(), commit: wire.Commit{Guards: []wire.Guard{l.claim.Guard()}}}
	drafts := l.foldOne()
	most := wire.GuardFactor * l.form.Ops()
	taken := 0
	for _, j := range p.waiting {
		if j.txn != nil || len(j.plan) == 0 || j.Version == 0 || j.Rec.Final() || j.Rec.Cancel {
			taken++ // planned for what is not so any more
			delete(p.queued, j)
			continue
		}
		more, ok := l.put(j, drafts, most-len(t.commit.Guards)-1)
		if !ok && (len(t.jobs) > 0 || len(p.busy) > 0) {
			break // it goes with the next
		}
		taken++
		delete(p.queued, j)
		if !ok {
			l.tooMany(j)
			continue
		}
		drafts = more
		t.jobs = append(t.jobs, j)
		t.commit.Guards = append(t.commit.Guards, wire.Guard{Key: job.RecordKey(j.ID), Version: j.Version})
	}
	p.waiting = slices.Delete(p.waiting, 0, taken)
	if len(drafts) == 0 || !l.finishPlacement(t, drafts) {
		return nil
	}
	return t
}

// foldOne begins to rewrite one of the pages that are to be, if any can be now.
func (l *Leader) foldOne() []*draft {
	for _, n := range slices.Sorted(maps.Keys(l.placing.fold)) {
		if l.placing.free(n) && l.replica.SharedPage(n) != nil {
			return []*draft{l.draftOf(n)}
		}
	}
	return nil
}

// free tells whether a page is in the copy and nothing is being done to it.
func (p *placing) free(n uint64) bool {
	_, busy := p.busy[n]
	return !busy
}

// tooMany has less of a job planned: one transaction has no room for all of it. A gang needs
// all of its places, and gets them by its own record, in several transactions.
func (l *Leader) tooMany(j *Job) {
	if j.Rec.Spec.Shape == wire.Gang {
		j.alone = true
		l.dirty[j.ID] = true
		return
	}
	l.setPlan(j, j.plan[:len(j.plan)/2])
	if len(j.plan) > 0 {
		l.queuePlacement(j)
	}
}

// finishPlacement turns drafts into guards and changes. It returns false if a value has become too
// large after all: then its jobs are planned anew.
func (l *Leader) finishPlacement(t *placement, drafts []*draft) bool {
	for _, d := range drafts {
		value, err := records.EncodeShared(mergeParts(d.parts))
		if err != nil || !l.form.Fits(value) {
			l.box.Log("placements not written", "page", d.number, "parts", len(d.parts), "limit", l.form.Room())
			for _, j := range t.jobs {
				l.setPlan(j, nil)
				j.retryAt = l.box.Now() + config.Second
			}
			return false
		}
		key := records.SharedKey(d.number)
		t.pages = append(t.pages, d.number)
		t.commit.Guards = append(t.commit.Guards, wire.Guard{Key: key, Version: d.version})
		t.commit.Changes = append(t.commit.Changes, wire.Change{Put: key, Value: value})
	}
	return true
}

// sendPlacement sends a transaction for the first time.
func (l *Leader) sendPlacement(t *placement) {
	p := &l.placing
	for _, n := range t.pages {
		p.busy[n] = t
		delete(p.fold, n)
	}
	for _, j := range t.jobs {
		j.txn = &txn{token: t.token, placed: j.plan}
	}
	p.out = append(p.out, t)
	l.transactPlacement(t)
}

func (l *Leader) transactPlacement(t *placement) {
	reign := l.reigns
	l.writing += len(t.commit.Changes)
	purpose := msg.ForPlacement
	if len(t.jobs) == 0 {
		purpose = msg.ForCleanup
	}
	l.box.Transact(t.commit, t.turn(), purpose, func(d msg.CommitDone) {
		if reign == l.reigns {
			l.writing -= len(t.commit.Changes)
		}
		if l.claim.Held() && slices.Contains(l.placing.out, t) {
			l.placementDone(t, &d)
		}
	})
}

// turn is whose changes the transaction takes. One that starts urgent work, or the work of many, doesn't
// wait behind ends of jobs, each of which is a change of its own.
func (t *placement) turn() msg.Turn {
	urgent := slices.ContainsFunc(t.jobs, func(j *Job) bool { return j.Rec.Spec != nil && j.Priority() == wire.Production })
	if urgent || len(t.jobs) >= firstJobs {
		return msg.First
	}
	return msg.Later
}

// placementDone takes the answer to a transaction.
func (l *Leader) placementDone(t *placement, d *msg.CommitDone) {
	switch d.Outcome {
	case msg.OK:
		for _, j := range t.jobs {
			l.noteMine(j, j.plan)
		}
		l.placementOver(t)
		for i := range t.commit.Changes {
			c := &t.commit.Changes[i]
			l.take(&wire.Change{Put: c.Put, Value: c.Value, Version: d.Revision})
		}
	case msg.Unknown:
		// It may be applied later. The same again: either it or the late one fails by its guards,
		// and until then what it places is counted, and placed nowhere else.
		t.unsure, t.resendAt = true, l.box.Now()+commitPause
	case msg.Conflict:
		if !l.claim.Failed(t.token, d.Failed) {
			l.placementRefused(t, d.Failed)
		}
	case msg.Invalid: // values become smaller
		l.placementFailed(t, config.Second)
	default:
		if t.unsure { // this sending was refused; an earlier one may still be applied
			t.resendAt = l.box.Now() + commitPause
			return
		}
		l.placementFailed(t, commitPause)
	}
}

// placementOver ends a transaction: what it has placed is in the records, or will never be by it.
func (l *Leader) placementOver(t *placement) {
	p := &l.placing
	p.out = slices.DeleteFunc(p.out, func(o *placement) bool { return o == t })
	for _, n := range t.pages {
		delete(p.busy, n)
	}
	for _, j := range t.jobs {
		j.txn = nil
		l.setPlan(j, nil)
		l.dirty[j.ID] = true
	}
	l.passDue = true
}

// placementFailed has the jobs of a transaction that was not carried out planned anew, after a while.
func (l *Leader) placementFailed(t *placement, after Micros) {
	l.placementOver(t)
	for _, j := range t.jobs {
		j.retryAt = l.box.Now() + after
	}
}

// placementRefused takes a conflict. If an earlier sending had no answer, that may be what this one
// has met: until the pages have been read what it places stays counted. Otherwise the jobs whose
// records have changed are read, and the others go again at once.
func (l *Leader) placementRefused(t *placement, failed []string) {
	pages := t.failedPages(failed)
	if t.unsure {
		pages = t.pages
	}
	again := func() {
		l.placementOver(t)
		for _, j := range t.jobs {
			if slices.Contains(failed, job.RecordKey(j.ID)) {
				l.conflict(j, []string{job.RecordKey(j.ID)})
			}
		}
	}
	if len(pages) > 0 {
		l.readPages(t, pages, again)
		return
	}
	plans := make([][]job.Placement, len(t.jobs))
	for i, j := range t.jobs {
		plans[i] = j.plan
	}
	again()
	for i, j := range t.jobs {
		if !slices.Contains(failed, job.RecordKey(j.ID)) {
			l.setPlan(j, plans[i])
			l.queuePlacement(j)
		}
	}
}

// failedPages are those of a transaction's pages that are among the keys.
func (t *placement) failedPages(failed []string) []uint64 {
	var out []uint64
	for _, n := range t.pages {
		if slices.Contains(failed, records.SharedKey(n)) {
			out = append(out, n)
		}
	}
	return out
}

// readPages reads pages and calls then once all have been read. If any can't be, the transaction is
// sent again.
func (l *Leader) readPages(t *placement, pages []uint64, then func()) {
	left, unread := len(pages), false
	for _, n := range pages {
		key := records.SharedKey(n)
		l.box.Read(key, func(d msg.ReadDone) {
			if !l.claim.Held() || !slices.Contains(l.placing.out, t) {
				return
			}
			if d.Outcome == msg.OK && d.Item.Version != 0 {
				l.take(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			}
			left--
			unread = unread || d.Outcome != msg.OK
			switch {
			case left > 0:
			case unread:
				t.unsure, t.resendAt = true, l.box.Now()+commitPause
			default:
				then()
			}
		})
	}
}

// resendPlacements sends transactions again that had no answer.
func (l *Leader) resendPlacements() {
	if l.claim.Raising() {
		return
	}
	for _, t := range slices.Clone(l.placing.out) {
		if t.resendAt != 0 && l.box.Now() >= t.resendAt {
			t.resendAt = 0
			l.transactPlacement(t)
		}
	}
}
