package leader

import (
	"maps"
	"math"

	"coralhub/internal/config"
	"coralhub/internal/core/autoscaler"
	"coralhub/internal/core/queue"
	"coralhub/internal/core/zone"
)

// scheduler runs the scheduling cycles: it ranks the pending jobs, places their tasks, preempts
// running tasks where that is allowed, and requests missing machines from the autoscaler.
type scheduler struct {
	*environment
	bidder       *bidder
	defragmenter *defragmenter
	victims      *victimFinder
	commits      *jobCommitter
	diagnostics  *diagnostics
	estimates    *runTimeEstimates
	preemptions  *preemptionDecisions
	snapshot     *clusterSnapshot
	startOrder   *startOrder

	usage       *queue.Usage
	weights     map[string]float64 // fair-share weight by team
	cycleDue    bool
	nextCycleAt Micros // 0 if no cycle is planned
	lastCycleAt Micros
}

// requestCycle requests a scheduling cycle, to run as soon as the minimum interval between cycles
// allows.
func (sc *scheduler) requestCycle() { sc.cycleDue = true }

// reset discards the state of a term.
func (sc *scheduler) reset() {
	sc.usage = queue.NewUsage(config.FromSeconds(sc.cfg.Settings.UsageWindowS))
}

// cycle is the state of one scheduling cycle.
type cycle struct {
	zones          []*zone.Zone
	used           map[string]queue.Amount // by team
	failedRequests []failedRequest
	demands        []autoscaler.Demand
	reservedZones  map[string]bool // reserved for a job that is older than the age cap
	// gangReservedZones are the zones in which free machines are reserved for a gang.
	gangReservedZones map[string]bool

	unschedulable unschedulableCache

	waitingPreemptors []waitingPreemptor        // sorted by level, highest first
	victims           map[string][]*zone.Victim // by zone; nil until victims are listed
	running           *runningSummary           // nil until it is computed
	inZone            map[string]int            // inZone of the current placementAttempt; all attempts reuse the map
	teamLimited       bool                      // a job waits because of its team's limit
	changeBudget      float64                   // changes that the state service still accepts in this cycle
}

// machineTypes is the set of machine types on which the tasks of a job fit and may run.
type machineTypes struct {
	set map[string]bool
	key string // the sorted names as one string, for comparison
}

// runCycle ranks the pending jobs and places as many tasks as it can. A job for which there is no
// free capacity stays pending, and the next one is tried.
func (sc *scheduler) runCycle() {
	sc.cycleDue = false
	sc.lastCycleAt = sc.outbox.Now()
	sc.nextCycleAt = 0
	if !sc.catalog.Known() || sc.elector.TokenChangePending() {
		return
	}
	c := sc.startCycle()
	sc.preemptions.resumeDecisions()
	sc.usage.Observe(sc.outbox.Now(), c.used)
	sc.startOrder.updateShortages()
	entries := sc.pendingJobs(c)
	queue.Rank(entries)
	sc.diagnostics.counters.startCycle(len(entries))
	mayUseGuarantee := func(e *queue.Entry) bool {
		j := sc.jobs[e.ID]
		return !j.queuedLast || sc.startOrder.mayClaimGuarantee(j, c.used)
	}
	queue.EachRanked(entries, mayUseGuarantee, func(e *queue.Entry) {
		sc.reserveForPreemptors(c, e.Level)
		sc.placeJob(c, e)
	})
	sc.snapshot.demandUnmet = sc.diagnostics.counters.unplaced > 0
	sc.snapshot.capacityShort = sc.snapshot.demandUnmet || c.teamLimited
	sc.scaleOut(c)
	if sc.snapshot.deadlinesDue {
		sc.snapshot.deadlinesDue = false
		sc.estimates.updateDeadlineVerdicts()
	}
}

