package frontend

import (
	"cmp"
	"net/http"
	"slices"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
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

// pollResponder answers polls, as the Frontend does.
type pollResponder interface {
	// respondToPoll responds with a job's state, which is known to be current; the job is nil if there is none.
	respondToPoll(p pendingPoll, j *records.Job)
	// readCurrent reads a job's record and calls then with the job, nil if there is none.
	readCurrent(requestID uint64, id string, then func(*records.Job))
}

// pollQueue holds the polls that wait until the replica is known to be current, and checks that it is. Polls that
// arrive together share one check.
type pollQueue struct {
	outbox    *outbox.Outbox
	replica   *records.Replica
	encoding  *records.Encoding
	responder pollResponder

	pending             []pendingPoll
	checked             []pendingPoll // those that the check in flight is for
	checkInFlight       bool
	nextCheckAt         Micros
	fastPollRequestedAt Micros // when the watch was last asked to poll fast
}

// add queues a poll. It returns false if too many are pending.
func (q *pollQueue) add(requestID uint64, jobID string) bool {
	if len(q.pending) >= maxPendingPolls {
		return false
	}
	q.pending = append(q.pending, pendingPoll{requestID, jobID, q.outbox.Now()})
	return true
}

// check sends one check for the pending polls, unless one is in flight. A check is a transaction without changes
// whose conditions are the versions of the jobs in the replica.
func (q *pollQueue) check() {
	if q.checkInFlight || len(q.pending) == 0 || q.outbox.Now() < q.nextCheckAt {
		return
	}
	maxConditions := wire.ConditionsPerChange * q.encoding.MaxOps()
	if len(q.pending) > maxConditions && q.watchWillAnswer() {
		return
	}
	conditions := q.takeBatch(maxConditions)
	q.checkInFlight, q.nextCheckAt = true, q.outbox.Now()+checkInterval
	q.outbox.Commit(wire.Transaction{Conditions: conditions}, msg.PurposeReadCheck, func(d msg.CommitDone) {
		q.checkInFlight = false
		batch := q.checked
		q.checked = nil
		q.checkDone(batch, d)
	})
}

// watchWillAnswer asks the watch to poll fast, and reports whether its next response will come soon: that confirms all
// pending polls with one request.
func (q *pollQueue) watchWillAnswer() bool {
	if q.fastPollRequestedAt == 0 || q.outbox.Now()-q.fastPollRequestedAt > fastPollInterval {
		q.fastPollRequestedAt = q.outbox.Now()
		q.outbox.Emit(msg.PollWatchFast{})
	}
	return q.outbox.Now()-q.replica.CurrentAt() < watchFreshness
}

// takeBatch moves as many pending polls as one check has conditions for to checked, and returns the conditions.
func (q *pollQueue) takeBatch(maxConditions int) []wire.Condition {
	versions := map[string]uint64{} // by job
	n := 0
	for ; n < len(q.pending) && len(versions) < maxConditions; n++ {
		id := q.pending[n].jobID
		versions[id] = 0
		if j := q.replica.Job(id); j != nil {
			versions[id] = j.Version
		}
	}
	q.checked = q.pending[:n:n]
	q.pending = slices.Clone(q.pending[n:])
	conditions := make([]wire.Condition, 0, len(versions))
	for id, version := range versions {
		conditions = append(conditions, wire.Condition{Key: job.RecordKey(id), Version: version})
	}
	slices.SortFunc(conditions, func(a, b wire.Condition) int { return cmp.Compare(a.Key, b.Key) })
	return conditions
}

// watchAdvanced answers the polls that came before the watch was last asked: the replica holds everything that happened
// before that. Under a flood of polls the watch responds all the time, while a check is a request to the state service
// for some 40 polls.
func (q *pollQueue) watchAdvanced() {
	left := q.pending[:0]
	for _, p := range q.pending {
		if p.since >= q.replica.CurrentAt() {
			left = append(left, p)
			continue
		}
		q.responder.respondToPoll(p, q.replica.Job(p.jobID))
	}
	q.pending = left
}

func (q *pollQueue) checkDone(batch []pendingPoll, d msg.CommitDone) {
	failed := map[string]bool{}
	for _, key := range d.Failed {
		failed[key] = true
	}
	for _, p := range batch {
		j := q.replica.Job(p.jobID)
		switch {
		case d.Outcome != msg.OK && d.Outcome != msg.Conflict:
			q.outbox.RetryLater(p.requestID, reasonStoreUnavailable)
		case j != nil && j.Record.Final():
			q.outbox.Respond(p.requestID, http.StatusOK, Status(j))
		case failed[job.RecordKey(p.jobID)]:
			q.responder.readCurrent(p.requestID, p.jobID, func(j *records.Job) { q.responder.respondToPoll(p, j) })
		case d.Outcome == msg.Conflict && len(failed) == 0:
			q.outbox.RetryLater(p.requestID, reasonTryAgain)
		default:
			q.responder.respondToPoll(p, j)
		}
	}
}

// refuseLate refuses the polls whose users will not wait much longer: the answer to a check may take that long, too.
func (q *pollQueue) refuseLate() {
	q.pending = slices.DeleteFunc(q.pending, q.refuseIfLate)
	q.checked = slices.DeleteFunc(q.checked, q.refuseIfLate)
}

// refuseIfLate refuses a poll if its user will not wait much longer, and reports whether it did.
func (q *pollQueue) refuseIfLate(p pendingPoll) bool {
	late := q.outbox.Now()-p.since > pollDeadline
	if late {
		q.outbox.RetryLater(p.requestID, reasonStoreUnavailable)
	}
	return late
}
