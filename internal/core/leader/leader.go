// Package leader ranks the queue, holds the auction, has the records written and draws the
// conclusions from what workers say. The records are the truth: a start leaves only after its
// placement is committed, and a placement is closed only on proof.
package leader

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/reconciler"
	"coralhub/internal/core/records"
	"coralhub/internal/core/relay"
	"coralhub/internal/core/slo"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = config.Micros

// Leader is what a node does while it leads, and what it knows for the case that it will.
type Leader struct {
	cfg        *config.Config
	outbox     *outbox.Outbox
	replica    *records.Replica
	encoding   *records.Encoding
	catalog    *zone.Catalog
	elector    *election.Elector      // to lead
	reconciler *reconciler.Reconciler // of every zone
	autoscaler *autoscaler.Autoscaler

	// The time of day less the steady clock's, for the age of jobs that this node has not
	// seen coming. It decides about ranks alone.
	wallClockOffset Micros

	jobs       map[string]*Job // those of the replica, with what a leader adds to them
	unfinished []*Job          // jobs that have anything left, oldest first: passes must not cost more with every finished job
	teams      map[string]*config.Team

	ready     bool // leading, and the records have been read since the claim
	electedAt Micros
	failovers uint64
	term      uint64 // counts the times that this node began anew

	completionLog      completionLog
	placements         placementCommits
	estimates          runTimeEstimates
	snapshot           clusterSnapshot
	usage              *queue.Usage
	weights            map[string]float64 // of teams
	cycleDue           bool
	nextCycleAt        Micros // when one is due though nothing happens; 0: never
	lastCycleAt        Micros
	machinePages       [machineCachePageCount]cachePage
	nextCachePage      int
	nextCacheWriteAt   Micros
	pendingCommits     map[string]bool // jobs with facts to commit
	deferredCommits    map[string]bool // those that can't be committed before the next tick
	inFlightChanges    int             // changes to jobs on their way
	counters           counters
	defragmentation    defragState
	slo                sloTracker
	startOrder         startOrder
	preemptions        preemptionDecisions
	ledger             accounting.Ledger
	usageLoggedAt      Micros
	delegates          map[string]delegate // by node
	acknowledgedCancel uint64              // the last version of a record by which a cancellation was told
}

// New returns the leader that a node may become. Who owns zones and rents machines
// hears from it and tells it, see Use.
func New(cfg *config.Config, box *outbox.Outbox, form *records.Encoding, catalog *zone.Catalog, claim *election.Elector) *Leader {
	return &Leader{cfg: cfg, outbox: box, encoding: form, catalog: catalog, elector: claim, jobs: map[string]*Job{}, teams: cfg.Cluster.TeamsByName(),
		weights: queue.Weights(cfg.Cluster.Teams), slo: sloTracker{tracker: slo.New(config.FromSeconds(cfg.Settings.StartWithinS))}}
}

// Attach gives the leader the rooms that it commands and goes by.
func (l *Leader) Attach(replica *records.Replica, owner *reconciler.Reconciler, keeper *autoscaler.Autoscaler) {
	l.replica, l.reconciler, l.autoscaler = replica, owner, keeper
	l.reset()
}

// Ready tells whether this node leads and has read the records since its claim.
func (l *Leader) Ready() bool { return l.ready }

// SetWallClock tells the time of day.
func (l *Leader) SetWallClock(wall Micros) {
	known := l.wallClockOffset != 0
	l.wallClockOffset = wall - l.outbox.Now()
	if !known { // what was read before has its age now
		for _, j := range l.unfinished {
			l.setArrival(j)
		}
	}
	if l.slo.since == 0 && l.replica.Revision() > 0 {
		l.slo.since = wall // what comes from now on is known from its beginning
	}
}

// OnElected begins a reign. Nothing is commanded before the records have been read
// after the claim: only then are all placements of predecessors known.
func (l *Leader) OnElected() {
	l.reset()
	l.electedAt = l.outbox.Now()
	l.failovers++
	l.outbox.Log("leading", "token", l.elector.FencingToken(), "times", l.failovers)
	l.outbox.Emit(msg.Relist{})
}

// OnDeposed ends a reign. The leader forgets what it needs no more; a later
// reign starts from the records.
func (l *Leader) OnDeposed(why string, token uint64) {
	l.outbox.Log("no longer leading", "why", why, "token", token)
	l.reset()
	l.outbox.Emit(msg.Relist{})
}

