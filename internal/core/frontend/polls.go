package frontend

import (
	"cmp"
	"net/http"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/records"
	"coralhub/wire"
)

const (
	// pollDeadline is when a poll is given up, a little before its user does.
	pollDeadline = 1500 * config.Second / 1000
	// checkInterval is the least time between two checks, so that polls share them: the state service's quota of
	// requests is for all nodes and purposes.
	checkInterval = 150 * config.Second / 1000
	// watchFreshness is how recently the watch must have been asked for many polls to wait for its next response.
	watchFreshness = 500 * config.Second / 1000
	// fastPollInterval is how often the watch is asked to poll fast while many polls wait.
	fastPollInterval = config.Second
	// maxPendingPolls bounds the polls that wait for a check; more are refused at once.
	maxPendingPolls = 2000
)

// pendingPoll is a poll that waits until the replica is known to be current.
type pendingPoll struct {
	requestID uint64
	jobID     string
	since     Micros
}

// Poll handles GET /v1/jobs/{id}.
func (f *Frontend) Poll(x msg.PollIn) {
	if !f.canAnswer(x.RequestID, x.JobID) {
		return
	}
	if j := f.replica.Job(x.JobID); j != nil && j.Record.Final() {
		f.outbox.Respond(x.RequestID, http.StatusOK, Status(j))
		return
	}
	if len(f.pendingPolls) >= maxPendingPolls {
		f.outbox.RetryLater(x.RequestID, "too many requests")
		return
	}
	f.pendingPolls = append(f.pendingPolls, pendingPoll{x.RequestID, x.JobID, f.outbox.Now()})
}

// Flush sends one check for the polls that wait, unless one is in flight. A check is a transaction without changes
// whose conditions are the versions of the jobs in the replica.
func (f *Frontend) Flush() {
	if f.checkInFlight || len(f.pendingPolls) == 0 || f.outbox.Now() < f.nextCheckAt {
		return
	}
	maxConditions := wire.ConditionsPerChange * f.encoding.MaxOps()
	if len(f.pendingPolls) > maxConditions && f.watchWillAnswer() {
		return
	}
	conditions := f.takeBatch(maxConditions)
	f.checkInFlight, f.nextCheckAt = true, f.outbox.Now()+checkInterval
	f.outbox.Commit(wire.Transaction{Conditions: conditions}, msg.PurposeReadCheck, func(d msg.CommitDone) {
		f.checkInFlight = false
		batch := f.checkedPolls
		f.checkedPolls = nil
		f.checkDone(batch, d)
	})
}

// watchWillAnswer asks the watch to poll fast, and reports whether its next response will come soon: that confirms all
// pending polls with one request.
func (f *Frontend) watchWillAnswer() bool {
	if f.fastPollRequestedAt == 0 || f.outbox.Now()-f.fastPollRequestedAt > fastPollInterval {
		f.fastPollRequestedAt = f.outbox.Now()
		f.outbox.Emit(msg.PollWatchFast{})
	}
	return f.outbox.Now()-f.replica.CurrentAt() < watchFreshness
}

// takeBatch moves as many pending polls as one check has conditions for to checkedPolls, and returns the conditions.
func (f *Frontend) takeBatch(maxConditions int) []wire.Condition {
	versions := map[string]uint64{} // by job
	n := 0
	for ; n < len(f.pendingPolls) && len(versions) < maxConditions; n++ {
		id := f.pendingPolls[n].jobID
		versions[id] = 0
		if j := f.replica.Job(id); j != nil {
			versions[id] = j.Version
		}
	}
	f.checkedPolls = f.pendingPolls[:n:n]
	f.pendingPolls = slices.Clone(f.pendingPolls[n:])
	conditions := make([]wire.Condition, 0, len(versions))
	for id, version := range versions {
		conditions = append(conditions, wire.Condition{Key: job.RecordKey(id), Version: version})
	}
	slices.SortFunc(conditions, func(a, b wire.Condition) int { return cmp.Compare(a.Key, b.Key) })
	return conditions
}

// WatchAdvanced answers the polls that came before the watch was last asked: the replica holds everything that happened
// before that. Under a flood of polls the watch responds all the time, while a check is a request to the state service
// for some 40 polls.
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
	for _, key := range d.Failed {
		failed[key] = true
	}
	for _, p := range batch {
		j := f.replica.Job(p.jobID)
		switch {
		case d.Outcome != msg.OK && d.Outcome != msg.Conflict:
			f.outbox.RetryLater(p.requestID, reasonStoreUnavailable)
		case j != nil && j.Record.Final():
			f.outbox.Respond(p.requestID, http.StatusOK, Status(j))
		case failed[job.RecordKey(p.jobID)]:
			f.readCurrent(p.requestID, p.jobID, func(j *records.Job) { f.respondToPoll(p, j) })
		case d.Outcome == msg.Conflict && len(failed) == 0:
			f.outbox.RetryLater(p.requestID, reasonTryAgain)
		default:
			f.respondToPoll(p, j)
		}
	}
}

func (f *Frontend) respondToPoll(p pendingPoll, j *records.Job) {
	if j == nil || j.Version == 0 { // without a version, it is only known as a dependency
		f.outbox.Respond(p.requestID, http.StatusNotFound, wire.Error{Error: reasonNoSuchJob})
		return
	}
	f.respondWithStatus(p.requestID, j)
}

// dropLatePolls refuses the polls whose users will not wait much longer, and returns the others.
func (f *Frontend) dropLatePolls(polls []pendingPoll) []pendingPoll {
	return slices.DeleteFunc(polls, func(p pendingPoll) bool {
		late := f.outbox.Now()-p.since > pollDeadline
		if late {
			f.outbox.RetryLater(p.requestID, reasonStoreUnavailable)
		}
		return late
	})
}
