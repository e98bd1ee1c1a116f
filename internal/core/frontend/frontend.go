// Package frontend answers users, at any node. Final phases are answered from memory; anything
// else only after the state service has confirmed, after the question arrived, that
// this node's copy is current.
package frontend

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

// checkInterval is the least time between two checks, so that polls share them: the
// state service's requests are for all nodes and purposes.
const checkInterval = 150 * 1000

const (
	// watchFreshness is how recently the watch has to have been asked for many polls to wait for
	// its next answer.
	watchFreshness = 500 * 1000
	// fastPollInterval is how often the watch is told that many polls wait for it.
	fastPollInterval = config.Second
)

// maxPendingPolls bounds the polls that wait for a check; more are refused at once.
const maxPendingPolls = 2000

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Node is what the front asks of the rest of its node.
type Node interface {
	// Refusal tells why the node doesn't serve; "": it does.
	NotServingReason() string
	// Heard takes a change that was read.
	ApplyRead(wire.Change)
	// Wrote takes a change that this node has committed, and sees to it that the leader
	// hears of it soon.
	ApplyWritten(wire.Change)
}

// Frontend is the users' side of a node. Polls that arrive together share one check.
type Frontend struct {
	cfg      *config.Config
	teams    map[string]*config.Team
	outbox   *outbox.Outbox
	replica  *records.Replica
	encoding *records.Encoding
	catalog  *zone.Catalog
	node     Node

	pendingPolls        []pendingPoll
	checkInFlight       bool
	checkedPolls        []pendingPoll              // those that the check which is out is for
	nextCheckAt         Micros                     // when the next check may go out
	fastPollRequestedAt Micros                     // when the watch was last told that many wait
	waitingCancels      map[string][]waitingCancel // cancellations that wait for the leader

	placementsRevision  uint64 // of the last change of a page of shared parts
	placementsChangedAt Micros // when that was seen
}

// New returns the front of a node.
func New(cfg *config.Config, box *outbox.Outbox, replica *records.Replica, form *records.Encoding, catalog *zone.Catalog, node Node) *Frontend {
	return &Frontend{cfg: cfg, teams: cfg.Cluster.TeamsByName(), outbox: box, replica: replica, encoding: form, catalog: catalog, node: node,
		waitingCancels: map[string][]waitingCancel{}}
}

type pendingPoll struct {
	requestID uint64
	jobID     string
	since     Micros
}

type waitingCancel struct {
	requestID uint64
	deadline  Micros
}