// RequestCycle has a pass come soon.
func (l *Leader) RequestCycle() { l.cycleDue = true }

// CatalogChanged has everything looked at again by the new machine types.
func (l *Leader) CatalogChanged() {
	l.snapshot.rebuildDue = true
	for _, j := range l.unfinished {
		j.types = machineTypes{}
	}
	l.cycleDue = true
}

// Apply takes a change of a key that only leaders read, or of the records.
func (l *Leader) Apply(key string, ev *wire.Change) {
	if name, ok := strings.CutPrefix(key, machineCachePrefix); ok {
		l.applyCachePage(name, ev)
		return
	}
	if num, ok := strings.CutPrefix(key, estimatesPrefix); ok {
		l.applyStoredEstimates(num, ev)
		return
	}
	if strings.HasPrefix(key, preemption.KeyPrefix) {
		l.applyDecisions(ev)
		return
	}
	if strings.HasPrefix(key, relay.KeyPrefix) {
		l.applyRelayedHeartbeats(ev)
		return
	}
	l.applyRecord(ev)
}

// applyRecord takes a change of a job's record or of the log.
func (l *Leader) applyRecord(ev *wire.Change) {
	if _, err := l.replica.Apply(ev); err != nil {
		l.outbox.Log("unreadable", "error", err.Error())
	}
}

// Tick does what the leader does by time alone.
func (l *Leader) Tick() {
	l.retryDeferredCommits()
	l.resendPlacements()
	l.writeMachineCache()
	l.deleteMergedPages()
	l.count()
	l.logAttainment()
	l.logUsage()
	l.writeEstimates()
	l.reconciler.AnnounceToken()
	l.reconciler.ProbeSilent()
	l.reconciler.ProbeUnreachable()
	l.elector.ReplaceTokenIfRequested()
	l.autoscaler.Tick()
	if l.outbox.Now()-l.lastCycleAt >= config.FromSeconds(l.cfg.Settings.ScanPeriodS) || l.nextCycleAt != 0 && l.outbox.Now() >= l.nextCycleAt {
		l.cycleDue = true
	}
}

// AfterStep does what follows from a step: it writes, passes and commands.
func (l *Leader) AfterStep() {
	l.commitPendingJobs()
	l.writeCompletionLog()
	if l.cycleDue && l.outbox.Now()-l.lastCycleAt >= l.cycleInterval() {
		l.runCycle()
		l.commitPendingJobs()
	}
	l.writePlacements()
	l.writeDecisions()
	l.refreshMachines()
	l.reconciler.SendUrgent()
}

// OnRecordsRead completes a takeover: all records as of a revision have been read.
func (l *Leader) OnRecordsRead(revision uint64) {
	if !l.elector.IsLeader() || l.ready || revision < l.elector.FencingToken() {
		return
	}
	l.ready = true
	open := 0
	ids := slices.Sorted(maps.Keys(l.jobs))
	for _, id := range ids {
		j := l.jobs[id]
		j.completions, j.plan, j.transaction = nil, nil, nil
		var all []job.Placement
		j.EachPlacement(func(p job.Placement) { all = append(all, p) })
		l.updatePlacements(j, nil, all)
		open += j.OpenTasks
		if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang && j.OpenTasks > 0 && j.OpenTasks < j.Record.Spec.Tasks {
			// Where the missing tasks were is not known any more, and an attempt
			// must not come to the same machine twice: the gang starts anew.
			j.failedGangAttempt = max(j.failedGangAttempt, j.Record.LastAttempt)
		}
		if !j.Archived() || len(j.Shards) > 0 {
			l.pendingCommits[id] = true
		}
	}
	l.autoscaler.Activate()
	l.reconciler.Activate()
	for _, m := range l.reconciler.Registry().All() {
		l.watchMachine(m)
	}
	l.restoreEstimates()
	l.restoreUsage(ids)
	l.cycleDue = true
	l.outbox.Log("records read", "open_placements", open, "machines", l.reconciler.Registry().Len(), "after_ms", (l.outbox.Now()-l.electedAt)/1000)
}

