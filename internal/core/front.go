package core

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/queue"
	"coralhub/wire"
)

// Deadlines of the users' requests, below what users wait.
const (
	pollDeadline   = 1500 * 1000
	cancelDeadline = 400 * 1000
)

// retryAfter is what users are told when the service can't answer now.
const retryAfter = 1

// checkEvery is the least time between two checks, so that polls share them: the
// state service's requests are for all nodes and purposes.
const checkEvery = 150 * 1000

// maxChecks bounds the polls that wait for a check; more are refused at once.
const maxChecks = 2000

// front answers users. Final phases are answered from memory; anything else
// only after the state service has confirmed, after the poll arrived, that
// this node's copy is current. Polls that arrive together share one check.
type front struct {
	checks   []poll
	checking bool
	checkAt  Micros              // when the next check may go out
	waiting  map[string][]waiter // cancellations that wait for the leader
}

type poll struct {
	req   uint64
	id    string
	since Micros
}

type waiter struct {
	req   uint64
	until Micros
}

func (c *Core) answer(req uint64, status int, body any) {
	c.emit(msg.Answer{Req: req, Status: status, Body: body})
}

func (c *Core) later(req uint64, why string) {
	c.emit(msg.Answer{Req: req, Status: http.StatusServiceUnavailable, Body: wire.Error{Error: why}, RetryAfter: retryAfter})
}

// laterVersion is why a node whose version is too old for the records doesn't serve.
const laterVersion = "the records are of a later version"

func (c *Core) notServing(req uint64) {
	if c.foreign {
		c.later(req, laterVersion)
		return
	}
	c.later(req, "starting")
}

// status tells a user about a job.
func (c *Core) status(j *Job) wire.JobStatus {
	s := wire.JobStatus{ID: j.ID}
	done, running := j.Rec.Count, 0
	switch {
	case j.Rec.Phase == job.Done:
		s.Status = wire.Done
		if j.Rec.Spec != nil {
			done = j.Rec.Spec.Tasks
		}
	case j.Rec.Phase == job.Cancelled:
		s.Status = wire.Cancelled
	default:
		done, running = j.Done, j.Open
		s.Status = wire.Queued
		if running > 0 {
			s.Status = wire.Running
		}
	}
	s.Done, s.Running = &done, &running
	return s
}

