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

// txn is a transaction on a job's record that has no answer yet.
type txn struct {
	commit wire.Commit
	token  uint64
	closes []closing
	rec    *job.Record // nil: unchanged
	whole  bool        // the record says something new
	parts  map[int]job.Part
	placed []job.Placement
	ends   bool // it would do nothing but close placements of a job that goes on

	resendAt Micros // 0: no answer is missing
	unsure   bool   // a sending of it had no answer
}

const (
	commitPause = 300 * 1000
	// dropPause spreads the removal of a large job's parts, which is never
	// urgent but counts against the quota of changes.
	dropPause = config.Second
)

// flushJobs commits what has been learnt or decided about jobs.
func (l *Leader) flushJobs() {
	if len(l.dirty) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(l.dirty))
	clear(l.dirty)
	for _, id := range ids {
		if !l.flush(l.jobs[id]) {
			l.delayed[id] = true
		}
	}
}

// wakeJobs has another look at the jobs that could not be committed before.
func (l *Leader) wakeJobs() {
	for id := range l.delayed {
		l.dirty[id] = true
	}
	clear(l.delayed)
}

// flush commits a job's next state; it returns false if there is more to do
// after the transaction in flight, or later.
func (l *Leader) flush(j *Job) bool {
	if t := j.txn; t != nil && t.resendAt != 0 && l.box.Now() >= t.resendAt {
		t.resendAt = 0
		l.send(j, t)
	}
	if j.Version == 0 {
		return true // its record has not come yet
	}
	if j.txn != nil || l.box.Now() < j.retryAt || l.claim.Raising() {
		return false
	}
	l.confirmCancellation(j)
	t, more := l.fitting(j)
	if t == nil || t.ends {
		if len(j.plan) > 0 && l.placesInPages(j) {
			l.queuePlacement(j)
		}
		if t == nil { // a cancellation waits for workers to be heard: look again
			return !j.Rec.Cancel || j.Rec.Final()
		}
		l.logEnds(j, t.closes)
		return !more
	}
	if len(j.plan) == 0 && !j.Rec.Cancel && !j.Doomed() && j.AwaitedBy() == 0 && l.writing >= l.mostEnding() {
		return false
	}
	if !l.placesInPages(j) {
		t.placed = j.plan
	}
	j.txn = t
	l.send(j, t)
	return !more
}

// placesInPages tells whether a job's places go into pages with those of others.
func (l *Leader) placesInPages(j *Job) bool { return l.pagesInUse() && !j.alone }

// placeCost is what placing a job, or 32 more tasks of it, counts of a pass's changes.
func (l *Leader) placeCost(j *Job) float64 {
	if l.placesInPages(j) {
		return sharedCost
	}
	return 1
}

// fitting returns a job's next transaction, made so small that every value of it
// may be put: a plan is cut down, and ends go by the log.
func (l *Leader) fitting(j *Job) (*txn, bool) {
	for {
		t, more := l.next(j)
		if t == nil || t.ends || l.putable(&t.commit) {
			return t, more
		}
		if !j.tooLarge {
			j.tooLarge = true
			l.box.Log("record too large to be written whole", "job", j.ID, "limit", l.form.Room())
		}
		switch {
		case j.Rec.Spec != nil && l.replica.Shorten(j.Job, l.catalog.Slim(j.Rec.Spec)):
		case l.canPart(j):
			j.parting = true
		case len(j.plan) > 1 && j.Rec.Spec.Shape != wire.Gang:
			l.setPlan(j, j.plan[:len(j.plan)/2])
		case len(j.plan) > 0:
			l.setPlan(j, nil)
			j.holdUntil = l.box.Now() + 10*config.Second
		case len(t.closes) > 0 && !j.Rec.Final():
			t.ends = true
			return t, more
		default:
			j.mergeNow = false
			j.retryAt = l.box.Now() + 10*config.Second
			return nil, false
		}
	}
}

// canPart tells whether the tasks can be moved out of a job's record in one
// transaction: if they are all in it.
func (l *Leader) canPart(j *Job) bool {
	if j.parting || j.Rec.Apart || l.form.Format < job.Grouped {
		return false
	}
	return !slices.ContainsFunc(j.Parts, func(p records.Part) bool { return p.Version != 0 })
}

