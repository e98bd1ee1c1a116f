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
// where that is allowed and asks the autoscaler for the machines that are missing.
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
	nextCycleAt Micros // 0: none is planned
	lastCycleAt Micros
}

// requestCycle has the next scheduling cycle run as soon as the least interval allows.
func (sc *scheduler) requestCycle() { sc.cycleDue = true }

// reset forgets the state of a term.
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
	// gangReservedZones are the zones of which free machines are reserved for a gang.
	gangReservedZones map[string]bool

	unschedulable unschedulableCache

	waitingPreemptors []waitingPreemptor        // the highest level first
	victims           map[string][]*zone.Victim // by zone; nil: not listed yet
	running           *runningSummary           // nil: not computed yet
	inZone            map[string]int            // of the current placementAttempt; one map for all of them
	quotaLimited      bool                      // a job waits because of its team's limit
	changeBudget      float64                   // changes that the key-value store still accepts in this cycle
}

// machineTypes is the set of machine types that suit a job.
type machineTypes struct {
	set  map[string]bool
	text string // the sorted names, for comparison
}

// runCycle ranks the pending jobs and places what it can. A job for which there is no free
// capacity waits; the next one is tried.
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
		return !j.queuedBehind || sc.startOrder.mayClaimGuarantee(j, c.used)
	}
	queue.EachRanked(entries, mayUseGuarantee, func(e *queue.Entry) {
		sc.reserveForPreemptors(c, e.Level)
		sc.placeJob(c, e)
	})
	sc.snapshot.demandUnmet = sc.diagnostics.counters.unplaced > 0
	sc.snapshot.capacityShort = sc.snapshot.demandUnmet || c.quotaLimited
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

// pendingJobs returns the queue: the jobs that lack placements and may get some now. It plans a
// cycle for the time at which the first of those that are in backoff may be tried again.
func (sc *scheduler) pendingJobs(c *cycle) []queue.Entry {
	entries := make([]queue.Entry, 0, len(sc.snapshot.wanting))
	shares := sc.usage.Shares(sc.weights)
	for j := range sc.snapshot.wanting { // in any order: ranking is a total order
		if j.transaction != nil || len(j.plan) > 0 || len(j.completions) > 0 {
			continue
		}
		if at := max(j.holdUntil, j.retryAt); sc.outbox.Now() < at {
			// It should not have to wait for an event or a scan on top of its backoff.
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

// planCycle has a cycle run at a time, unless one is planned for earlier.
func (sc *scheduler) planCycle(at Micros) {
	if sc.nextCycleAt == 0 || at < sc.nextCycleAt {
		sc.nextCycleAt = at
	}
}

// scaleOut asks the autoscaler for the machines that the unplaced tasks need.
func (sc *scheduler) scaleOut(c *cycle) {
	if sc.elector.LeaseInDoubt() || len(c.demands) == 0 {
		return
	}
	sc.estimates.subtractSoonFree(c)
	for i := range c.demands { // more of the same kind arrives while the machines boot
		d := &c.demands[i]
		d.Count += int(math.Ceil(float64(d.Count) * sc.cfg.Settings.ScaleOutSurplus))
	}
	sc.autoscaler.ScaleOut(c.demands)
}

const (
	// entryTime is about the time in microseconds that a cycle takes for each waiting job on a
	// whole core (BenchmarkFlood).
	entryTime = 2
	// cycleShare is the part of its share of the processor that a node may use for that.
	cycleShare = 0.4
)

// cycleInterval is the least time between two cycles. It grows with the length of the queue, so
// that a flood leaves the leader time for its workers: a node with a fifth of a core goes through a
// queue of 100,000 jobs every 2.5 s.
func (sc *scheduler) cycleInterval() Micros {
	least := config.FromMillis(sc.cfg.Settings.CycleIntervalMS)
	cores := sc.cfg.Cluster.Limits.Cores
	if cores <= 0 || cores > 1 {
		cores = 1 // a single event loop uses no more
	}
	return max(least, Micros(float64(len(sc.snapshot.wanting))*entryTime/(cores*cycleShare)))
}