func (l *Leader) reset() {
	for _, j := range l.jobs {
		j.completions, j.plan, j.transaction, j.reservedMachines, j.mergeRequested, j.movedAt, j.ownRecordOnly = nil, nil, nil, nil, false, nil, false
		j.cachedJobState, j.runHistory, j.equivalenceClass, j.reservingSince, j.queuedBehind, j.classStats = cachedJobState{}, runHistory{}, 0, 0, false, nil
	}
	l.ready = false
	looked := l.snapshot.statistics
	l.snapshot = newSnapshot(l.cfg.Cluster.Zones)
	l.snapshot.statistics = looked
	l.reconciler.Reset()
	l.autoscaler.Reset()
	l.term++
	l.delegates, l.acknowledgedCancel = map[string]delegate{}, 0
	l.inFlightChanges, l.defragmentation, l.startOrder = 0, defragState{}, startOrder{byClass: map[string]*classStats{}, claimedGuarantee: map[string]queue.Amount{}}
	l.placements = newPlacementCommits()
	l.completionLog = completionLog{nextWriteAt: l.completionLog.nextWriteAt, deletingPages: map[uint64]bool{}}
	l.resetPreemptions()
	l.pendingCommits, l.deferredCommits = map[string]bool{}, map[string]bool{}
	l.usage = queue.NewUsage(config.FromSeconds(l.cfg.Settings.UsageWindowS))
	l.estimates = runTimeEstimates{stored: l.estimates.stored}
}

// Job is a job as this node knows it.
type Job struct {
	*records.Job

	// For the leader: what has been learnt or decided and is to be committed.
	unfinished bool
	orderedBy  Micros // as it stands in the order of active jobs
	cachedJobState
	runHistory
	types            machineTypes
	equivalenceClass int    // the number of its likeness; 0: not reckoned yet
	classifiedAs     string // for this priority
	completions      []completion
	mergeRequested   bool              // to be written so that a page of the log can go
	leftMachines     map[string]uint64 // machines that an attempt of a gang has left
	plan             []job.Placement
	transaction      *jobTransaction
	retryAt          Micros

	reservingSince Micros      // since when machines are kept for it as they become free
	queuedBehind   bool        // in the line for its team's guarantee, whatever its age
	startCounted   bool        // among those that have begun
	classStats     *classStats // of its class; nil: not looked up yet

	account accounting.Key    // whose use it is
	charged job.ResourceUsage // what it counts for there

	tracked *slo.Job // how it counts among what is served; nil: it doesn't, or not any more

	arrivedAt         Micros // when this node first saw the job
	startedAt         map[int]Micros
	failedGangAttempt uint64 // gang attempts up to this one can't be completed
	ranGangAttempt    uint64 // highest gang attempt that ran
	failures          int
	failedOn          map[string]Micros
	holdUntil         Micros
	movedAt           map[int]Micros  // replicas that were moved lately
	preemptingUntil   Micros          // victims are leaving until then
	reservedMachines  map[string]bool // machines that they leave
	cancelling        bool
	tooLarge          bool // its record was once found too large to be written
	movingToShards    bool // its tasks are to be moved out of its record
	ownRecordOnly     bool // its places go into its record: one transaction on pages has no room for all of it
}

// completion is a placement with proof that it is over.
type completion struct {
	key       job.AttemptKey
	machine   string
	done      bool
	occupancy job.Occupancy
	logged    bool // on its way into the log of ended attempts
}

// setUnfinished puts a job into the list of active ones or takes it out.
func (l *Leader) setUnfinished(j *Job, active bool) {
	if active == j.unfinished {
		return
	}
	if active {
		j.orderedBy = j.Record.CreatedAt
	}
	i, _ := slices.BinarySearchFunc(l.unfinished, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.orderedBy, b.orderedBy), cmp.Compare(a.ID, b.ID))
	})
	if j.unfinished = active; active {
		l.unfinished = slices.Insert(l.unfinished, i, j)
	} else {
		l.unfinished = slices.Delete(l.unfinished, i, i+1)
	}
}

// dropOutdatedPlan drops a plan that was made for an older record. A transaction
// that had no answer may have placed the same tasks after all: placed once more
// they would run twice. What is in flight keeps its plan, for its places count.
func (l *Leader) dropOutdatedPlan(j *Job) {
	if j.transaction == nil {
		l.setPlan(j, nil)
	}
}