// putable tells whether every value of a transaction may be put.
func (l *Leader) putable(t *wire.Commit) bool {
	for i := range t.Changes {
		if t.Changes[i].Put != "" && !l.form.Fits(t.Changes[i].Value) {
			return false
		}
	}
	return true
}

// next builds the transaction that brings a job's record up to what is known.
func (l *Leader) next(j *Job) (*txn, bool) {
	if j.Rec.Spec == nil {
		return l.leftover(j)
	}
	if t := l.finish(j); t != nil {
		return t, true
	}
	rec := j.Rec.Clone()
	t := &txn{token: l.claim.Token(), parts: map[int]job.Part{}}
	room := l.form.Ops() - 1
	more, changed := false, false
	if j.parting && !rec.Apart {
		rec.Apart, t.whole, changed = true, true, true
		t.parts[1], rec.Part = rec.Part, job.Part{}
	}
	part := func(task int) *job.Part {
		n := rec.PartOf(task)
		if n == 0 {
			return &rec.Part
		}
		p, ok := t.parts[n]
		if !ok {
			if len(t.parts) == room {
				more = true
				return nil
			}
			old, _ := j.Part(n)
			p = old.Clone()
			t.parts[n] = p
		}
		return &p
	}
	keep := func(task int, p *job.Part) {
		if n := rec.PartOf(task); n > 0 {
			t.parts[n] = *p
		} else {
			t.whole = true
		}
		changed = true
	}
	var inPages []closing
	for _, cl := range j.closes {
		if j.InPage(cl.key.Task, cl.key.Attempt, cl.machine) {
			inPages = append(inPages, cl) // the log closes it there: the record says nothing of it
			continue
		}
		p := part(cl.key.Task)
		if p == nil {
			continue
		}
		t.closes = append(t.closes, cl)
		if p.Close(cl.key.Task, cl.key.Attempt, cl.machine, cl.stay) {
			keep(cl.key.Task, p)
		}
		if cl.done && !p.IsDone(cl.key.Task%job.PartTasks) {
			p.SetDone(cl.key.Task % job.PartTasks)
			keep(cl.key.Task, p)
		}
	}
	l.logEnds(j, inPages)
	// A service wants its replicas back at once; the log takes its time.
	t.ends = changed && !j.parting && !j.mergeNow && (len(j.plan) == 0 || l.placesInPages(j)) && (rec.Spec.Shape != wire.Service || rec.Cancel || rec.Final())
	if j.mergeNow {
		changed = true
		j.Unmerged(func(task int) {
			if p := part(task); p != nil {
				keep(task, p)
			}
		})
	}
	if !rec.Cancel && !rec.Final() && !l.placesInPages(j) {
		for _, pl := range j.plan {
			p := part(pl.Task)
			if p == nil {
				continue
			}
			p.Open = append(p.Open, pl)
			t.whole = t.whole || pl.Attempt > rec.Attempt
			rec.Attempt = max(rec.Attempt, pl.Attempt)
			keep(pl.Task, p)
		}
	}
	done, open := t.after(j, &rec)
	if rec.Spec.Shape == wire.Gang && done > 0 && !rec.Final() {
		// A gang completes together: if one task is done, so are all.
		rec.Phase, rec.Count, changed, t.ends, t.whole = job.Done, rec.Spec.Tasks, true, false, true
	}
	if done >= rec.Spec.Tasks && !rec.Final() {
		rec.Phase, rec.Count, changed, t.ends, t.whole = job.Done, done, true, false, true
	}
	if j.cancelling && !rec.Final() {
		rec.Phase, rec.Count, changed, t.ends, t.whole = job.Cancelled, done, true, false, true
	}
	if rec.Final() && open == 0 { // with the first format alone: finish does it otherwise
		t.ends, t.whole = false, true
		if n := l.dropParts(j, t, room); n > 0 {
			more, changed = true, true
			j.retryAt = l.box.Now() + dropPause
		} else {
			rec.Shrink()
			changed = true
		}
	}
	if !changed {
		j.forget(t.closes) // known already; those that found no room stay
		return nil, more
	}
	if t.ends {
		return t, more
	}
	rec.Count = max(rec.Count, done)
	if err := l.fill(j, t, &rec); err != nil {
		l.box.Log("record not written", "job", j.ID, "error", err.Error())
		return nil, false
	}
	return t, more
}