// submit handles POST /v1/jobs. A job is accepted once the creation of its
// record, guarded against one that exists, has been confirmed.
func (c *Core) submit(x msg.SubmitIn) {
	spec, err := wire.ParseJob(x.Body)
	if spec.ID == "" {
		c.answer(x.Req, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	if !c.serving() {
		c.notServing(x.Req)
		return
	}
	if j := c.jobs[spec.ID]; j != nil && j.Rec.Final() {
		c.answer(x.Req, http.StatusOK, c.status(j))
		return
	}
	refusal, why := 0, ""
	switch {
	case err != nil:
		refusal, why = http.StatusBadRequest, err.Error()
	case c.catalog == nil:
		refusal, why = http.StatusServiceUnavailable, "machine types not known yet"
	case c.needsService(&spec):
		refusal, why = http.StatusUnprocessableEntity, "needs a service, which is never done"
	case len(spec.Needs) > 0 && c.upgrading():
		// An older node would lose what the job needs.
		refusal, why = http.StatusServiceUnavailable, "needed jobs are not taken before every node has been upgraded"
	default:
		refusal, why = c.impossible(&spec)
	}
	if j := c.jobs[spec.ID]; refusal != 0 || j != nil && j.Version != 0 {
		c.refuse(x, spec.ID, refusal, why)
		return
	}
	if len(spec.Needs) == 0 {
		c.create(x, &spec)
		return
	}
	c.needed(spec.Needs, func(missing string, o msg.Outcome) {
		switch {
		case o != msg.OK:
			c.later(x.Req, "state service not available")
		case missing != "":
			c.refuse(x, spec.ID, http.StatusUnprocessableEntity, "needs "+missing+", which was never accepted")
		default:
			c.create(x, &spec)
		}
	})
}

// needsService tells whether a submission names a service, as far as this node
// knows. One that slips through waits, and is cancelled with the service.
func (c *Core) needsService(spec *wire.Job) bool {
	return slices.ContainsFunc(spec.Needs, func(id string) bool {
		n := c.jobs[id]
		return n != nil && n.Rec.Spec != nil && n.Rec.Spec.Shape == wire.Service
	})
}

// refuse answers a submission that can't be taken. Existence comes before
// validity: a job that is known is answered with 200 whatever its retry holds.
func (c *Core) refuse(x msg.SubmitIn, id string, refusal int, why string) {
	c.current(x.Req, id, func(j *Job) {
		switch {
		case j != nil:
			c.tellStatus(x.Req, j)
		case refusal == 0 || refusal == http.StatusServiceUnavailable:
			c.later(x.Req, why)
		default:
			c.answer(x.Req, refusal, wire.Error{Error: why})
		}
	})
}

// firstRecord is the record of a job as it is accepted, and its value. What it
// needs is kept as far as it isn't done. If any of that is cancelled, so is the job
// from the start.
func (c *Core) firstRecord(x msg.SubmitIn, spec *wire.Job) (*job.Record, []byte, error) {
	var left []string
	for _, id := range spec.Needs {
		n := c.jobs[id] // nil: it exists, and its record is on its way here
		if n != nil && (n.Rec.Phase == job.Cancelled || n.Doomed()) {
			rec := &job.Record{Phase: job.Cancelled}
			value, err := job.EncodeRecord(rec, c.format)
			return rec, value, err
		}
		if n == nil || n.Rec.Phase != job.Done {
			left = append(left, id)
		}
	}
	spec.Needs = left
	rec := &job.Record{Spec: spec, Created: x.Wall}
	value, err := job.EncodeRecord(rec, c.format)
	if err != nil {
		return nil, nil, err
	}
	size := wire.JSONSize(value)
	if size+recordRest > c.room() && c.slim(rec) {
		if value, err = job.EncodeRecord(rec, c.format); err != nil {
			return nil, nil, err
		}
		size = wire.JSONSize(value)
	}
	if c.format < job.Grouped {
		if size > c.roomBefore() {
			return nil, nil, errTooLarge
		}
		return rec, value, nil
	}
	if size+recordRest > c.room() {
		return nil, nil, errTooLarge
	}
	tasks := min(spec.Tasks, job.PartTasks)
	if spec.Shape != wire.Gang {
		tasks = min(tasks, leastTasks) // the rest waits if need be
	}
	if rec.Apart = size+tasks*c.placementSize() > c.room(); rec.Apart {
		value, err = job.EncodeRecord(rec, c.format)
	}
	return rec, value, err
}

var errTooLarge = errors.New("description too large")

const (
	// recordRest is what a record holds beside its description and placements.
	recordRest = 120
	// leastTasks is how many tasks of an array or a service a record has to have
	// room for, or else they are kept apart.
	leastTasks = 16
	// placementBytes is what a placement takes at most, but for its zone, with a
	// machine's name of usual length.
	placementBytes = 46
)

func (c *Core) placementSize() int {
	longest := 0
	for _, z := range c.cfg.Cluster.Zones {
		longest = max(longest, len(z))
	}
	return placementBytes + longest
}

// roomBefore is how large a description may be in the first format, whose parts
// are never apart. Its limits are those that the state service has now: lower
// ones come after the upgrade, when a record can be packed.
func (c *Core) roomBefore() int {
	return int(c.cfg.Cluster.State.ValueKB*1024) - job.PartTasks*(c.placementSize()-6) - recordRest
}

func (c *Core) create(x msg.SubmitIn, spec *wire.Job) {
	rec, value, err := c.firstRecord(x, spec)
	if err != nil {
		c.answer(x.Req, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status := wire.Queued
	if rec.Final() {
		status = wire.Cancelled
	}
	key := job.RecordKey(spec.ID)
	c.commit(wire.Commit{
		Guards:  []wire.Guard{{Key: key, Version: 0}},
		Changes: []wire.Change{{Put: key, Value: value}},
	}, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			ev := wire.Change{Put: key, Value: value, Version: d.Revision}
			c.apply(&ev)
			c.tell(ev)
			c.answer(x.Req, http.StatusCreated, wire.JobStatus{ID: spec.ID, Status: status})
		case msg.Conflict:
			c.refuse(x, spec.ID, 0, "try again")
		case msg.Invalid:
			c.later(x.Req, "try again")
		default:
			c.later(x.Req, "state service not available")
		}
	})
}

// tell gives the leader a copy of what was just written, ahead of its watch.
func (c *Core) tell(ev wire.Change) {
	if c.leader.node != "" && c.leader.node != c.cfg.Node {
		c.emit(msg.Tell{Node: c.leader.node, Event: ev})
	}
}

func (c *Core) hint(ev *wire.Change) {
	if id, n, ok := job.ParseKey(ev.Put); ok && n == 0 && id != "" && c.loaded {
		c.apply(ev)
	}
}

// impossible tells whether a job can never run: 422 and why, or 0.
func (c *Core) impossible(s *wire.Job) (int, string) {
	team := c.teams[s.Team]
	if team == nil {
		return http.StatusUnprocessableEntity, "unknown team"
	}
	need := 1.0
	if s.Shape != wire.Array {
		need = float64(s.Tasks)
	}
	if !queue.UnderLimit(team, queue.Amount{}.Plus(queue.Amount{CPUs: s.CPUs, GPUs: s.GPUs}, need)) {
		return http.StatusUnprocessableEntity, "needs more than the team's limit"
	}
	if s.Zone != "" {
		known := false
		for _, z := range c.cfg.Cluster.Zones {
			known = known || z == s.Zone
		}
		if !known {
			return http.StatusUnprocessableEntity, "unknown zone"
		}
	}
	for _, t := range c.catalog {
		if fits(s, t) && allowed(s, t) {
			return 0, ""
		}
	}
	return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
}

func fits(s *wire.Job, t *wire.MachineType) bool {
	return s.CPUs <= t.CPUs+1e-9 && s.GPUs <= t.GPUs+1e-9 && s.MemoryGB <= t.MemoryGB+1e-9
}

func allowed(s *wire.Job, t *wire.MachineType) bool {
	ok := len(s.Types) == 0
	for _, name := range s.Types {
		ok = ok || name == t.Name
	}
	if !ok || s.Zone == "" {
		return ok
	}
	for _, z := range t.Zones {
		if z == s.Zone {
			return true
		}
	}
	return false
}

// current reads a job's record and hands the job over, nil if there is none;
// when that can't be known it answers 503 itself.
func (c *Core) current(req uint64, id string, then func(*Job)) {
	c.read(job.RecordKey(id), func(d msg.ReadDone) {
		if d.Outcome != msg.OK {
			c.later(req, "state service not available")
			return
		}
		if d.Item.Version == 0 {
			then(nil)
			return
		}
		c.apply(&wire.Change{Put: d.Item.Key, Value: d.Item.Value, Version: d.Item.Version})
		then(c.jobs[id])
	})
}

// poll handles GET /v1/jobs/{id}.
func (c *Core) poll(x msg.PollIn) {
	switch {
	case !wire.ValidJobID(x.ID):
		c.answer(x.Req, http.StatusNotFound, wire.Error{Error: "no such job"})
	case !c.serving():
		c.notServing(x.Req)
	case c.jobs[x.ID] != nil && c.jobs[x.ID].Rec.Final():
		c.answer(x.Req, http.StatusOK, c.status(c.jobs[x.ID]))
	case len(c.checks) >= maxChecks:
		c.later(x.Req, "too many requests")
	default:
		c.checks = append(c.checks, poll{x.Req, x.ID, c.now})
	}
}

// flushChecks sends one check for the polls that wait, unless one is out.
func (c *Core) flushChecks() {
	if c.checking || len(c.checks) == 0 || c.now < c.checkAt {
		return
	}
	most := wire.GuardFactor * c.ops()
	ids := map[string]uint64{}
	n := 0
	for ; n < len(c.checks) && len(ids) < most; n++ {
		id := c.checks[n].id
		ids[id] = 0
		if j := c.jobs[id]; j != nil {
			ids[id] = j.Version
		}
	}
	batch := c.checks[:n:n]
	c.checks = append([]poll(nil), c.checks[n:]...)
	guards := make([]wire.Guard, 0, len(ids))
	for id, v := range ids {
		guards = append(guards, wire.Guard{Key: job.RecordKey(id), Version: v})
	}
	sort.Slice(guards, func(i, j int) bool { return guards[i].Key < guards[j].Key })
	c.checking, c.checkAt = true, c.now+checkEvery
	c.commit(wire.Commit{Guards: guards}, func(d msg.CommitDone) {
		c.checking = false
		c.checked(batch, d)
	})
}

func (c *Core) checked(batch []poll, d msg.CommitDone) {
	failed := map[string]bool{}
	for _, k := range d.Failed {
		failed[k] = true
	}
	for _, p := range batch {
		j := c.jobs[p.id]
		switch {
		case d.Outcome != msg.OK && d.Outcome != msg.Conflict:
			c.later(p.req, "state service not available")
		case j != nil && j.Rec.Final():
			c.answer(p.req, http.StatusOK, c.status(j))
		case failed[job.RecordKey(p.id)]:
			c.current(p.req, p.id, func(j *Job) { c.answerPoll(p, j) })
		case d.Outcome == msg.Conflict && len(failed) == 0:
			c.later(p.req, "try again")
		default:
			c.answerPoll(p, j)
		}
	}
}

func (c *Core) answerPoll(p poll, j *Job) {
	if j == nil || j.Version == 0 { // nothing is known of it but that others need it
		c.answer(p.req, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	c.tellStatus(p.req, j)
}

// tellStatus answers with a job's state, which is known to be current. A job
// before which one is cancelled is cancelled in its own record first: then every
// node says the same from then on, whatever it knows of the others.
func (c *Core) tellStatus(req uint64, j *Job) {
	switch {
	case j.Rec.Final():
		c.answer(req, http.StatusOK, c.status(j))
	case j.Doomed():
		c.mark(req, j)
	case c.stale(j):
		c.later(req, "not sure about the jobs that it needs")
	default:
		c.answer(req, http.StatusOK, c.status(j))
	}
}

// cancel handles POST /v1/jobs/{id}/withdraw. The mark is committed first and
// stops all starting; the user hears "cancelled" once the leader has made sure
// that every worker concerned will be stopped.
func (c *Core) cancel(x msg.CancelIn) {
	if !wire.ValidJobID(x.ID) {
		c.answer(x.Req, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	if !c.serving() {
		c.notServing(x.Req)
		return
	}
	if j := c.jobs[x.ID]; j != nil && j.Version != 0 {
		switch {
		case j.Rec.Final():
			c.answer(x.Req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: c.status(j).Status})
			return
		case !j.Rec.Cancel:
			c.mark(x.Req, j)
			return
		}
	}
	c.current(x.Req, x.ID, func(j *Job) {
		switch {
		case j == nil:
			c.answer(x.Req, http.StatusNotFound, wire.Error{Error: "no such job"})
		case j.Rec.Final():
			c.answer(x.Req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: c.status(j).Status})
		case j.Rec.Cancel:
			c.wait(x.Req, j)
		default:
			c.mark(x.Req, j)
		}
	})
}

func (c *Core) mark(req uint64, j *Job) {
	rec := j.Rec.Clone()
	rec.Cancel = true
	if rec.Attempt == 0 || len(rec.Open) == 0 && rec.Spec.Tasks <= job.PartTasks && !rec.Apart {
		// Nothing of it is on any machine, and the guard on the record's
		// version keeps it so: no leader is needed.
		rec.Phase, rec.Count = job.Cancelled, rec.Part.Count()
		rec.Shrink()
	}
	value, err := job.EncodeRecord(&rec, c.format)
	if err == nil && !c.fits(value) && rec.Spec != nil {
		// Nothing of it starts again: what is only for placing may go.
		spec := *rec.Spec
		spec.Types, spec.Class, spec.Image, spec.Needs = nil, "", "", nil
		rec.Spec = &spec
		value, err = job.EncodeRecord(&rec, c.format)
	}
	if err != nil || !c.fits(value) {
		c.log("record too large to be marked", "job", j.ID, "limit", c.room())
		c.later(req, "try again")
		return
	}
	key := job.RecordKey(j.ID)
	c.commit(wire.Commit{
		Guards:  []wire.Guard{{Key: key, Version: j.Version}},
		Changes: []wire.Change{{Put: key, Value: value}},
	}, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			ev := wire.Change{Put: key, Value: value, Version: d.Revision}
			c.apply(&ev)
			c.tell(ev)
			c.wait(req, j)
		case msg.Conflict:
			c.current(req, j.ID, func(j *Job) {
				if j != nil && (j.Rec.Cancel || j.Rec.Final()) {
					c.wait(req, j)
					return
				}
				c.later(req, "try again")
			})
		case msg.Invalid:
			c.later(req, "try again")
		default:
			c.later(req, "state service not available")
		}
	})
}

// wait answers a cancellation once the job's phase is final, or with 503 when
// that takes more than a moment.
func (c *Core) wait(req uint64, j *Job) {
	if j.Rec.Final() {
		c.answer(req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: c.status(j).Status})
		return
	}
	c.waiting[j.ID] = append(c.waiting[j.ID], waiter{req, c.now + cancelDeadline})
}

func (c *Core) answerWaiters(j *Job) {
	for _, w := range c.waiting[j.ID] {
		c.answer(w.req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: c.status(j).Status})
	}
	delete(c.waiting, j.ID)
}

