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
	// pollDeadline is how long a poll may wait, slightly less than its user waits.
	pollDeadline = 1500 * config.Second / 1000
	// checkInterval is the minimum time between two checks, so that polls share them: all nodes and purposes share the
	// state service's quota of requests.
	checkInterval = 150 * config.Second / 1000
	// watchFreshness is how recent the watch's last request must be for many polls to wait for its next response.
	watchFreshness = 500 * config.Second / 1000
	// fastPollInterval is the time between requests to the watch to poll fast, while many polls wait.
	fastPollInterval = config.Second
	// maxPendingPolls is the maximum number of polls that wait for a check; further ones are refused immediately.
	maxPendingPolls = 2000
)

// pendingPoll is a poll that waits until the replica is known to be current.
type pendingPoll struct {
	requestID uint64
	jobID     string
	arrivedAt Micros
}

// pollResponder answers polls, as the Frontend does.
type pollResponder interface {
	// respondToPoll responds with a job's state, which must be known to be current. The job is nil if there is none.
	respondToPoll(p pendingPoll, j *records.Job)
	// readCurrent reads a job's record and calls then with the job, or with nil if there is none.
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
	checked             []pendingPoll // polls that the check in flight is for
	checkInFlight       bool
	nextCheckAt         Micros
	fastPollRequestedAt Micros // when the watch was last requested to poll fast
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
	maxConditions := wire.MaxConditionsPerChange * q.encoding.MaxOps()
	if len(q.pending) > maxConditions && q.requestFastWatch() {
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

// requestFastWatch requests the watch to poll fast, and reports whether its next response is expected soon. That
// response confirms all pending polls with one request.
func (q *pollQueue) requestFastWatch() bool {
	if q.fastPollRequestedAt == 0 || q.outbox.Now()-q.fastPollRequestedAt > fastPollInterval {
		q.fastPollRequestedAt = q.outbox.Now()
		q.outbox.Emit(msg.PollWatchFast{})
	}
	return q.outbox.Now()-q.replica.CurrentAt() < watchFreshness
}

// takeBatch moves pending polls to checked, as many as one check has conditions for, and returns the conditions.
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

// watchAdvanced answers the polls that arrived before the watch's last request: the replica holds everything that was
// committed before it. Under a flood of polls the watch responds continually, whereas each check costs a request to the
// state service for some 40 polls.
func (q *pollQueue) watchAdvanced() {
	remaining := q.pending[:0]
	for _, p := range q.pending {
		if p.arrivedAt >= q.replica.CurrentAt() {
			remaining = append(remaining, p)
			continue
		}
		q.responder.respondToPoll(p, q.replica.Job(p.jobID))
	}
	q.pending = remaining
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

// refuseLate refuses the polls that have waited longer than pollDeadline. That includes polls whose check is in flight,
// since its result may arrive only after the user has given up.
func (q *pollQueue) refuseLate() {
	q.pending = slices.DeleteFunc(q.pending, q.refuseIfLate)
	q.checked = slices.DeleteFunc(q.checked, q.refuseIfLate)
}

// refuseIfLate refuses a poll that has waited longer than pollDeadline, and reports whether it did.
func (q *pollQueue) refuseIfLate(p pendingPoll) bool {
	late := q.outbox.Now()-p.arrivedAt > pollDeadline
	if late {
		q.outbox.RetryLater(p.requestID, reasonStoreUnavailable)
	}
	return late
}