// finish returns the transaction that ends a job, if what is known completes it
// and nothing of it stays open: its record shrinks at once, whichever tasks are
// in how many parts. The parts are void from then on and deleted at leisure. With
// the first format, whose readers take a part at its word, they go before.
func (l *Leader) finish(j *Job) *txn {
	if l.form.Format < job.Grouped {
		return nil
	}
	done, open := j.Done, j.Open
	for _, cl := range j.closes {
		if j.IsOpen(cl.key.Task, cl.key.Attempt, cl.machine) {
			open--
		}
		if cl.done && !j.IsDone(cl.key.Task) {
			done++
		}
	}
	spec := j.Rec.Spec
	rec := &job.Record{Phase: j.Rec.Phase, Count: max(j.Rec.Count, done)}
	switch {
	case open > 0:
		return nil
	case rec.Final():
	case done >= spec.Tasks || spec.Shape == wire.Gang && done > 0:
		rec.Phase, rec.Count = job.Done, spec.Tasks
	case j.cancelling || j.Doomed():
		rec.Phase = job.Cancelled
	default:
		return nil
	}
	if l.form.Format >= job.Standing {
		rec.Account = job.AccountOf(spec, j.spent(true), l.wall())
	}
	t := &txn{token: l.claim.Token(), closes: slices.Clone(j.closes), whole: true}
	if err := l.fill(j, t, rec); err != nil {
		l.box.Log("record not written", "job", j.ID, "error", err.Error())
		return nil
	}
	return t
}

// after counts the done tasks and the open placements that a job would have with a transaction
// applied: by its record and parts as they would be, and by pages.
func (t *txn) after(j *Job, rec *job.Record) (done, open int) {
	last := max(len(j.Parts), j.LastShared(rec))
	for n := range t.parts {
		last = max(last, n)
	}
	for n := range last + 1 {
		p := &rec.Part
		if q, written := t.parts[n]; written {
			p = &q
		} else if n > 0 {
			p, _ = j.Part(n)
		}
		open += len(p.Open)
		done += job.CountDone(job.UnionDone(p.Done, j.SharedDone(rec, n)))
	}
	return done, open + j.SharedOpen()
}

// leftover returns the deletion of what parts are left of a job that is over.
func (l *Leader) leftover(j *Job) (*txn, bool) {
	t := &txn{token: l.claim.Token()}
	if !j.Over() || l.dropParts(j, t, l.form.Ops()) == 0 {
		return nil, false
	}
	t.commit.Guards = append(t.commit.Guards, l.claim.Guard())
	j.retryAt = l.box.Now() + dropPause
	return t, true
}

// dropParts puts the deletion of parts into t, as many as there is room for.
// It returns how many are left or dropped; 0 means that none existed.
func (l *Leader) dropParts(j *Job, t *txn, room int) int {
	n := 0
	t.parts = map[int]job.Part{}
	for i := range j.Parts {
		if j.Parts[i].Version == 0 {
			continue
		}
		if n++; n > room {
			break
		}
		key := job.PartKey(j.ID, i+1)
		t.commit.Guards = append(t.commit.Guards, wire.Guard{Key: key, Version: j.Parts[i].Version})
		t.commit.Changes = append(t.commit.Changes, wire.Change{Delete: key})
	}
	return n
}

// fill turns the new values into guards and changes.
func (l *Leader) fill(j *Job, t *txn, rec *job.Record) error {
	key := job.RecordKey(j.ID)
	t.commit.Guards = append(t.commit.Guards, l.claim.Guard(), wire.Guard{Key: key, Version: j.Version})
	// A record that says nothing new is guarded and not written. In the first
	// format it always is.
	if t.whole || l.form.Format < job.Grouped {
		value, err := job.EncodeRecord(rec, l.form.Format)
		if err != nil {
			return err
		}
		t.rec = rec
		t.commit.Changes = append(t.commit.Changes, wire.Change{Put: key, Value: value})
	}
	nums := slices.Sorted(maps.Keys(t.parts))
	for _, n := range nums {
		p := t.parts[n]
		value, err := job.EncodePart(&p, l.form.Format)
		if err != nil {
			return err
		}
		_, version := j.Part(n)
		t.commit.Guards = append(t.commit.Guards, wire.Guard{Key: job.PartKey(j.ID, n), Version: version})
		t.commit.Changes = append(t.commit.Changes, wire.Change{Put: job.PartKey(j.ID, n), Value: value})
	}
	return nil
}

