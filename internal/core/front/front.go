// Package front answers users, at any node. Final phases are answered from memory; anything
// else only after the state service has confirmed, after the question arrived, that
// this node's copy is current.
package front

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"sort"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Deadlines of the users' requests, below what users wait.
const (
	pollDeadline   = 1500 * 1000
	cancelDeadline = 400 * 1000
)

// checkEvery is the least time between two checks, so that polls share them: the
// state service's requests are for all nodes and purposes.
const checkEvery = 150 * 1000

const (
	// lively is how recently the watch has to have been asked for many polls to wait for
	// its next answer.
	lively = 500 * 1000
	// closelyEvery is how often the watch is told that many polls wait for it.
	closelyEvery = config.Second
)

// maxChecks bounds the polls that wait for a check; more are refused at once.
const maxChecks = 2000

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Node is what the front asks of the rest of its node.
type Node interface {
	// Refusal tells why the node doesn't serve; "": it does.
	Refusal() string
	// Heard takes a change that was read.
	Heard(wire.Change)
	// Wrote takes a change that this node has committed, and sees to it that the leader
	// hears of it soon.
	Wrote(wire.Change)
}

// Front is the users' side of a node. Polls that arrive together share one check.
type Front struct {
	cfg     *config.Config
	teams   map[string]*config.Team
	box     *outbox.Box
	replica *records.Replica
	form    *records.Form
	catalog *zone.Catalog
	node    Node

	checks    []poll
	checking  bool
	asked     []poll              // those that the check which is out is for
	checkAt   Micros              // when the next check may go out
	closelyAt Micros              // when the watch was last told that many wait
	waiting   map[string][]waiter // cancellations that wait for the leader

	pagesRevision uint64 // of the last change of a page of shared parts
	pagesAt       Micros // when that was seen
}

