// Package leader ranks the queue, holds the auction, has the records written and draws the
// conclusions from what workers say. The records are the truth: a start leaves only after its
// placement is committed, and a placement is closed only on proof.
package leader

import (
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

// Leader is a node's part in scheduling. It coordinates: it follows the election and the records,
// and has its components act in the order that a step needs. What it knows of jobs is kept while
// another node leads, so that a failover begins with it.
type Leader struct {
	*environment

	electedAt Micros

	commits       *jobCommitter
	placements    *placementCommits
	completionLog *completionLog
	scheduler     *scheduler
	snapshot      *clusterSnapshot
	startOrder    *startOrder
	preemptions   *preemptionDecisions
	estimates     *runTimeEstimates
	machineCache  *machineCache
	slo           *sloTracker
	usageAccounts *usageAccounts
	delegations   *delegations
	taskEvents    *taskEvents
	queries       *operatorQueries
	diagnostics   *diagnostics
	auditor       *auditor
}

// New returns the leader that a node may become. Attach completes it.
func New(cfg *config.Config, box *outbox.Outbox, encoding *records.Encoding, catalog *zone.Catalog, elector *election.Elector) *Leader {
	env := &environment{cfg: cfg, outbox: box, encoding: encoding, catalog: catalog, elector: elector,
		jobs: map[string]*Job{}, teams: cfg.Cluster.TeamsByName()}
	l := &Leader{environment: env,
		commits:       &jobCommitter{environment: env},
		placements:    &placementCommits{environment: env},
		completionLog: &completionLog{environment: env},
		scheduler:     &scheduler{environment: env, weights: queue.Weights(cfg.Cluster.Teams)},
		snapshot:      &clusterSnapshot{environment: env},
		startOrder:    &startOrder{environment: env},
		preemptions:   &preemptionDecisions{environment: env},
		estimates:     &runTimeEstimates{environment: env},
		machineCache:  &machineCache{environment: env},
		slo:           &sloTracker{environment: env, tracker: slo.New(config.FromSeconds(cfg.Settings.StartWithinS))},
		usageAccounts: &usageAccounts{environment: env},
		delegations:   &delegations{environment: env},
		taskEvents:    &taskEvents{environment: env},
		queries:       &operatorQueries{environment: env},
		diagnostics:   &diagnostics{environment: env},
		auditor:       &auditor{environment: env},
	}
	l.connect()
	return l
}

// connect gives each component those that it calls.
func (l *Leader) connect() {
	l.commits.completionLog, l.commits.delegations, l.commits.estimates = l.completionLog, l.delegations, l.estimates
	l.commits.placements, l.commits.scheduler, l.commits.snapshot = l.placements, l.scheduler, l.snapshot
	l.placements.commits, l.placements.estimates = l.commits, l.estimates
	l.placements.scheduler, l.placements.snapshot = l.scheduler, l.snapshot
	l.completionLog.commits, l.completionLog.placements = l.commits, l.placements
	l.completionLog.scheduler, l.completionLog.snapshot = l.scheduler, l.snapshot
	l.scheduler.commits, l.scheduler.diagnostics, l.scheduler.estimates = l.commits, l.diagnostics, l.estimates
	l.scheduler.preemptions, l.scheduler.snapshot, l.scheduler.startOrder = l.preemptions, l.snapshot, l.startOrder
	l.snapshot.scheduler, l.snapshot.startOrder = l.scheduler, l.startOrder
	l.startOrder.slo, l.startOrder.snapshot = l.slo, l.snapshot
	l.preemptions.scheduler = l.scheduler
	l.estimates.commits, l.estimates.completionLog, l.estimates.diagnostics = l.commits, l.completionLog, l.diagnostics
	l.usageAccounts.scheduler = l.scheduler
	l.delegations.snapshot = l.snapshot
	l.taskEvents.commits, l.taskEvents.scheduler, l.taskEvents.snapshot = l.commits, l.scheduler, l.snapshot
	l.queries.commits, l.queries.diagnostics, l.queries.estimates = l.commits, l.diagnostics, l.estimates
	l.queries.preemptions, l.queries.scheduler, l.queries.slo = l.preemptions, l.scheduler, l.slo
	l.queries.snapshot, l.queries.startOrder, l.queries.usageAccounts = l.snapshot, l.startOrder, l.usageAccounts
	l.diagnostics.commits, l.diagnostics.completionLog = l.commits, l.completionLog
	l.auditor.snapshot, l.auditor.usageAccounts = l.snapshot, l.usageAccounts
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
	l.outbox.Log("elected leader", "fencing_token", l.elector.FencingToken(), "elections", l.failovers)
	l.outbox.Emit(msg.Relist{})
}

// OnDeposed ends a reign. The leader forgets what it needs no more; a later
// reign starts from the records.
func (l *Leader) OnDeposed(why string, token uint64) {
	l.outbox.Log("deposed", "reason", why, "fencing_token", token)
	l.reset()
	l.outbox.Emit(msg.Relist{})
}

// RequestCycle has a pass come soon.
func (l *Leader) RequestCycle() { l.scheduler.cycleDue = true }

// CatalogChanged has everything looked at again by the new machine types.
func (l *Leader) CatalogChanged() {
	l.snapshot.rebuildDue = true
	for _, j := range l.unfinished {
		j.types = machineTypes{}
	}
	l.scheduler.cycleDue = true
}

// Apply takes a change of a key that only leaders read, or of the records.
func (l *Leader) Apply(key string, ev *wire.Change) {
	if name, ok := strings.CutPrefix(key, machineCachePrefix); ok {
		l.machineCache.applyCachePage(name, ev)
		return
	}
	if num, ok := strings.CutPrefix(key, estimatesPrefix); ok {
		l.estimates.applyStoredEstimates(num, ev)
		return
	}
	if strings.HasPrefix(key, preemption.KeyPrefix) {
		l.preemptions.applyDecisions(ev)
		return
	}
	if strings.HasPrefix(key, relay.KeyPrefix) {
		l.delegations.applyRelayedHeartbeats(ev)
		return
	}
	l.applyRecord(ev)
}

// Tick does what the leader does by time alone.
func (l *Leader) Tick() {
	l.commits.retryDeferredCommits()
	l.placements.resendPlacements()
	l.machineCache.writeMachineCache()
	l.completionLog.deleteMergedPages()
	l.diagnostics.logStatistics()
	l.slo.logAttainment()
	l.usageAccounts.logUsage()
	l.estimates.writeEstimates()
	l.reconciler.AnnounceToken()
	l.reconciler.ProbeSilent()
	l.reconciler.ProbeUnreachable()
	l.elector.ReplaceTokenIfRequested()
	l.autoscaler.Tick()
	if l.outbox.Now()-l.scheduler.lastCycleAt >= config.FromSeconds(l.cfg.Settings.ScanPeriodS) || l.scheduler.nextCycleAt != 0 && l.outbox.Now() >= l.scheduler.nextCycleAt {
		l.scheduler.cycleDue = true
	}
}

// AfterStep does what follows from a step: it writes, passes and commands.
func (l *Leader) AfterStep() {
	l.commits.commitPendingJobs()
	l.completionLog.writeCompletionLog()
	if l.scheduler.cycleDue && l.outbox.Now()-l.scheduler.lastCycleAt >= l.scheduler.cycleInterval() {
		l.scheduler.runCycle()
		l.commits.commitPendingJobs()
	}
	l.placements.writePlacements()
	l.preemptions.writeDecisions()
	l.snapshot.refreshMachines()
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
			l.commits.pendingCommits[id] = true
		}
	}
	l.autoscaler.Activate()
	l.reconciler.Activate()
	for _, m := range l.reconciler.Registry().All() {
		l.snapshot.watchMachine(m)
	}
	l.estimates.restoreEstimates()
	l.usageAccounts.restoreUsage(ids)
	l.scheduler.cycleDue = true
	l.outbox.Log("records read", "open_placements", open, "machines", l.reconciler.Registry().Len(), "after_ms", (l.outbox.Now()-l.electedAt)/1000)
}