// mostWriting is how many changes to jobs may be on their way at a time: what
// the state service takes in about half a second. More would wait in a line that
// knows no ranks.
func (l *Leader) mostWriting() int {
	return max(l.form.Ops(), int(l.cfg.Cluster.State.LeastWriteRPS()/2))
}

// mostEnding is how many changes may be on their way for another one to be made for the end of a
// job. Where a page of placements is one change for many jobs, half is left to pages: ends that wait for their
// turn would hold up the starts of everybody else.
func (l *Leader) mostEnding() int {
	if l.pagesInUse() {
		return max(1, l.mostWriting()/2)
	}
	return l.mostWriting()
}

func (l *Leader) send(j *Job, t *txn) {
	reign := l.reigns
	l.writing += len(t.commit.Changes)
	// An end that others wait for doesn't give way, nor does a cancellation that
	// a job before this one has brought.
	turn := msg.Later
	if t.rec != nil && t.rec.Final() && (j.AwaitedBy() > 0 || j.Doomed()) {
		turn = msg.First
	}
	l.box.Transact(t.commit, turn, t.purpose(), func(d msg.CommitDone) {
		if reign == l.reigns {
			l.writing -= len(t.commit.Changes)
		}
		if !l.claim.Held() || j.txn != t {
			return
		}
		l.dirty[j.ID] = true
		settled := func() {
			j.txn = nil
			l.setPlan(j, nil)
			l.passDue = true
		}
		switch d.Outcome {
		case msg.OK:
			settled()
			l.committed(j, t, d.Revision)
		case msg.Unknown:
			// It may be applied later. The same transaction again: either it
			// or the late one fails by its guards, and until then what it
			// places is counted.
			t.unsure, t.resendAt = true, l.box.Now()+commitPause
		case msg.Conflict, msg.Invalid:
			if d.Outcome == msg.Conflict && l.claim.Failed(t.token, d.Failed) {
				return
			}
			if t.unsure {
				// It is an earlier sending, perhaps, that this one has met. Until the records have been
				// read what it places stays counted, or the team's limit is given away twice. No
				// sending of it takes effect from now on.
				l.reread(j, t, settled)
				return
			}
			settled()
			failed := d.Failed
			if d.Outcome == msg.Invalid {
				failed = t.keys()
			}
			l.conflict(j, failed)
		default:
			if t.unsure { // this sending was refused; an earlier one may still be applied
				t.resendAt = l.box.Now() + commitPause
				return
			}
			settled()
			j.retryAt = l.box.Now() + commitPause
		}
	})
}

// purpose is what the transaction is counted as.
func (t *txn) purpose() msg.Purpose {
	switch {
	case t.rec != nil && t.rec.Final():
		return msg.ForJobEnd
	case len(t.placed) > 0:
		return msg.ForPlacement
	case len(t.closes) > 0:
		return msg.ForClosing
	}
	return msg.ForCleanup
}

// forget drops closings that have been dealt with.
func (j *Job) forget(closes []closing) {
	j.closes = slices.DeleteFunc(j.closes, func(cl closing) bool {
		return slices.ContainsFunc(closes, func(o closing) bool { return o.key == cl.key && o.machine == cl.machine })
	})
}

// committed takes over what a transaction has written.
func (l *Leader) committed(j *Job, t *txn, revision uint64) {
	j.forget(t.closes)
	j.mergeNow, j.parting = false, false
	if t.rec != nil && j.Version < revision { // first: tasks may have moved out of it
		l.replica.SetRecord(j.ID, *t.rec, revision)
	}
	nums := slices.Sorted(maps.Keys(t.parts))
	for _, n := range nums {
		if _, v := j.Part(n); v < revision {
			l.replica.SetPart(j.Job, n, t.parts[n], revision)
		}
	}
	for _, ch := range t.commit.Changes {
		if _, n, ok := job.ParseKey(ch.Delete); ok && n > 0 && n <= len(j.Parts) {
			l.replica.SetPart(j.Job, n, job.Part{}, 0)
		}
	}
	l.noteMine(j, t.placed)
}