// Status tells a user about a job.
func Status(j *records.Job) wire.JobStatus {
	s := wire.JobStatus{ID: j.ID}
	done, running := j.Record.DoneTasks, 0
	switch {
	case j.Record.Phase == job.Done:
		s.Status = wire.Done
		if j.Record.Spec != nil {
			done = j.Record.Spec.Tasks
		}
	case j.Record.Phase == job.Cancelled:
		s.Status = wire.Cancelled
	default:
		done, running = j.DoneTasks, j.OpenTasks
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
func (f *Frontend) Submit(x msg.SubmitIn) {
	spec, err := wire.ParseJob(x.Body)
	if spec.ID == "" {
		f.outbox.Respond(x.RequestID, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	if why := f.node.NotServingReason(); why != "" {
		f.outbox.RetryLater(x.RequestID, why)
		return
	}
	if j := f.replica.Job(spec.ID); j != nil && j.Record.Final() {
		f.outbox.Respond(x.RequestID, http.StatusOK, Status(j))
		return
	}
	refusal, why := 0, ""
	switch {
	case err != nil:
		refusal, why = http.StatusBadRequest, err.Error()
	case !f.catalog.Known():
		refusal, why = http.StatusServiceUnavailable, "machine types not known yet"
	case f.dependsOnService(&spec):
		refusal, why = http.StatusUnprocessableEntity, "needs a service, which is never done"
	case len(spec.Needs) > 0 && f.encoding.UpgradePending():
		// An older node would lose what the job needs.
		refusal, why = http.StatusServiceUnavailable, "needed jobs are not taken before every node has been upgraded"
	default:
		refusal, why = f.validate(&spec)
	}
	if j := f.replica.Job(spec.ID); refusal != 0 || j != nil && j.Version != 0 {
		f.refuse(x, spec.ID, refusal, why)
		return
	}
	if len(spec.Needs) == 0 {
		f.createRecord(x, &spec)
		return
	}
	f.checkDependencies(spec.Needs, func(missing string, o msg.Outcome) {
		switch {
		case o != msg.OK:
			f.outbox.RetryLater(x.RequestID, "state service not available")
		case missing != "":
			f.refuse(x, spec.ID, http.StatusUnprocessableEntity, "needs "+missing+", which was never accepted")
		default:
			f.createRecord(x, &spec)
		}
	})
}

// dependsOnService tells whether a submission names a service, as far as this node
// knows. One that slips through waits, and is cancelled with the service.
func (f *Frontend) dependsOnService(spec *wire.Job) bool {
	return slices.ContainsFunc(spec.Needs, func(id string) bool {
		n := f.replica.Job(id)
		return n != nil && n.Record.Spec != nil && n.Record.Spec.Shape == wire.Service
	})
}

// refuse answers a submission that can't be taken. Existence comes before
// validity: a job that is known is answered with 200 whatever its retry holds.
func (f *Frontend) refuse(x msg.SubmitIn, id string, refusal int, why string) {
	f.readCurrent(x.RequestID, id, func(j *records.Job) {
		switch {
		case j != nil:
			f.respondWithStatus(x.RequestID, j)
		case refusal == 0 || refusal == http.StatusServiceUnavailable:
			f.outbox.RetryLater(x.RequestID, why)
		default:
			f.outbox.Respond(x.RequestID, refusal, wire.Error{Error: why})
		}
	})
}

// firstRecord is the record of a job as it is accepted, and its value. What it
// needs is kept as far as it isn't done. If any of that is cancelled, so is the job
// from the start.
func (f *Frontend) firstRecord(x msg.SubmitIn, spec *wire.Job) (*job.Record, []byte, error) {
	var left []string
	for _, id := range spec.Needs {
		n := f.replica.Job(id) // nil: it exists, and its record is on its way here
		if n != nil && (n.Record.Phase == job.Cancelled || n.DependencyCancelled()) {
			rec := &job.Record{Phase: job.Cancelled}
			value, err := job.EncodeRecord(rec, f.encoding.Format)
			return rec, value, err
		}
		if n == nil || n.Record.Phase != job.Done {
			left = append(left, id)
		}
	}
	spec.Needs = left
	rec := &job.Record{Spec: spec, CreatedAt: x.WallClock}
	value, err := job.EncodeRecord(rec, f.encoding.Format)
	if err != nil {
		return nil, nil, err
	}
	size := wire.JSONSize(value)
	if size+recordOverhead > f.encoding.MaxValueBytes() && f.shortenSpec(rec) {
		if value, err = job.EncodeRecord(rec, f.encoding.Format); err != nil {
			return nil, nil, err
		}
		size = wire.JSONSize(value)
	}
	if f.encoding.Format < job.FormatGrouped {
		if size > f.firstFormatLimit() {
			return nil, nil, errTooLarge
		}
		return rec, value, nil
	}
	if size+recordOverhead > f.encoding.MaxValueBytes() {
		return nil, nil, errTooLarge
	}
	tasks := min(spec.Tasks, job.TasksPerShard)
	if spec.Shape != wire.Gang {
		tasks = min(tasks, minTasksInRecord) // the rest waits if need be
	}
	if rec.ShardsOnly = size+tasks*f.placementSize() > f.encoding.MaxValueBytes(); rec.ShardsOnly {
		value, err = job.EncodeRecord(rec, f.encoding.Format)
	}
	return rec, value, err
}

// shortenSpec takes out of a record what no longer decides anything.
func (f *Frontend) shortenSpec(rec *job.Record) bool {
	spec := f.catalog.Slim(rec.Spec)
	if spec != nil {
		rec.Spec = spec
	}
	return spec != nil
}

var errTooLarge = errors.New("description too large")

const (
	// recordOverhead is what a record holds beside its description and placements.
	recordOverhead = 120
	// minTasksInRecord is how many tasks of an array or a service a record has to have
	// room for, or else they are kept apart.
	minTasksInRecord = 16
	// placementBytes is what a placement takes at most, but for its zone, with a
	// machine's name of usual length.
	placementBytes = 52
)

func (f *Frontend) placementSize() int {
	longest := 0
	for _, z := range f.cfg.Cluster.Zones {
		longest = max(longest, len(z))
	}
	return placementBytes + longest
}

// firstFormatLimit is how large a description may be in the first format, whose parts
// are never apart. Its limits are those that the state service has now: lower
// ones come after the upgrade, when a record can be packed.
func (f *Frontend) firstFormatLimit() int {
	return int(f.cfg.Cluster.State.ValueKB*1024) - job.TasksPerShard*(f.placementSize()-6) - recordOverhead
}

func (f *Frontend) createRecord(x msg.SubmitIn, spec *wire.Job) {
	rec, value, err := f.firstRecord(x, spec)
	if err != nil {
		f.outbox.Respond(x.RequestID, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status := wire.Queued
	if rec.Final() {
		status = wire.Cancelled
	}
	key := job.RecordKey(spec.ID)
	f.outbox.CommitWithPriority(wire.Transaction{
		Conditions: []wire.Condition{{Key: key, Version: 0}},
		Changes:    []wire.Change{{Put: key, Value: value}},
	}, msg.Admission, msg.PurposeAdmission, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			f.node.ApplyWritten(wire.Change{Put: key, Value: value, Version: d.Revision})
			f.outbox.Debug("accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks,
				"shape", spec.Shape, "gpus", spec.GPUs, "estimate_s", spec.EstimateS)
			f.outbox.Respond(x.RequestID, http.StatusCreated, wire.JobStatus{ID: spec.ID, Status: status})
		case msg.Conflict:
			f.refuse(x, spec.ID, 0, "try again")
		case msg.Invalid:
			f.outbox.RetryLater(x.RequestID, "try again")
		default:
			f.outbox.RetryLater(x.RequestID, "state service not available")
		}
	})
}

// validate tells whether a job can never run: 422 and why, or 0.
func (f *Frontend) validate(s *wire.Job) (int, string) {
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

// readCurrent reads a job's record and hands the job over, nil if there is none;
// when that can't be known it answers 503 itself.
func (f *Frontend) readCurrent(req uint64, id string, then func(*records.Job)) {
	f.outbox.Read(job.RecordKey(id), func(d msg.ReadDone) {
		if d.Outcome != msg.OK {
			f.outbox.RetryLater(req, "state service not available")
			return
		}
		if d.Item.Version == 0 {
			then(nil)
			return
		}
		f.node.ApplyRead(wire.Change{Put: d.Item.Key, Value: d.Item.Value, Version: d.Item.Version})
		then(f.replica.Job(id))
	})
}

// Poll handles GET /v1/jobs/{id}.
func (f *Frontend) Poll(x msg.PollIn) {
	switch {
	case !wire.ValidJobID(x.JobID):
		f.outbox.Respond(x.RequestID, http.StatusNotFound, wire.Error{Error: "no such job"})
	case f.node.NotServingReason() != "":
		f.outbox.RetryLater(x.RequestID, f.node.NotServingReason())
	case f.replica.Job(x.JobID) != nil && f.replica.Job(x.JobID).Record.Final():
		f.outbox.Respond(x.RequestID, http.StatusOK, Status(f.replica.Job(x.JobID)))
	case len(f.pendingPolls) >= maxPendingPolls:
		f.outbox.RetryLater(x.RequestID, "too many requests")
	default:
		f.pendingPolls = append(f.pendingPolls, pendingPoll{x.RequestID, x.JobID, f.outbox.Now()})
	}
}

// Flush sends one check for the polls that wait, unless one is out.
func (f *Frontend) Flush() {
	if f.checkInFlight || len(f.pendingPolls) == 0 || f.outbox.Now() < f.nextCheckAt {
		return
	}
	most := wire.ConditionsPerChange * f.encoding.MaxOps()
	if len(f.pendingPolls) > most {
		if f.fastPollRequestedAt == 0 || f.outbox.Now()-f.fastPollRequestedAt > fastPollInterval {
			f.fastPollRequestedAt = f.outbox.Now()
			f.outbox.Emit(msg.PollWatchFast{})
		}
		if f.outbox.Now()-f.replica.CurrentAt() < watchFreshness {
			return // the watch will confirm all of them, with one request
		}
	}
	ids := map[string]uint64{}
	n := 0
	for ; n < len(f.pendingPolls) && len(ids) < most; n++ {
		id := f.pendingPolls[n].jobID
		ids[id] = 0
		if j := f.replica.Job(id); j != nil {
			ids[id] = j.Version
		}
	}
	f.checkedPolls = f.pendingPolls[:n:n]
	f.pendingPolls = append([]pendingPoll(nil), f.pendingPolls[n:]...)
	guards := make([]wire.Condition, 0, len(ids))
	for id, v := range ids {
		guards = append(guards, wire.Condition{Key: job.RecordKey(id), Version: v})
	}
	sort.Slice(guards, func(i, j int) bool { return guards[i].Key < guards[j].Key })
	f.checkInFlight, f.nextCheckAt = true, f.outbox.Now()+checkInterval
	f.outbox.Commit(wire.Transaction{Conditions: guards}, msg.PurposeReadCheck, func(d msg.CommitDone) {
		f.checkInFlight = false
		batch := f.checkedPolls
		f.checkedPolls = nil
		f.checkDone(batch, d)
	})
}

// WatchAdvanced answers the polls that came before the watch was last asked: the copy holds
// everything that happened before that. In a flood the watch answers all the time, while a
// check is a request to the state service for some 40 polls.
func (f *Frontend) WatchAdvanced() {
	left := f.pendingPolls[:0]
	for _, p := range f.pendingPolls {
		if p.since >= f.replica.CurrentAt() {
			left = append(left, p)
			continue
		}
		f.respondToPoll(p, f.replica.Job(p.jobID))
	}
	f.pendingPolls = left
}

func (f *Frontend) checkDone(batch []pendingPoll, d msg.CommitDone) {
	failed := map[string]bool{}
	for _, k := range d.Failed {
		failed[k] = true
	}
	for _, p := range batch {
		j := f.replica.Job(p.jobID)
		switch {
		case d.Outcome != msg.OK && d.Outcome != msg.Conflict:
			f.outbox.RetryLater(p.requestID, "state service not available")
		case j != nil && j.Record.Final():
			f.outbox.Respond(p.requestID, http.StatusOK, Status(j))
		case failed[job.RecordKey(p.jobID)]:
			f.readCurrent(p.requestID, p.jobID, func(j *records.Job) { f.respondToPoll(p, j) })
		case d.Outcome == msg.Conflict && len(failed) == 0:
			f.outbox.RetryLater(p.requestID, "try again")
		default:
			f.respondToPoll(p, j)
		}
	}
}

func (f *Frontend) respondToPoll(p pendingPoll, j *records.Job) {
	if j == nil || j.Version == 0 { // nothing is known of it but that others need it
		f.outbox.Respond(p.requestID, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	f.respondWithStatus(p.requestID, j)
}

// respondWithStatus answers with a job's state, which is known to be current. A job
// before which one is cancelled is cancelled in its own record first: then every
// node says the same from then on, whatever it knows of the others.
func (f *Frontend) respondWithStatus(req uint64, j *records.Job) {
	switch {
	case j.Record.Final():
		f.outbox.Respond(req, http.StatusOK, Status(j))
	case j.DependencyCancelled():
		f.requestCancel(req, j)
	case f.dependenciesUnknown(j):
		f.outbox.RetryLater(req, "not sure about the jobs that it needs")
	default:
		f.outbox.Respond(req, http.StatusOK, Status(j))
	}
}

// Cancel handles POST /v1/jobs/{id}/withdraw. The mark is committed first and
// stops all starting; the user hears "cancelled" once the leader has made sure
// that every worker concerned will be stopped.
func (f *Frontend) Cancel(x msg.CancelIn) {
	if !wire.ValidJobID(x.JobID) {
		f.outbox.Respond(x.RequestID, http.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	if why := f.node.NotServingReason(); why != "" {
		f.outbox.RetryLater(x.RequestID, why)
		return
	}
	if j := f.replica.Job(x.JobID); j != nil && j.Version != 0 {
		switch {
		case j.Record.Final():
			f.outbox.Respond(x.RequestID, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
			return
		case !j.Record.CancelRequested:
			f.requestCancel(x.RequestID, j)
			return
		}
	}
	f.readCurrent(x.RequestID, x.JobID, func(j *records.Job) {
		switch {
		case j == nil:
			f.outbox.Respond(x.RequestID, http.StatusNotFound, wire.Error{Error: "no such job"})
		case j.Record.Final():
			f.outbox.Respond(x.RequestID, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
		case j.Record.CancelRequested:
			f.waitForCancel(x.RequestID, j)
		default:
			f.requestCancel(x.RequestID, j)
		}
	})
}

// requestCancel has a job cancelled: at once, if it is sure that nothing of it is on any machine, or else by a
// mark that the leader acts upon.
func (f *Frontend) requestCancel(req uint64, j *records.Job) {
	if guards, sure := f.neverPlacedConditions(j); sure {
		f.cancelWithoutLeader(req, j, guards)
		return
	}
	f.waitForLeader(req, j)
}

// waitForLeader marks a job as to be cancelled.
func (f *Frontend) waitForLeader(req uint64, j *records.Job) {
	rec := j.Record.Clone()
	rec.CancelRequested = true
	f.writeCancel(req, j, &rec, []wire.Condition{{Key: job.RecordKey(j.ID), Version: j.Version}}, func() { f.outbox.RetryLater(req, "try again") })
}

// cancelWithoutLeader cancels a job without the leader. If the guards fail although nobody has cancelled it, a
// leader has been placing jobs meanwhile, and it is the leader's.
func (f *Frontend) cancelWithoutLeader(req uint64, j *records.Job, guards []wire.Condition) {
	// What it had on machines before is all over, by what this copy holds, and charged.
	rec := job.Record{Phase: job.Cancelled, DoneTasks: j.DoneTasks}
	if f.encoding.Format >= job.FormatPreemption {
		rec.Account = job.NewUsageAccount(j.Record.Spec, j.Record.Usage.Plus(j.PageUsage()), 0)
	}
	f.writeCancel(req, j, &rec, guards, func() { f.waitForLeader(req, j) })
}

// writeCancel commits a record that says that a job is cancelled, or is to be. If the guards fail
// although it is not, refused is called once the replica has the job as it is now.
func (f *Frontend) writeCancel(req uint64, j *records.Job, rec *job.Record, guards []wire.Condition, refused func()) {
	value, err := job.EncodeRecord(rec, f.encoding.Format)
	if err == nil && !f.encoding.Fits(value) && rec.Spec != nil {
		// Nothing of it starts again: what is only for placing may go.
		spec := *rec.Spec
		spec.Types, spec.Class, spec.Image, spec.Needs = nil, "", "", nil
		rec.Spec = &spec
		value, err = job.EncodeRecord(rec, f.encoding.Format)
	}
	if err != nil || !f.encoding.Fits(value) {
		f.outbox.Log("cancellation not recorded: record too large", "job", j.ID, "limit", f.encoding.MaxValueBytes())
		f.outbox.RetryLater(req, "try again")
		return
	}
	key := job.RecordKey(j.ID)
	f.outbox.Commit(wire.Transaction{
		Conditions: guards,
		Changes:    []wire.Change{{Put: key, Value: value}},
	}, msg.PurposeCancellation, func(d msg.CommitDone) {
		switch d.Outcome {
		case msg.OK:
			f.node.ApplyWritten(wire.Change{Put: key, Value: value, Version: d.Revision})
			f.waitForCancel(req, j)
		case msg.Conflict:
			f.readCurrent(req, j.ID, func(j *records.Job) {
				switch {
				case j != nil && (j.Record.CancelRequested || j.Record.Final()):
					f.waitForCancel(req, j)
				case j == nil || j.Record.Spec == nil:
					f.outbox.RetryLater(req, "try again")
				default:
					refused()
				}
			})
		case msg.Invalid:
			f.outbox.RetryLater(req, "try again")
		default:
			f.outbox.RetryLater(req, "state service not available")
		}
	})
}

// placementsQuietTime is how long pages of shared parts are to be unchanged for that guards on all of them are
// likely to hold: a transaction whose guards fail costs as much as one whose guards hold.
const placementsQuietTime = config.Second

// neverPlacedConditions returns guards that hold only if nothing of a job is on any machine: then no leader is
// needed to cancel it. From job.SharedParts on a place may be in a page, and no guard on the record tells
// of that. So either all pages are guarded, and the next one, which is the only one that could be begun; or
// the job waits for another that is not done: the record of that one says so, and nothing of this one starts before.
func (f *Frontend) neverPlacedConditions(j *records.Job) (guards []wire.Condition, sure bool) {
	rec := &j.Record
	if rec.LastAttempt > 0 && (j.OpenTasks > 0 || rec.Spec.Tasks > job.TasksPerShard || rec.ShardsOnly) {
		return nil, false
	}
	guards = []wire.Condition{{Key: job.RecordKey(j.ID), Version: j.Version}, f.encoding.Condition()}
	if f.encoding.Format < job.FormatPlacementPages || j.DependencyCancelled() {
		return guards, true
	}
	for _, id := range j.UnfinishedDependencies() {
		return append(guards, wire.Condition{Key: job.RecordKey(id), Version: f.replica.Job(id).Version}), true
	}
	pages := f.replica.PlacementPageConditions()
	if len(guards)+len(pages) > wire.ConditionsPerChange*f.encoding.MaxOps() || f.outbox.Now()-f.placementsChangedAt < placementsQuietTime {
		return nil, false
	}
	return append(guards, pages...), true
}

// notePlacementPages notes when pages of shared parts have changed.
func (f *Frontend) notePlacementPages() {
	if v := f.replica.PlacementPagesRevision(); v != f.placementsRevision {
		f.placementsRevision, f.placementsChangedAt = v, f.outbox.Now()
	}
}

// waitForCancel answers a cancellation once the job's phase is final, or with 503 when
// that takes more than a moment.
func (f *Frontend) waitForCancel(req uint64, j *records.Job) {
	if j.Record.Final() {
		f.outbox.Respond(req, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
		return
	}
	f.waitingCancels[j.ID] = append(f.waitingCancels[j.ID], waitingCancel{req, f.outbox.Now() + cancelDeadline})
}

// JobFinished answers who waits for a job to be over: its phase is final now.
func (f *Frontend) JobFinished(j *records.Job) {
	for _, w := range f.waitingCancels[j.ID] {
		f.outbox.Respond(w.requestID, http.StatusOK, wire.JobStatus{ID: j.ID, Status: Status(j).Status})
	}
	delete(f.waitingCancels, j.ID)
}

// Tick gives up on requests that have waited too long.
func (f *Frontend) Tick() {
	f.notePlacementPages()
	f.pendingPolls = f.withinCancelTime(f.pendingPolls)
	f.checkedPolls = f.withinCancelTime(f.checkedPolls) // the answer to a check may take longer than its users wait
	ids := slices.Sorted(maps.Keys(f.waitingCancels))
	for _, id := range ids {
		left := f.waitingCancels[id][:0]
		for _, w := range f.waitingCancels[id] {
			if f.outbox.Now() >= w.deadline {
				f.outbox.RetryLater(w.requestID, "tasks are being stopped")
				continue
			}
			left = append(left, w)
		}
		if f.waitingCancels[id] = left; len(left) == 0 {
			delete(f.waitingCancels, id)
		}
	}
}

// withinCancelTime refuses the polls whose users would not wait much longer, and returns the others.
func (f *Frontend) withinCancelTime(polls []pendingPoll) []pendingPoll {
	return slices.DeleteFunc(polls, func(p pendingPoll) bool {
		late := f.outbox.Now()-p.since > pollDeadline
		if late {
			f.outbox.RetryLater(p.requestID, "state service not available")
		}
		return late
	})
}

// dependenciesUnknown tells whether this node can't know well enough whether a job that waits
// for others is still to be called queued.
func (f *Frontend) dependenciesUnknown(j *records.Job) bool {
	return j.WaitsForDependencies() && f.outbox.Now()-f.replica.CurrentAt() > config.FromSeconds(f.cfg.Cluster.Workers.CancelS)/4
}

// checkDependencies hands over which of the ids were never accepted, as the state service
// confirms it now: this node's copy may lag, and users submit a job as soon as
// those that it needs are accepted, perhaps by another node.
func (f *Frontend) checkDependencies(ids []string, then func(missing string, o msg.Outcome)) {
	batch := f.replica.UnknownJobs(ids)
	if len(batch) == 0 {
		then("", msg.OK)
		return
	}
	batch = batch[:min(len(batch), wire.ConditionsPerChange*f.encoding.MaxOps())]
	t := wire.Transaction{}
	for _, id := range batch {
		t.Conditions = append(t.Conditions, wire.Condition{Key: job.RecordKey(id)})
	}
	f.outbox.Commit(t, msg.PurposeReadCheck, func(d msg.CommitDone) {
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
		f.checkDependencies(left, then)
	})
}