// startCycle brings the cluster snapshot up to date and returns the state of a new cycle. Every
// open placement counts as used, whatever its worker last reported, and so does every placement
// that is being committed.
func (sc *scheduler) startCycle() *cycle {
	sc.snapshot.refreshSnapshot()
	c := &cycle{
		zones:             sc.snapshot.zones,
		used:              maps.Clone(sc.snapshot.used),
		reservedZones:     map[string]bool{},
		gangReservedZones: map[string]bool{},
		inZone:            map[string]int{},
		changeBudget:      float64(sc.commits.maxInFlightChanges() - sc.commits.inFlightChanges),
	}
	for _, z := range c.zones {
		z.Victims = func() []*zone.Victim { return sc.victims.inZone(c, z.Name) }
	}
	return c
}

// pendingJobs returns the queue, not yet ranked: the jobs that lack placements and may be placed
// now. For jobs in backoff it plans a cycle at the earliest end of a backoff.
func (sc *scheduler) pendingJobs(c *cycle) []queue.Entry {
	entries := make([]queue.Entry, 0, len(sc.snapshot.lackingPlacements))
	shares := sc.usage.Shares(sc.weights)
	for j := range sc.snapshot.lackingPlacements { // map order doesn't matter: ranking is a total order
		if j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0 {
			continue
		}
		if at := max(j.holdUntil, j.retryAt); sc.outbox.Now() < at {
			// Without a planned cycle the job would wait for an event or a scan on top of its
			// backoff.
			sc.planCycle(at)
			continue
		}
		level := queue.Level(j.Priority(), sc.snapshot.withinGuarantee(j))
		if sc.outbox.Now() < j.preemptingUntil {
			c.waitingPreemptors = append(c.waitingPreemptors, waitingPreemptor{level, j})
		}
		tier, cost := sc.startOrder.startTier(j)
		if cost == 0 {
			cost = sc.estimates.rankCost(j)
		}
		entries = append(entries, queue.Entry{ID: j.ID, Level: level, Tier: tier, Cost: cost, Created: j.Record.CreatedAt,
			Credit: queue.Credit(&sc.cfg.Settings, sc.outbox.Now()-j.arrivedAt, shares[j.Record.Spec.Team])})
	}
	sortWaitingPreemptors(c.waitingPreemptors)
	return entries
}

// planCycle plans a cycle for the given time, unless one is planned for earlier.
func (sc *scheduler) planCycle(at Micros) {
	if sc.nextCycleAt == 0 || at < sc.nextCycleAt {
		sc.nextCycleAt = at
	}
}

// scaleOut requests the machines that the unplaced tasks need from the autoscaler.
func (sc *scheduler) scaleOut(c *cycle) {
	if sc.elector.LeaseMayHaveExpired() || len(c.demands) == 0 {
		return
	}
	sc.estimates.subtractExpectedFree(c)
	for i := range c.demands { // more jobs of the same kind arrive while the machines boot
		d := &c.demands[i]
		d.Count += int(math.Ceil(float64(d.Count) * sc.cfg.Settings.ScaleOutSurplus))
	}
	sc.autoscaler.ScaleOut(c.demands)
}

const (
	// cycleMicrosPerJob is the approximate time that a cycle takes for each waiting job on a whole
	// core, in microseconds (BenchmarkFlood).
	cycleMicrosPerJob = 2
	// maxCycleCPUShare is the fraction of its CPU limit that a node may use for scheduling cycles.
	maxCycleCPUShare = 0.4
)

// cycleInterval returns the minimum time between two cycles. It grows with the length of the queue,
// so that a long queue leaves the leader time to handle its workers: a node limited to a fifth of a
// core runs a cycle over a queue of 100,000 jobs every 2.5 s. However long the queue and however low
// the CPU limit, it is no longer than a scan period, after which a cycle is due in any case.
func (sc *scheduler) cycleInterval() Micros {
	least := config.FromMillis(sc.cfg.Settings.CycleIntervalMS)
	cores := sc.cfg.Cluster.Limits.Cores
	if cores <= 0 || cores > 1 {
		cores = 1 // a single event loop uses no more than one core
	}
	cycleMicros := float64(len(sc.snapshot.lackingPlacements)) * cycleMicrosPerJob
	interval := cycleMicros / max(cores*maxCycleCPUShare, math.SmallestNonzeroFloat64)
	longest := config.FromSeconds(sc.cfg.Settings.ScanPeriodS)
	return max(least, Micros(min(interval, float64(longest))))
}