// keys are the keys of the job that a transaction goes by.
func (t *txn) keys() []string {
	var out []string
	for _, g := range t.commit.Guards {
		if _, _, ok := job.ParseKey(g.Key); ok {
			out = append(out, g.Key)
		}
	}
	return out
}

// conflict reads what has changed under us.
func (l *Leader) conflict(j *Job, failed []string) {
	for _, key := range failed {
		if _, _, ok := job.ParseKey(key); !ok {
			continue // the claim
		}
		j.retryAt = l.box.Now() + config.Second // unless the answer comes sooner
		l.read(j, key, func(ok bool) {
			if ok {
				j.retryAt = l.box.Now()
			}
		})
	}
}

// reread reads everything that a transaction goes by, and calls then once all of it has been
// read. If any of it can't be, the transaction is sent again.
func (l *Leader) reread(j *Job, t *txn, then func()) {
	keys := t.keys()
	left, failed := len(keys), false
	for _, key := range keys {
		l.read(j, key, func(ok bool) {
			left--
			failed = failed || !ok
			switch {
			case left > 0 || j.txn != t:
			case failed:
				t.resendAt = l.box.Now() + commitPause
			default:
				then()
			}
		})
	}
}

// read brings a job up to what a key of it holds now, and tells whether it could be read.
func (l *Leader) read(j *Job, key string, then func(ok bool)) {
	l.box.Read(key, func(d msg.ReadDone) {
		if !l.claim.Held() {
			return
		}
		if d.Outcome == msg.OK {
			if d.Item.Version != 0 {
				l.take(&wire.Change{Put: key, Value: d.Item.Value, Version: d.Item.Version})
			} else if _, n, ok := job.ParseKey(key); ok && n > 0 {
				l.replica.SetPart(j.Job, n, job.Part{}, 0)
			}
		}
		l.dirty[j.ID] = true
		then(d.Outcome == msg.OK)
	})
}

// confirmCancellation decides whether the user may be told that a job is cancelled: every
// open placement must be on a worker that follows us, so that we will stop the
// task or the worker's lease ends, and no start may still be on its way that
// could take effect after that. Where a lease may outlast a cancellation's time, only
// proof that all of it is over will do: a worker that hears nothing keeps its tasks until then.
func (l *Leader) confirmCancellation(j *Job) {
	if !j.Rec.Cancel || j.Rec.Final() {
		j.cancelling = false
		return
	}
	sure := j.Open == 0 || l.cfg.Cluster.Workers.LeaseEndsInTime() && l.known(j.Version) // else one could keep a task of it alive
	j.EachOpen(func(p job.Placement) {
		m := l.owner.Roster().Get(p.Machine)
		if m == nil || m.Token < l.claim.Base() {
			sure = false
			return
		}
		if _, seen := m.Tasks[p.Key(j.ID)]; !seen && m.StartOnItsWay(l.box.Now()) {
			sure = false
			if !m.DirectStart && m.Unsure() {
				l.claim.WantRaise()
			}
		}
	})
	if sure {
		j.cancelling = true
		if j.Open > 0 {
			l.assured = max(l.assured, j.Version)
		}
	}
}

// isClosing tells whether a placement's end is known and not committed yet.
func (j *Job) isClosing(key job.Key, machine string) bool {
	return slices.ContainsFunc(j.closes, func(cl closing) bool { return cl.key == key && cl.machine == machine })
}

// close notes proof that a placement is over.
func (l *Leader) close(key job.Key, machine string, done bool) {
	l.closeSaved(key, machine, done, false)
}

// closeSaved does so for a task whose progress may have been saved.
func (l *Leader) closeSaved(key job.Key, machine string, done, saved bool) {
	j := l.jobs[key.Job]
	if j == nil {
		return
	}
	if j.isClosing(key, machine) {
		return
	}
	l.learnRun(j, key, machine, done)
	j.closes = append(j.closes, closing{key: key, machine: machine, done: done, stay: l.stay(j, key, machine, done || saved)})
	if j.Rec.Spec != nil && j.Rec.Spec.Shape == wire.Gang {
		if j.left == nil {
			j.left = map[string]uint64{}
		}
		j.left[machine] = key.Attempt
	}
	l.owner.Over(key)
	l.dirty[key.Job] = true
}