// reset forgets what is only of use in one term, as leader or not.
func (l *Leader) reset() {
	for _, j := range l.jobs {
		j.resetTerm()
	}
	l.ready = false
	l.snapshot.reset()
	l.reconciler.Reset()
	l.autoscaler.Reset()
	l.term++
	l.delegations.reset()
	l.commits.reset()
	l.startOrder.reset()
	l.placements.reset()
	l.completionLog.reset()
	l.preemptions.reset()
	l.scheduler.reset()
	l.estimates.reset()
}

// HeartbeatBatchIn takes the heartbeats that a relay has acknowledged for this leader.
func (l *Leader) HeartbeatBatchIn(x msg.HeartbeatBatchIn) { l.delegations.onHeartbeatBatch(x) }

// AnswerQuery answers an operator's query.
func (l *Leader) AnswerQuery(x msg.AdminIn) { l.queries.answerQuery(x) }

// CycleStatistics counts what scheduling cycles of this process have examined.
func (l *Leader) CycleStatistics() CycleStatistics { return l.snapshot.cycleStatistics() }

// UsageLedger returns the resource usage by team and class that the records account for.
func (l *Leader) UsageLedger() *accounting.Ledger { return l.usageAccounts.usageLedger() }

// Audit compares the scheduler's snapshot with the records and returns the first difference. It is
// for tests.
func (l *Leader) Audit() error { return l.auditor.audit() }
