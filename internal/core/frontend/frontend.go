// Package frontend serves the requests of users on every node. Final phases of jobs are answered from memory. All else
// is answered only after the state service has confirmed, since the request arrived, that this node's replica is
// current.
package frontend

import (
	"net/http"

	"coralhub/internal/config"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Texts of error responses to users.
const (
	reasonStoreUnavailable = "state service not available"
	reasonTryAgain         = "try again"
	reasonNoSuchJob        = "no such job"
)

// Node is the interface of a Frontend to the rest of its node.
type Node interface {
	// NotServingReason returns why the node does not serve requests, or an empty string if it does.
	NotServingReason() string
	// ApplyRead applies the value of a key that was read.
	ApplyRead(wire.Change)
	// ApplyWritten applies a change that this node has committed, and sends it to the leader ahead of the watch.
	ApplyWritten(wire.Change)
}

// Frontend serves the users of one node.
type Frontend struct {
	cfg      *config.Config
	teams    map[string]*config.Team
	outbox   *outbox.Outbox
	replica  *records.Replica
	encoding *records.Encoding
	catalog  *zone.Catalog
	node     Node

	polls          pollQueue
	waitingCancels waitingCancels
	pageChanges    pageChanges
}

// New returns the frontend of a node.
func New(
	cfg *config.Config, out *outbox.Outbox, replica *records.Replica, encoding *records.Encoding, catalog *zone.Catalog,
	node Node,
) *Frontend {
	f := &Frontend{
		cfg:            cfg,
		teams:          cfg.Cluster.TeamsByName(),
		outbox:         out,
		replica:        replica,
		encoding:       encoding,
		catalog:        catalog,
		node:           node,
		waitingCancels: waitingCancels{outbox: out, byJob: map[string][]waitingCancel{}},
	}
	f.polls = pollQueue{outbox: out, replica: replica, encoding: encoding, responder: f}
	return f
}

// Status returns a job's state in the form of a response to users.
func Status(j *records.Job) wire.JobStatus {
	s := wire.JobStatus{ID: j.ID}
	done, running := j.Record.DoneTasks, 0
	switch j.Record.Phase {
	case job.Done:
		s.Status = wire.Done
		if j.Record.Spec != nil {
			done = j.Record.Spec.Tasks
		}
	case job.Cancelled:
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

// Tick tracks changes of the placement pages and refuses requests that have waited too long. It is called periodically.
func (f *Frontend) Tick() {
	f.pageChanges.observe(f.outbox.Now(), f.replica.PlacementPagesRevision())
	f.polls.refuseLate()
	f.waitingCancels.refuseLate()
}

// SendReadCheck sends a check of the replica for the waiting polls if one is due. It is called at the end of each step.
func (f *Frontend) SendReadCheck() { f.polls.check() }

// WatchAdvanced answers the polls for which the replica is current now that the watch has responded.
func (f *Frontend) WatchAdvanced() { f.polls.watchAdvanced() }

// Poll handles GET /v1/jobs/{id}.
func (f *Frontend) Poll(x msg.PollIn) {
	if !f.canAnswer(x.RequestID, x.JobID) {
		return
	}
	if j := f.replica.Job(x.JobID); j != nil && j.Record.Final() {
		f.outbox.Respond(x.RequestID, http.StatusOK, Status(j))
		return
	}
	if !f.polls.add(x.RequestID, x.JobID) {
		f.outbox.RetryLater(x.RequestID, "too many requests")
	}
}

func (f *Frontend) respondToPoll(p pendingPoll, j *records.Job) {
	if j == nil || j.Version == 0 { // without a version, it is only known as a dependency of a job
		f.outbox.Respond(p.requestID, http.StatusNotFound, wire.Error{Error: reasonNoSuchJob})
		return
	}
	f.respondWithStatus(p.requestID, j)
}

// canAnswer reports whether requests about a job can be answered. If not, because the job ID is invalid or the node
// does not serve requests, it responds to the request itself.
func (f *Frontend) canAnswer(requestID uint64, jobID string) bool {
	if !wire.ValidJobID(jobID) {
		f.outbox.Respond(requestID, http.StatusNotFound, wire.Error{Error: reasonNoSuchJob})
		return false
	}
	if reason := f.node.NotServingReason(); reason != "" {
		f.outbox.RetryLater(requestID, reason)
		return false
	}
	return true
}

// readCurrent reads a job's record and calls then with the job, or with nil if there is none. If the read fails, it
// responds with 503 instead.
func (f *Frontend) readCurrent(requestID uint64, id string, then func(*records.Job)) {
	f.outbox.Read(job.RecordKey(id), func(d msg.ReadDone) {
		if d.Outcome != msg.OK {
			f.outbox.RetryLater(requestID, reasonStoreUnavailable)
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

// respondWithStatus responds with a job's state, which must be known to be current. A job with a cancelled dependency
// is first cancelled in its own record, so that every node reports the same state from then on, whatever its replica
// holds of the dependencies.
func (f *Frontend) respondWithStatus(requestID uint64, j *records.Job) {
	switch {
	case j.Record.Final():
		f.outbox.Respond(requestID, http.StatusOK, Status(j))
	case j.DependencyCancelled():
		f.requestCancel(requestID, j)
	case f.dependenciesOutdated(j):
		f.outbox.RetryLater(requestID, "not sure about the jobs that it needs")
	default:
		f.outbox.Respond(requestID, http.StatusOK, Status(j))
	}
}

// dependenciesOutdated reports whether a job waits for dependencies and the replica is too old to report it as queued.
func (f *Frontend) dependenciesOutdated(j *records.Job) bool {
	age := f.outbox.Now() - f.replica.CurrentAt()
	return j.WaitsForDependencies() && age > config.FromSeconds(f.cfg.Cluster.Workers.CancelS)/4
}