// tickFront gives up on requests that have waited too long.
func (c *Core) tickFront() {
	keep := c.checks[:0]
	for _, p := range c.checks {
		if c.now-p.since > pollDeadline {
			c.later(p.req, "state service not available")
			continue
		}
		keep = append(keep, p)
	}
	c.checks = keep
	ids := slices.Sorted(maps.Keys(c.waiting))
	for _, id := range ids {
		left := c.waiting[id][:0]
		for _, w := range c.waiting[id] {
			if c.now >= w.until {
				c.later(w.req, "tasks are being stopped")
				continue
			}
			left = append(left, w)
		}
		if c.waiting[id] = left; len(left) == 0 {
			delete(c.waiting, id)
		}
	}
}

// stale tells whether this node can't know well enough whether a job that waits
// for others is still to be called queued.
func (c *Core) stale(j *Job) bool {
	return j.Waits() && c.now-c.currentAt > config.FromSeconds(c.cfg.Cluster.Workers.CancelS)/4
}

// needed hands over which of the ids were never accepted, as the state service
// confirms it now: this node's copy may lag, and users submit a job as soon as
// those that it needs are accepted, perhaps by another node.
func (c *Core) needed(ids []string, then func(missing string, o msg.Outcome)) {
	batch := c.book.Unknown(ids)
	if len(batch) == 0 {
		then("", msg.OK)
		return
	}
	batch = batch[:min(len(batch), wire.GuardFactor*c.ops())]
	t := wire.Commit{}
	for _, id := range batch {
		t.Guards = append(t.Guards, wire.Guard{Key: job.RecordKey(id)})
	}
	c.commit(t, func(d msg.CommitDone) {
		if d.Outcome != msg.OK && (d.Outcome != msg.Conflict || len(d.Failed) == 0) {
			then("", msg.Unknown)
			return
		}
		left := slices.Clone(ids)
		for _, id := range batch {
			if d.Outcome == msg.OK || !slices.Contains(d.Failed, job.RecordKey(id)) {
				then(id, msg.OK)
				return
			}
			left = slices.DeleteFunc(left, func(o string) bool { return o == id })
		}
		c.needed(left, then)
	})
}
