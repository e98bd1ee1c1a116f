// Package leader schedules jobs while its node is the elected leader: it orders the queue, places and preempts jobs in
// scheduling cycles, commits its decisions to the records in the state service, and handles the task states that
// workers report. The records are authoritative: a task is started only after its placement is committed, and a
// placement is closed only on proof that the task has ended.
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

// Leader coordinates scheduling on a node: it follows the election and the records, and calls its components in the
// order that each step requires. Its jobs are kept up to date while another node leads, so that a failover starts from
// current state.
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

// New returns a Leader for a node that may be elected. Attach must be called before it is used.
func New(
	cfg *config.Config,
	out *outbox.Outbox,
	encoding *records.Encoding,
	catalog *zone.Catalog,
	elector *election.Elector,
) *Leader {
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

// Attach sets the replica of the records, the reconciler and the autoscaler, and creates the leader's components. It
// must be called once, before the node handles its first input.
func (l *Leader) Attach(
	replica *records.Replica,
	reconciler *reconciler.Reconciler,
	autoscaler *autoscaler.Autoscaler,
) {
	l.replica = replica
	l.reconciler = reconciler
	l.autoscaler = autoscaler
	l.createComponents()
	l.connectCommits()
	l.connectScheduling()
	l.connectQueries()
	l.reset()
}

// createComponents creates the components. Those in other packages receive their dependencies here; those of this
// package call each other and are connected afterwards.
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

// connectCommits sets the dependencies of the components that write records and of the one that handles task states.
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

// connectScheduling sets the dependencies of the scheduling components.
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

// connectQueries sets the dependencies of the components that answer queries, count and audit.
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
	if !known { // the age of jobs that were read earlier could not be computed before
		for _, j := range l.unfinished {
			l.setArrival(j)
		}
	}
	if l.replica.Revision() > 0 {
		l.slo.StartCounting(wall) // jobs that arrive from now on are tracked from their arrival
	}
}

// OnElected begins a term. No commands are sent to workers until the records have been read after the election, because
// only then are all placements of earlier leaders known.
func (l *Leader) OnElected() {
	l.reset()
	l.electedAt = l.outbox.Now()
	l.failovers++
	l.outbox.Log("elected leader", "fencing_token", l.elector.FencingToken(), "elections", l.failovers)
	l.outbox.Emit(msg.Relist{})
}

// OnDeposed ends a term and clears the state that is valid for one term only; a later term starts from the records. The
// reason is logged.
func (l *Leader) OnDeposed(reason string, token uint64) {
	l.outbox.Log("deposed", "reason", reason, "fencing_token", token)
	l.reset()
	l.outbox.Emit(msg.Relist{})
}

// RequestCycle requests a scheduling cycle, which runs as soon as the minimum interval between cycles allows.
func (l *Leader) RequestCycle() { l.scheduler.requestCycle() }

// CatalogChanged must be called when the machine types have changed. It has everything that depends on them rebuilt.
func (l *Leader) CatalogChanged() {
	l.snapshot.rebuildDue = true
	for _, j := range l.unfinished {
		j.types = machineTypes{}
	}
	l.scheduler.requestCycle()
}

// Apply applies a change of the records or of a key that only leaders read.
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

// Tick performs periodic and timed work. It is called periodically while this node leads and is ready.
func (l *Leader) Tick() {
	l.commits.retryDeferredCommits()
	l.placements.resendPlacements()
	l.machineCache.Write()
	l.completionLog.DeleteMergedPages()
	l.diagnostics.logStatistics()
	l.slo.Log(l.wallClock())
	l.usageAccounts.logUsage()
	l.estimates.writeEstimates()
	l.reconciler.SettleRevision()
	l.reconciler.LogTakeoverIfDone()
	l.reconciler.AnnounceToken()
	l.reconciler.CallWorkersWithoutContact()
	l.reconciler.ProbeUnreachable()
	l.elector.ReplaceTokenIfRequested()
	l.autoscaler.Tick()
	periodOver := l.outbox.Now()-l.scheduler.lastCycleAt >= config.FromSeconds(l.cfg.Settings.ScanPeriodS)
	timerOver := l.scheduler.nextCycleAt != 0 && l.outbox.Now() >= l.scheduler.nextCycleAt
	if periodOver || timerOver {
		l.scheduler.requestCycle()
	}
}

// AfterStep completes a step of the node: it commits changes, runs a scheduling cycle if one is due, and sends urgent
// commands to workers.
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

// OnRecordsRead completes a failover after all records as of a revision have been read. Reads that were started before
// the election are ignored.
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
		l.snapshot.reportMachineUse(m)
	}
	l.estimates.restoreEstimates()
	l.usageAccounts.restoreUsage(ids)
	l.scheduler.requestCycle()
	l.outbox.Log("records read", "open_placements", open, "machines", l.reconciler.Registry().Len(),
		"after_ms", (l.outbox.Now()-l.electedAt)/1000)
}

// takeOverJob initializes the state of a job for a new term from its records.
func (l *Leader) takeOverJob(j *Job) {
	j.completions = nil
	j.plan = nil
	j.transaction = nil
	var placements []job.Placement
	j.EachPlacement(func(p job.Placement) { placements = append(placements, p) })
	l.RecordHandler().updatePlacements(j, nil, placements)
	if j.Record.Spec != nil && j.Record.Spec.Shape == wire.Gang && j.OpenTasks > 0 && j.OpenTasks < j.Record.Spec.Tasks {
		// The machines of the missing tasks are no longer known, and an attempt must not run on the same machine
		// twice. So the gang starts a new attempt.
		j.failedGangAttempt = max(j.failedGangAttempt, j.Record.LastAttempt)
	}
	if !j.Archived() || len(j.Shards) > 0 {
		l.commits.requestCommit(j.ID)
	}
}

// reset clears the state that is valid for one term only. It is called at the beginning and at the end of a term.
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

// HeartbeatBatchIn applies a batch of heartbeats that a relay has acknowledged on behalf of this leader, and responds
// to the relay.
func (l *Leader) HeartbeatBatchIn(x msg.HeartbeatBatchIn) {
	if !l.ready {
		l.outbox.RetryLater(x.RequestID, "not the leader")
		return
	}
	l.delegations.OnHeartbeatBatch(x)
}

// AnswerQuery responds to an operator's query through the outbox.
func (l *Leader) AnswerQuery(x msg.AdminIn) { l.queries.answerQuery(x) }

// CycleStatistics returns the numbers of scheduling cycles, and of examined jobs and machines, since this process
// started.
func (l *Leader) CycleStatistics() query.CycleStatistics { return l.snapshot.cycleStatistics() }

// UsageLedger returns the resource usage by team and class that the records account for.
func (l *Leader) UsageLedger() *accounting.Ledger { return l.usageAccounts.usageLedger() }

// Audit compares the scheduler's snapshot with the records and returns the first difference, or nil if there is none.
// It is used by tests only.
func (l *Leader) Audit() error { return l.auditor.audit() }
