// Package leader is the part of a node that schedules while the node is the elected leader: it orders the
// queue, places and preempts jobs in scheduling cycles, commits its decisions to the records in the
// key-value store, and draws the conclusions from what workers report. The records are the truth: a task is started
// only after its placement is committed, and a placement is closed only on proof that the task has ended.
//
// The components of the package run in the node's single event loop and are not safe for concurrent use.
package leader

import (
	"maps"
	"slices"
	"strings"

	"coralhub/internal/config"
	"coralhub/internal/core/accounting"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/completionlog"
	"coralhub/internal/core/delegation"
	"coralhub/internal/core/election"
	"coralhub/internal/core/job"
	"coralhub/internal/core/machinecache"
	"coralhub/internal/core/modelstore"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/preemption"
	"coralhub/internal/core/query"
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

// Leader coordinates scheduling on a node: it follows the election and the records,
// and has its components act in the order that a step needs. What it knows of jobs is kept up to date while
// another node leads, so that a failover starts from it.
type Leader struct {
	*environment

	electedAt Micros // when the current term began

	commits       *jobCommitter
	cancellations *cancellations
	completions   *completionCollector
	placements    *placementCommits
	completionLog *completionlog.Log
	scheduler     *scheduler
	bidder        *bidder
	victims       *victimFinder
	defragmenter  *defragmenter
	snapshot      *clusterSnapshot
	startOrder    *startOrder
	preemptions   *preemptionDecisions
	estimates     *runTimeEstimates
	machineCache  *machinecache.Cache
	slo           *slo.Recorder
	usageAccounts *usageAccounts
	delegations   *delegation.Delegations
	taskEvents    *taskEvents
	queries       *operatorQueries
	diagnostics   *diagnostics
	auditor       *auditor
}

// New returns a leader component whose node may be elected. Attach completes it.
func New(cfg *config.Config, out *outbox.Outbox, encoding *records.Encoding, catalog *zone.Catalog, elector *election.Elector) *Leader {
	return &Leader{environment: &environment{
		cfg:      cfg,
		outbox:   out,
		encoding: encoding,
		catalog:  catalog,
		elector:  elector,
		jobs:     map[string]*Job{},
		teams:    cfg.Cluster.TeamsByName(),
	}}
}

// Attach gives the leader the replica of the records, the reconciler and the autoscaler, and creates its components. It
// must be called once, before the node handles its first input.
func (l *Leader) Attach(replica *records.Replica, reconciler *reconciler.Reconciler, autoscaler *autoscaler.Autoscaler) {
	l.replica = replica
	l.reconciler = reconciler
	l.autoscaler = autoscaler
	l.createComponents()
	l.connectCommits()
	l.connectScheduling()
	l.connectQueries()
	l.reset()
}

// createComponents creates the components. Those in packages of their own get all they need at once; the others call
// each other and are connected afterwards.
func (l *Leader) createComponents() {
	env := l.environment
	l.commits = &jobCommitter{environment: env}
	l.placements = &placementCommits{environment: env}
	l.bidder = &bidder{environment: env}
	l.victims = &victimFinder{environment: env}
	l.defragmenter = &defragmenter{environment: env}
	l.scheduler = &scheduler{environment: env, weights: queue.Weights(env.cfg.Cluster.Teams)}
	l.snapshot = &clusterSnapshot{environment: env}
	l.startOrder = &startOrder{environment: env}
	l.preemptions = &preemptionDecisions{environment: env}
	l.preemptions.committer = preemption.NewCommitter(env.outbox, env.encoding, env.elector, l.preemptions)
	l.estimates = &runTimeEstimates{environment: env, store: modelstore.New(env.outbox, env.encoding, env.elector)}
	l.slo = slo.NewRecorder(env.outbox, config.FromSeconds(env.cfg.Settings.StartWithinS))
	l.usageAccounts = &usageAccounts{environment: env}
	l.taskEvents = &taskEvents{environment: env}
	l.queries = &operatorQueries{environment: env}
	l.diagnostics = &diagnostics{environment: env}
	l.auditor = &auditor{environment: env}
	l.completionLog = completionlog.New(env.outbox, env.encoding, env.elector, env.replica, &loggedCompletions{
		environment: env,
		commits:     l.commits,
		placements:  l.placements,
		scheduler:   l.scheduler,
		snapshot:    l.snapshot,
	})
	l.machineCache = machinecache.New(env.outbox, env.encoding, env.elector, env.reconciler)
	l.delegations = delegation.New(env.cfg, env.outbox, env.elector, env.reconciler, l.snapshot.checkAvailability)
	l.cancellations = &cancellations{environment: env, delegations: l.delegations}
	l.completions = &completionCollector{environment: env, commits: l.commits, estimates: l.estimates}
}

// connectCommits gives the components that write records and follow workers those that they call.
func (l *Leader) connectCommits() {
	l.commits.completionLog = l.completionLog
	l.commits.cancellations = l.cancellations
	l.commits.estimates = l.estimates
	l.commits.placements = l.placements
	l.commits.scheduler = l.scheduler
	l.commits.snapshot = l.snapshot

	l.placements.commits = l.commits
	l.placements.estimates = l.estimates
	l.placements.scheduler = l.scheduler
	l.placements.snapshot = l.snapshot

	l.taskEvents.completions = l.completions
	l.taskEvents.scheduler = l.scheduler
	l.taskEvents.availability = l.snapshot
}

// connectScheduling gives the components that schedule those that they call.
func (l *Leader) connectScheduling() {
	l.scheduler.bidder = l.bidder
	l.scheduler.victims = l.victims
	l.scheduler.defragmenter = l.defragmenter
	l.scheduler.commits = l.commits
	l.scheduler.diagnostics = l.diagnostics
	l.scheduler.estimates = l.estimates
	l.scheduler.preemptions = l.preemptions
	l.scheduler.snapshot = l.snapshot
	l.scheduler.startOrder = l.startOrder

	l.bidder.snapshot = l.snapshot
	l.bidder.startOrder = l.startOrder
	l.bidder.victims = l.victims

	l.victims.estimates = l.estimates
	l.victims.preemptions = l.preemptions
	l.victims.snapshot = l.snapshot

	l.defragmenter.diagnostics = l.diagnostics
	l.defragmenter.preemptions = l.preemptions
	l.defragmenter.snapshot = l.snapshot

	l.snapshot.scheduler = l.scheduler
	l.snapshot.startOrder = l.startOrder

	l.startOrder.slo = l.slo
	l.startOrder.snapshot = l.snapshot

	l.preemptions.scheduler = l.scheduler

	l.estimates.commits = l.commits
	l.estimates.completionLog = l.completionLog
	l.estimates.diagnostics = l.diagnostics

	l.usageAccounts.scheduler = l.scheduler
}

// connectQueries gives the components that answer and audit those that they read.
func (l *Leader) connectQueries() {
	l.queries.commits = l.commits
	l.queries.diagnostics = l.diagnostics
	l.queries.estimates = l.estimates
	l.queries.preemptions = l.preemptions
	l.queries.scheduler = l.scheduler
	l.queries.slo = l.slo
	l.queries.snapshot = l.snapshot
	l.queries.startOrder = l.startOrder
	l.queries.usageAccounts = l.usageAccounts

	l.diagnostics.commits = l.commits
	l.diagnostics.completionLog = l.completionLog

	l.auditor.snapshot = l.snapshot
	l.auditor.usageAccounts = l.usageAccounts
}

// Ready reports whether this node leads and has read the records since it was elected.
func (l *Leader) Ready() bool { return l.ready }

// SetWallClock sets the time of day, in microseconds since 1970.
func (l *Leader) SetWallClock(wall Micros) {
	known := l.wallClockOffset != 0
	l.wallClockOffset = wall - l.outbox.Now()
	if !known { // the age of jobs that were read before is known only now
		for _, j := range l.unfinished {
			l.setArrival(j)
		}
	}
	if l.replica.Revision() > 0 {
		l.slo.StartCounting(wall) // jobs that arrive from now on are tracked from their beginning
	}
}

// OnElected begins a term. Workers get no commands before the records have been read
// after the election: only then are all placements of predecessors known.
func (l *Leader) OnElected() {
	l.reset()
	l.electedAt = l.outbox.Now()
	l.failovers++
	l.outbox.Log("elected leader", "fencing_token", l.elector.FencingToken(), "elections", l.failovers)
	l.outbox.Emit(msg.Relist{})
}

// OnDeposed ends a term, for the given reason. What is valid for one term only is dropped; a later
// term starts from the records.
func (l *Leader) OnDeposed(reason string, token uint64) {
	l.outbox.Log("deposed", "reason", reason, "fencing_token", token)
	l.reset()
	l.outbox.Emit(msg.Relist{})
}

// RequestCycle has a scheduling cycle run soon.
func (l *Leader) RequestCycle() { l.scheduler.requestCycle() }

// CatalogChanged rebuilds what depends on the machine types, which have changed.
func (l *Leader) CatalogChanged() {
	l.snapshot.rebuildDue = true
	for _, j := range l.unfinished {
		j.types = machineTypes{}
	}
	l.scheduler.requestCycle()
}

// Apply applies a change of a key that only leaders read, or of the records.
func (l *Leader) Apply(key string, change *wire.Change) {
	if page, ok := strings.CutPrefix(key, machinecache.KeyPrefix); ok {
		if !l.ready {
			l.machineCache.Apply(page, change)
		}
		return
	}
	if chunk, ok := strings.CutPrefix(key, modelstore.KeyPrefix); ok {
		l.estimates.store.Apply(chunk, change)
		return
	}
	if strings.HasPrefix(key, preemption.KeyPrefix) {
		l.preemptions.committer.Apply(change, l.ready)
		return
	}
	if strings.HasPrefix(key, relay.KeyPrefix) {
		if l.ready {
			l.delegations.ApplyRelayedHeartbeats(change)
		}
		return
	}
	l.applyRecord(change)
}

// Tick does what is due by time alone. It is called periodically while this node leads and is ready.
func (l *Leader) Tick() {
	l.commits.retryDeferredCommits()
	l.placements.resendPlacements()
	l.machineCache.Write()
	l.completionLog.DeleteMergedPages()
	l.diagnostics.logStatistics()
	l.slo.Log(l.wallClock())
	l.usageAccounts.logUsage()
	l.estimates.writeEstimates()
	l.reconciler.AnnounceToken()
	l.reconciler.ProbeSilent()
	l.reconciler.ProbeUnreachable()
	l.elector.ReplaceTokenIfRequested()
	l.autoscaler.Tick()
	periodOver := l.outbox.Now()-l.scheduler.lastCycleAt >= config.FromSeconds(l.cfg.Settings.ScanPeriodS)
	timerOver := l.scheduler.nextCycleAt != 0 && l.outbox.Now() >= l.scheduler.nextCycleAt
	if periodOver || timerOver {
		l.scheduler.requestCycle()
	}
}

// AfterStep does what follows from a step of the node: it commits, runs a scheduling cycle and sends commands to workers.
func (l *Leader) AfterStep() {
	l.commits.commitPendingJobs()
	l.completionLog.Write()
	if l.scheduler.cycleDue && l.outbox.Now()-l.scheduler.lastCycleAt >= l.scheduler.cycleInterval() {
		l.scheduler.runCycle()
		l.commits.commitPendingJobs()
	}
	l.placements.writePlacements()
	l.preemptions.committer.Write()
	l.snapshot.refreshMachines()
	l.reconciler.SendUrgent()
}

// OnRecordsRead completes a failover: all records as of a revision have been read. Reads that were
// started before the election are ignored.
func (l *Leader) OnRecordsRead(revision uint64) {
	if !l.elector.IsLeader() || l.ready || revision < l.elector.FencingToken() {
		return
	}
	l.ready = true
	open := 0
	ids := slices.Sorted(maps.Keys(l.jobs))
	for _, id := range ids {
		l.takeOverJob(l.jobs[id])
		open += l.jobs[id].OpenTasks
	}
	l.autoscaler.Activate()
	l.reconciler.Activate()
	for _, m := range l.reconciler.Registry().All() {
		l.snapshot.watchMachine(m)
	}
	l.estimates.restoreEstimates()
	l.usageAccounts.restoreUsage(ids)
	l.scheduler.requestCycle()
	l.outbox.Log("records read", "open_placements", open, "machines", l.reconciler.Registry().Len(), "after_ms", (l.outbox.Now()-l.electedAt)/1000)
}

// takeOverJob begins a term for a job from its records.
func (l *Leader) takeOverJob(j *Job) {
	j.completions = nil
	j.plan = nil
	j.transaction = nil
	var placements []job.Placement
	j.EachPlacement(func(p job.Placement) { placements = append(placements, p) })
	l.RecordHandler().updatePlacements(j, nil, placements)
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang && j.OpenTasks > 0 && j.OpenTasks < j.Record.Spec.Tasks {
		// Where the missing tasks were is not known any more, and an attempt
		// must not run on the same machine twice: the gang starts a new attempt.
		j.failedGangAttempt = max(j.failedGangAttempt, j.Record.LastAttempt)
	}
	if !j.Archived() || len(j.Shards) > 0 {
		l.commits.requestCommit(j.ID)
	}
}

// reset drops what is valid for one term only, at the beginning and at the end of a term.
func (l *Leader) reset() {
	for _, j := range l.jobs {
		j.resetTerm()
	}
	l.ready = false
	l.snapshot.reset()
	l.reconciler.Reset()
	l.autoscaler.Reset()
	l.term++
	l.delegations.Reset()
	l.commits.reset()
	l.startOrder.reset()
	l.placements.reset()
	l.completionLog.Reset()
	l.preemptions.reset()
	l.scheduler.reset()
	l.defragmenter.reset()
	l.estimates.reset()
}

// HeartbeatBatchIn applies and answers a batch of heartbeats that a relay has acknowledged for this leader.
func (l *Leader) HeartbeatBatchIn(x msg.HeartbeatBatchIn) {
	if !l.ready {
		l.outbox.RetryLater(x.RequestID, "not the leader")
		return
	}
	l.delegations.OnHeartbeatBatch(x)
}

// AnswerQuery answers an operator's query, through the outbox.
func (l *Leader) AnswerQuery(x msg.AdminIn) { l.queries.answerQuery(x) }

// CycleStatistics returns what the scheduling cycles of this process have examined.
func (l *Leader) CycleStatistics() query.CycleStatistics { return l.snapshot.cycleStatistics() }

// UsageLedger returns the resource usage by team and class that the records account for.
func (l *Leader) UsageLedger() *accounting.Ledger { return l.usageAccounts.usageLedger() }

// Audit compares the scheduler's snapshot with the records and returns the first difference; nil: there is none. It is
// for tests.
func (l *Leader) Audit() error { return l.auditor.audit() }