// updatePlacements has the machines looked at on which something was placed or closed.
func (l *Leader) updatePlacements(j *Job, old, now []job.Placement) {
	for _, p := range old {
		if !slices.Contains(now, p) {
			delete(j.startedAt, p.Task)
			delete(j.ownAttempts, p.Task)
		}
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.markMachineStale(m)
		}
	}
	for _, p := range now {
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.markMachineStale(m)
		}
	}
	if !l.ready {
		return
	}
	had := make(map[job.AttemptKey]bool, len(old))
	for _, p := range old {
		had[p.AttemptKey(j.ID)] = true
	}
	for _, p := range now {
		if had[p.AttemptKey(j.ID)] {
			continue
		}
		if m := l.reconciler.Registry().Get(p.Machine); m != nil {
			l.reconciler.MarkUrgent(m)
		} else if l.autoscaler.IsDeleted(p.Machine) {
			// Deleted while the transaction was under way: nobody else would
			// ever close the placement.
			l.closePlacement(p.AttemptKey(j.ID), p.Machine, false)
		}
	}
}

// markForReview has a pass and the writing of records look at a job.
func (l *Leader) markForReview(j *Job) {
	l.cycleDue = true
	if l.ready {
		l.pendingCommits[j.ID] = true
	}
}

// What follows hears of the records.

// JobAdded hears of a job that nothing was known of.
func (l *Leader) JobAdded(r *records.Job) { l.jobs[r.ID] = &Job{Job: r, arrivedAt: l.outbox.Now()} }

// PlacementsChanged hears what is open of one part of a job.
func (l *Leader) PlacementsChanged(r *records.Job, old, now []job.Placement) {
	l.updatePlacements(l.jobs[r.ID], old, now)
}

// PlanOutdated hears that plans for a job are out of date.
func (l *Leader) PlanOutdated(r *records.Job) { l.dropOutdatedPlan(l.jobs[r.ID]) }

// RecordChanged hears of a newer record of a job.
func (l *Leader) RecordChanged(r *records.Job) {
	j := l.jobs[r.ID]
	l.setUnfinished(j, r.Record.Spec != nil)
	l.setArrival(j)
}

// setArrival takes the age of a job from its record.
func (l *Leader) setArrival(j *Job) {
	if j.Record.CreatedAt > 0 && l.wallClockOffset > 0 && !j.HasDependencies() {
		j.arrivedAt = min(l.outbox.Now(), j.Record.CreatedAt-l.wallClockOffset)
	}
}

// JobFinished hears that a job's phase is final.
func (l *Leader) JobFinished(r *records.Job) {
	if r.Record.Spec == nil {
		j := l.jobs[r.ID]
		j.startedAt, j.failedOn, j.completions, j.reservedMachines = nil, nil, nil, nil
		j.runHistory = runHistory{}
		l.reconciler.JobTerminated(r.ID)
		l.setPlan(j, nil) // what is on its way fails by the record's version: its places are free
	}
}

// JobChanged hears that something about a job has changed.
func (l *Leader) JobChanged(r *records.Job) {
	j := l.jobs[r.ID]
	l.noteStarted(j)
	l.chargeUsage(j)
	l.trackJob(j)
	l.markJobStale(j)
	l.markForReview(j)
}

// DependenciesMet hears that a job waits for no other any more.
func (l *Leader) DependenciesMet(r *records.Job) {
	j := l.jobs[r.ID]
	j.arrivedAt = l.outbox.Now() // its times count from now on
	l.markJobStale(j)
	l.cycleDue = true
}

// DependencyCancelled hears that a job is as good as cancelled.
func (l *Leader) DependencyCancelled(r *records.Job) {
	l.markJobStale(l.jobs[r.ID])
	if l.ready {
		l.pendingCommits[r.ID] = true
	}
}

// EventHandler returns what the reconciler and the autoscaler report their events to.
func (l *Leader) EventHandler() EventHandler { return l.newEventHandler() }

// HeartbeatBatchIn takes the heartbeats that a relay has acknowledged for this leader.
func (l *Leader) HeartbeatBatchIn(x msg.HeartbeatBatchIn) { l.onHeartbeatBatch(x) }

// AnswerQuery answers an operator's query.
func (l *Leader) AnswerQuery(x msg.AdminIn) { l.answerQuery(x) }

// CycleStatistics counts what scheduling cycles of this process have examined.
func (l *Leader) CycleStatistics() CycleStatistics { return l.cycleStatistics() }

// UsageLedger returns the resource usage by team and class that the records account for.
func (l *Leader) UsageLedger() *accounting.Ledger { return l.usageLedger() }

// Audit compares the scheduler's snapshot with the records and returns the first difference. It is
// for tests.
func (l *Leader) Audit() error { return l.audit() }