// New returns the front of a node.
func New(cfg *config.Config, box *outbox.Box, replica *records.Replica, form *records.Form, catalog *zone.Catalog, node Node) *Front {
	return &Front{cfg: cfg, teams: cfg.Cluster.TeamsByName(), box: box, replica: replica, form: form, catalog: catalog, node: node,
		waiting: map[string][]waiter{}}
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

// Status tells a user about a job.
func Status(j *records.Job) wire.JobStatus {
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

// Submit handles POST /v1/jobs. A job is accepted once the creation of its
// record, guarded against one that exists, has been confirmed.
func (f *Front) Submit(x msg.SubmitIn) {
	spec, err := wire.ParseJob(x.Body)
	if spec.ID == "" {
		f.box.Answer(x.Req, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	if why := f.node.Refusal(); why != "" {
		f.box.Later(x.Req, why)
		return
	}
	if j := f.replica.Job(spec.ID); j != nil && j.Rec.Final() {
		f.box.Answer(x.Req, http.StatusOK, Status(j))
		return
	}
	refusal, why := 0, ""
	switch {
	case err != nil:
		refusal, why = http.StatusBadRequest, err.Error()
	case !f.catalog.Known():
		refusal, why = http.StatusServiceUnavailable, "machine types not known yet"
	case f.needsService(&spec):
		refusal, why = http.StatusUnprocessableEntity, "needs a service, which is never done"
	case len(spec.Needs) > 0 && f.form.Upgrading():
		// An older node would lose what the job needs.
		refusal, why = http.StatusServiceUnavailable, "needed jobs are not taken before every node has been upgraded"
	default:
		refusal, why = f.impossible(&spec)
	}
	if j := f.replica.Job(spec.ID); refusal != 0 || j != nil && j.Version != 0 {
		f.refuse(x, spec.ID, refusal, why)
		return
	}
	if len(spec.Needs) == 0 {
		f.create(x, &spec)
		return
	}
	f.needed(spec.Needs, func(missing string, o msg.Outcome) {
		switch {
		case o != msg.OK:
			f.box.Later(x.Req, "state service not available")
		case missing != "":
			f.refuse(x, spec.ID, http.StatusUnprocessableEntity, "needs "+missing+", which was never accepted")
		default:
			f.create(x, &spec)
		}
	})
}

// needsService tells whether a submission names a service, as far as this node
// knows. One that slips through waits, and is cancelled with the service.
func (f *Front) needsService(spec *wire.Job) bool {
	return slices.ContainsFunc(spec.Needs, func(id string) bool {
		n := f.replica.Job(id)
		return n != nil && n.Rec.Spec != nil && n.Rec.Spec.Shape == wire.Service
	})
}

// refuse answers a submission that can't be taken. Existence comes before
// validity: a job that is known is answered with 200 whatever its retry holds.
func (f *Front) refuse(x msg.SubmitIn, id string, refusal int, why string) {
	f.current(x.Req, id, func(j *records.Job) {
		switch {
		case j != nil:
			f.tellStatus(x.Req, j)
		case refusal == 0 || refusal == http.StatusServiceUnavailable:
			f.box.Later(x.Req, why)
		default:
			f.box.Answer(x.Req, refusal, wire.Error{Error: why})
		}
	})
}

// firstRecord is the record of a job as it is accepted, and its value. What it
// needs is kept as far as it isn't done. If any of that is cancelled, so is the job
// from the start.
func (f *Front) firstRecord(x msg.SubmitIn, spec *wire.Job) (*job.Record, []byte, error) {
	var left []string
	for _, id := range spec.Needs {
		n := f.replica.Job(id) // nil: it exists, and its record is on its way here
		if n != nil && (n.Rec.Phase == job.Cancelled || n.Doomed()) {
			rec := &job.Record{Phase: job.Cancelled}
			value, err := job.EncodeRecord(rec, f.form.Format)
			return rec, value, err
		}
		if n == nil || n.Rec.Phase != job.Done {
			left = append(left, id)
		}
	}
	spec.Needs = left
	rec := &job.Record{Spec: spec, Created: x.Wall}
	value, err := job.EncodeRecord(rec, f.form.Format)
	if err != nil {
		return nil, nil, err
	}
	size := wire.JSONSize(value)
	if size+recordRest > f.form.Room() && f.slim(rec) {
		if value, err = job.EncodeRecord(rec, f.form.Format); err != nil {
			return nil, nil, err
		}
		size = wire.JSONSize(value)
	}
	if f.form.Format < job.Grouped {
		if size > f.roomBefore() {
			return nil, nil, errTooLarge
		}
		return rec, value, nil
	}
	if size+recordRest > f.form.Room() {
		return nil, nil, errTooLarge
	}
	tasks := min(spec.Tasks, job.PartTasks)
	if spec.Shape != wire.Gang {
		tasks = min(tasks, leastTasks) // the rest waits if need be
	}
	if rec.Apart = size+tasks*f.placementSize() > f.form.Room(); rec.Apart {
		value, err = job.EncodeRecord(rec, f.form.Format)
	}
	return rec, value, err
}

// slim takes out of a record what no longer decides anything.
func (f *Front) slim(rec *job.Record) bool {
	spec := f.catalog.Slim(rec.Spec)
	if spec != nil {
		rec.Spec = spec
	}
	return spec != nil
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
	placementBytes = 52
)

func (f *Front) placementSize() int {
	longest := 0
	for _, z := range f.cfg.Cluster.Zones {
		longest = max(longest, len(z))
	}
	return placementBytes + longest
}

// roomBefore is how large a description may be in the first format, whose parts
// are never apart. Its limits are those that the state service has now: lower
// ones come after the upgrade, when a record can be packed.
func (f *Front) roomBefore() int {
	return int(f.cfg.Cluster.State.ValueKB*1024) - job.PartTasks*(f.placementSize()-6) - recordRest
}

func (f *Front) create(x msg.SubmitIn, spec *wire.Job) {
	rec, value, err := f.firstRecord(x, spec)
	if err != nil {
		f.box.Answer(x.Req, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status := wire.Queued
	if rec.Final() {
		status = wire.Cancelled
	}
	key := job.RecordKey(spec.ID)
	f.box.Transact(wire.Commit{
		Guards:  []wire.Guard{{Key: key, Version: 0}},
		Changes: []wire.Change{{Put: key, Value: value}},
	}, msg.Accept, msg.ForAccept, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			f.node.Wrote(wire.Change{Put: key, Value: value, Version: d.Revision})
			f.box.Debug("accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks,
				"shape", spec.Shape, "gpus", spec.GPUs, "estimate_s", spec.EstimateS)
			f.box.Answer(x.Req, http.StatusCreated, wire.JobStatus{ID: spec.ID, Status: status})
		case msg.Conflict:
			f.refuse(x, spec.ID, 0, "try again")
		case msg.Invalid:
			f.box.Later(x.Req, "try again")
		default:
			f.box.Later(x.Req, "state service not available")
		}
	})
}

// impossible tells whether a job can never run: 422 and why, or 0.
func (f *Front) impossible(s *wire.Job) (int, string) {
	team := f.teams[s.Team]
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
		for _, z := range f.cfg.Cluster.Zones {
			known = known || z == s.Zone
		}
		if !known {
			return http.StatusUnprocessableEntity, "unknown zone"
		}
	}
	if !f.catalog.Runs(s) {
		return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
	}
	// All of a gang run at once. Some of a service or an array can, and the others when there is a zone for them.
	if s.Shape == wire.Gang && s.Spread && s.Tasks > 1 && (s.OneZone || f.catalog.Zones(s) < 2) {
		return http.StatusUnprocessableEntity, "a gang can't be spread over one zone"
	}
	return 0, ""
}

// current reads a job's record and hands the job over, nil if there is none;
// when that can't be known it answers 503 itself.
func (f *Front) current(req uint64, id string, then func(*records.Job)) {
	f.box.Read(job.RecordKey(id), func(d msg.ReadDone) {
		if d.Outcome != msg.OK {
			f.box.Later(req, "state service not available")
			return
		}
		if d.Item.Version == 0 {
			then(nil)
			return
		}
		f.node.Heard(wire.Change{Put: d.Item.Key, Value: d.Item.Value, Version: d.Item.Version})
		then(f.replica.Job(id))
	})
}

// Poll handles GET /v1/jobs/{id}.
func (f *Front) Poll(x msg.PollIn) {
	switch {
	case !wire.ValidJobID(x.ID):
		f.box.Answer(x.Req, http.StatusNotFound, wire.Error{Error: "no such job"})
	case f.node.Refusal() != "":
		f.box.Later(x.Req, f.node.Refusal())
	case f.replica.Job(x.ID) != nil && f.replica.Job(x.ID).Rec.Final():
		f.box.Answer(x.Req, http.StatusOK, Status(f.replica.Job(x.ID)))
	case len(f.checks) >= maxChecks:
		f.box.Later(x.Req, "too many requests")
	default:
		f.checks = append(f.checks, poll{x.Req, x.ID, f.box.Now()})
	}
}

// Flush sends one check for the polls that wait, unless one is out.
func (f *Front) Flush() {
	if f.checking || len(f.checks) == 0 || f.box.Now() < f.checkAt {
		return
	}
	most := wire.GuardFactor * f.form.Ops()
	if len(f.checks) > most {
		if f.closelyAt == 0 || f.box.Now()-f.closelyAt > closelyEvery {
			f.closelyAt = f.box.Now()
			f.box.Emit(msg.FollowClosely{})
		}
		if f.box.Now()-f.replica.CurrentAt() < lively {
			return // the watch will confirm all of them, with one request
		}
	}
	ids := map[string]uint64{}
	n := 0
	for ; n < len(f.checks) && len(ids) < most; n++ {
		id := f.checks[n].id
		ids[id] = 0
		if j := f.replica.Job(id); j != nil {
			ids[id] = j.Version
		}
	}
	f.asked = f.checks[:n:n]
	f.checks = append([]poll(nil), f.checks[n:]...)
	guards := make([]wire.Guard, 0, len(ids))
	for id, v := range ids {
		guards = append(guards, wire.Guard{Key: job.RecordKey(id), Version: v})
	}
	sort.Slice(guards, func(i, j int) bool { return guards[i].Key < guards[j].Key })
	f.checking, f.checkAt = true, f.box.Now()+checkEvery
	f.box.Commit(wire.Commit{Guards: guards}, msg.ForConfirm, func(d msg.CommitDone) {
		f.checking = false
		batch := f.asked
		f.asked = nil
		f.checked(batch, d)
	})
}

// Followed answers the polls that came before the watch was last asked: the copy holds
// everything that happened before that. In a flood the watch answers all the time, while a
// check is a request to the state service for some 40 polls.
func (f *Front) Followed() {
	left := f.checks[:0]
	for _, p := range f.checks {
		if p.since >= f.replica.CurrentAt() {
			left = append(left, p)
			continue
		}
		f.answerPoll(p, f.replica.Job(p.id))
	}
	f.checks = left
}

func (f *Front) checked(batch []poll, d msg.CommitDone) {
	failed := map[string]bool{}
	for _, k := range d.Failed {
		failed[k] = true
	}
	for _, p := range batch {
		j := f.replica.Job(p.id)
		switch {
		case d.Outcome != msg.OK && d.Outcome != msg.Conflict:
			f.box.Later(p.req, "state service not available")
		case j != nil && j.Rec.Final():
			f.box.Answer(p.req, http.StatusOK, Status(j))
		case failed[job.RecordKey(p.id)]:
			f.current(p.req, p.id, func(j *records.Job) { f.answerPoll(p, j) })
		case d.Outcome == msg.Conflict && len(failed) == 0:
			f.box.Later(p.req, "try again")
		default:
			f.answerPoll(p, j)
		}
	}
}

func (f *Front) answerPoll(p poll, j *records.Job) {
	if j == nil || j.Version == 0 { // nothing is known of it but that others need it
		f.box.Answer(p.req, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	f.tellStatus(p.req, j)
}

// tellStatus answers with a job's state, which is known to be current. A job
// before which one is cancelled is cancelled in its own record first: then every
// node says the same from then on, whatever it knows of the others.
func (f *Front) tellStatus(req uint64, j *records.Job) {
	switch {
	case j.Rec.Final():
		f.box.Answer(req, http.StatusOK, Status(j))
	case j.Doomed():
		f.mark(req, j)
	case f.stale(j):
		f.box.Later(req, "not sure about the jobs that it needs")
	default:
		f.box.Answer(req, http.StatusOK, Status(j))
	}
}

// Cancel handles POST /v1/jobs/{id}/withdraw. The mark is committed first and
// stops all starting; the user hears "cancelled" once the leader has made sure
// that every worker concerned will be stopped.
func (f *Front) Cancel(x msg.CancelIn) {
	if !wire.ValidJobID(x.ID) {
		f.box.Answer(x.Req, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	if why := f.node.Refusal(); why != "" {
		f.box.Later(x.Req, why)
		return
	}
	if j := f.replica.Job(x.ID); j != nil && j.Version != 0 {
		switch {
		case j.Rec.Final():
			f.box.Answer(x.Req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
			return
		case !j.Rec.Cancel:
			f.mark(x.Req, j)
			return
		}
	}
	f.current(x.Req, x.ID, func(j *records.Job) {
		switch {
		case j == nil:
			f.box.Answer(x.Req, http.StatusNotFound, wire.Error{Error: "no such job"})
		case j.Rec.Final():
			f.box.Answer(x.Req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
		case j.Rec.Cancel:
			f.wait(x.Req, j)
		default:
			f.mark(x.Req, j)
		}
	})
}

// mark has a job cancelled: at once, if it is sure that nothing of it is on any machine, or else by a
// mark that the leader acts upon.
func (f *Front) mark(req uint64, j *records.Job) {
	if guards, sure := f.aloneGuards(j); sure {
		f.settle(req, j, guards)
		return
	}
	f.leaveToLeader(req, j)
}

// leaveToLeader marks a job as to be cancelled.
func (f *Front) leaveToLeader(req uint64, j *records.Job) {
	rec := j.Rec.Clone()
	rec.Cancel = true
	f.writeMark(req, j, &rec, []wire.Guard{{Key: job.RecordKey(j.ID), Version: j.Version}}, func() { f.box.Later(req, "try again") })
}

// settle cancels a job without the leader. If the guards fail although nobody has cancelled it, a
// leader has been placing jobs meanwhile, and it is the leader's.
func (f *Front) settle(req uint64, j *records.Job, guards []wire.Guard) {
	// What it had on machines before is all over, by what this copy holds, and charged.
	rec := job.Record{Phase: job.Cancelled, Count: j.Done}
	if f.form.Format >= job.Standing {
		rec.Account = job.AccountOf(j.Rec.Spec, j.Rec.Spent.Plus(j.SharedSpent()), 0)
	}
	f.writeMark(req, j, &rec, guards, func() { f.leaveToLeader(req, j) })
}

// writeMark commits a record that says that a job is cancelled, or is to be. If the guards fail
// although it is not, refused is called once the replica has the job as it is now.
func (f *Front) writeMark(req uint64, j *records.Job, rec *job.Record, guards []wire.Guard, refused func()) {
	value, err := job.EncodeRecord(rec, f.form.Format)
	if err == nil && !f.form.Fits(value) && rec.Spec != nil {
		// Nothing of it starts again: what is only for placing may go.
		spec := *rec.Spec
		spec.Types, spec.Class, spec.Image, spec.Needs = nil, "", "", nil
		rec.Spec = &spec
		value, err = job.EncodeRecord(rec, f.form.Format)
	}
	if err != nil || !f.form.Fits(value) {
		f.box.Log("record too large to be marked", "job", j.ID, "limit", f.form.Room())
		f.box.Later(req, "try again")
		return
	}
	key := job.RecordKey(j.ID)
	f.box.Commit(wire.Commit{
		Guards:  guards,
		Changes: []wire.Change{{Put: key, Value: value}},
	}, msg.ForMark, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			f.node.Wrote(wire.Change{Put: key, Value: value, Version: d.Revision})
			f.wait(req, j)
		case msg.Conflict:
			f.current(req, j.ID, func(j *records.Job) {
				switch {
				case j != nil && (j.Rec.Cancel || j.Rec.Final()):
					f.wait(req, j)
				case j == nil || j.Rec.Spec == nil:
					f.box.Later(req, "try again")
				default:
					refused()
				}
			})
		case msg.Invalid:
			f.box.Later(req, "try again")
		default:
			f.box.Later(req, "state service not available")
		}
	})
}

// pagesQuiet is how long pages of shared parts are to be unchanged for that guards on all of them are
// likely to hold: a transaction whose guards fail costs as much as one whose guards hold.
const pagesQuiet = config.Second

// aloneGuards returns guards that hold only if nothing of a job is on any machine: then no leader is
// needed to cancel it. From job.SharedParts on a place may be in a page, and no guard on the record tells
// of that. So either all pages are guarded, and the next one, which is the only one that could be begun; or
// the job waits for another that is not done: the record of that one says so, and nothing of this one starts before.
func (f *Front) aloneGuards(j *records.Job) (guards []wire.Guard, sure bool) {
	rec := &j.Rec
	if rec.Attempt > 0 && (j.Open > 0 || rec.Spec.Tasks > job.PartTasks || rec.Apart) {
		return nil, false
	}
	guards = []wire.Guard{{Key: job.RecordKey(j.ID), Version: j.Version}, f.form.Guard()}
	if f.form.Format < job.SharedParts || j.Doomed() {
		return guards, true
	}
	for _, id := range j.UndoneNeeds() {
		return append(guards, wire.Guard{Key: job.RecordKey(id), Version: f.replica.Job(id).Version}), true
	}
	pages := f.replica.SharedGuards()
	if len(guards)+len(pages) > wire.GuardFactor*f.form.Ops() || f.box.Now()-f.pagesAt < pagesQuiet {
		return nil, false
	}
	return append(guards, pages...), true
}

// followPages notes when pages of shared parts have changed.
func (f *Front) followPages() {
	if v := f.replica.SharedRevision(); v != f.pagesRevision {
		f.pagesRevision, f.pagesAt = v, f.box.Now()
	}
}

// wait answers a cancellation once the job's phase is final, or with 503 when
// that takes more than a moment.
func (f *Front) wait(req uint64, j *records.Job) {
	if j.Rec.Final() {
		f.box.Answer(req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
		return
	}
	f.waiting[j.ID] = append(f.waiting[j.ID], waiter{req, f.box.Now() + cancelDeadline})
}

// Ended answers who waits for a job to be over: its phase is final now.
func (f *Front) Ended(j *records.Job) {
	for _, w := range f.waiting[j.ID] {
		f.box.Answer(w.req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
	}
	delete(f.waiting, j.ID)
}

// Tick gives up on requests that have waited too long.
func (f *Front) Tick() {
	f.followPages()
	f.checks = f.inTime(f.checks)
	f.asked = f.inTime(f.asked) // the answer to a check may take longer than its users wait
	ids := slices.Sorted(maps.Keys(f.waiting))
	for _, id := range ids {
		left := f.waiting[id][:0]
		for _, w := range f.waiting[id] {
			if f.box.Now() >= w.until {
				f.box.Later(w.req, "tasks are being stopped")
				continue
			}
			left = append(left, w)
		}
		if f.waiting[id] = left; len(left) == 0 {
			delete(f.waiting, id)
		}
	}
}

// inTime refuses the polls whose users would not wait much longer, and returns the others.
func (f *Front) inTime(polls []poll) []poll {
	return slices.DeleteFunc(polls, func(p poll) bool {
		late := f.box.Now()-p.since > pollDeadline
		if late {
			f.box.Later(p.req, "state service not available")
		}
		return late
	})
}

// stale tells whether this node can't know well enough whether a job that waits
// for others is still to be called queued.
func (f *Front) stale(j *records.Job) bool {
	return j.Waits() && f.box.Now()-f.replica.CurrentAt() > config.FromSeconds(f.cfg.Cluster.Workers.CancelS)/4
}

// needed hands over which of the ids were never accepted, as the state service
// confirms it now: this node's copy may lag, and users submit a job as soon as
// those that it needs are accepted, perhaps by another node.
func (f *Front) needed(ids []string, then func(missing string, o msg.Outcome)) {
	batch := f.replica.Unknown(ids)
	if len(batch) == 0 {
		then("", msg.OK)
		return
	}
	batch = batch[:min(len(batch), wire.GuardFactor*f.form.Ops())]
	t := wire.Commit{}
	for _, id := range batch {
		t.Guards = append(t.Guards, wire.Guard{Key: job.RecordKey(id)})
	}
	f.box.Commit(t, msg.ForConfirm, func(d msg.CommitDone) {
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
		f.needed(left, then)
	})
}
