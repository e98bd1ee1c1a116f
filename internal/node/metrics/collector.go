package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"coralhub/internal/core/query"
	"coralhub/internal/core/slo"
)

// collector collects the metrics of the core and the adapters.
type collector struct {
	gauges func() (query.Gauges, bool)
	store  Store
	peers  func() map[string]float64
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("coralhub_"+name, help, labels, nil)
}

var (
	leading         = newDesc("leading", "1 if this node is the leader and has read the records, otherwise 0.")
	records         = newDesc("records", "Jobs known to this node, including finished ones.")
	unfinished      = newDesc("unfinished_jobs", "Jobs that are unfinished, or finished but not yet archived.")
	placements      = newDesc("placements", "Open placements of tasks.")
	waiting         = newDesc("waiting_jobs", "Jobs that lack placements, by class; exported by the leader only.", "class")
	machines        = newDesc("machines", "Machines by state; exported by the leader only.", "state")
	inFlightChanges = newDesc("changes_on_their_way",
		"Changes to jobs that were sent to the state service and have no response yet.")
	exitedAttempts = newDesc("exited_attempts",
		"Exited attempts that workers still report because they may not be forgotten yet; 0 unless this node is the leader.")
	tokensRaised = newDesc("worker_token_raises_total",
		"Times that this node raised the fencing token of a single worker, so that copies of earlier calls are void.")
	failovers    = newDesc("takeovers_total", "Times that this node was elected leader.")
	cycles       = newDesc("passes_total", "Scheduling cycles that this node has run.")
	examined     = newDesc("looked_at_total", "Machines and jobs that scheduling cycles have examined.", "what")
	observedRuns = newDesc("runs_learnt_from",
		"Runs observed for the run-time estimates since this node was elected; 0 unless it is the leader.")
	changes = newDesc("changes_total",
		"Transactions by priority (first, accept, later) and result: not refused and with changes (taken), "+
			"or refused because the quota of the state service was exceeded (refused).", "kind")
	deferrableRate = newDesc("changes_later_pace",
		"Current rate limit of the transactions of priority later, in changes per second.")
	completedShare = newDesc("served_share",
		"Share of the jobs with a completion deadline in the last ten minutes that were done, or had all replicas "+
			"placed, by their deadline; exported by the leader only.", "by", "name")
	completedJobs = newDesc("judged_jobs", "Number of jobs on which served_share is based.", "by", "name")
	usedGPU       = newDesc("used_gpu_seconds",
		"GPU time of placements whose end is proven, by team, class and kind; exported by the leader only.",
		"team", "class", "kind")
	usedTask = newDesc("used_task_seconds",
		"Task time of placements whose end is proven: all, on spot instances, and with work that had to be repeated; "+
			"exported by the leader only.",
		"team", "class", "kind", "of")
	startedShare = newDesc("begun_share",
		"Share of the jobs with a start deadline in the last ten minutes that had a placement by their deadline, "+
			"by class, by team and for the largest tenth of each class; exported by the leader only.", "by", "name")
	startedJobs = newDesc("begun_jobs", "Number of jobs on which begun_share is based.", "by", "name")

	stateRequests = newDesc("state_requests_total",
		"Requests sent to the state service, including refused ones, by purpose.", "purpose")
	stateChanges = newDesc("state_changes_total",
		"Puts and deletes sent to the state service and not refused because its quota was exceeded, by purpose.",
		"purpose")

	reports = newDesc("reports_total",
		"Heartbeats of workers that this node forwarded to the leader: answered by it (handed), or unanswered (lost).",
		"what")
)

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		leading, records, unfinished, placements, waiting, machines, inFlightChanges, failovers, cycles, examined,
		observedRuns, changes, deferrableRate, stateRequests, stateChanges, reports, completedShare, completedJobs,
		startedShare, startedJobs, usedGPU, usedTask, exitedAttempts, tokensRaised,
	} {
		ch <- d
	}
}

// emitter sends metrics to Prometheus.
type emitter chan<- prometheus.Metric

func (e emitter) gauge(d *prometheus.Desc, v float64, labels ...string) {
	e <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (e emitter) counter(d *prometheus.Desc, v float64, labels ...string) {
	e <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
}

// Collect sends the metrics of the adapters and the core. If the core is overloaded, its metrics are left out.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	e := emitter(ch)
	c.collectAdapters(e)
	g, ok := c.gauges()
	if !ok {
		return
	}
	collectNode(e, &g)
	collectUsage(e, g.Usage)
	collectAttainment(e, completedShare, completedJobs, g.CompletedInTime)
	collectAttainment(e, startedShare, startedJobs, g.StartedInTime)
}

func (c *collector) collectAdapters(e emitter) {
	for purpose, v := range c.store.Requests() {
		e.counter(stateRequests, v, purpose)
	}
	for purpose, v := range c.store.Changes() {
		e.counter(stateChanges, v, purpose)
	}
	for name, v := range c.store.Totals() {
		if name == "later_pace" {
			e.gauge(deferrableRate, v)
			continue
		}
		e.counter(changes, v, name)
	}
	for name, v := range c.peers() {
		e.counter(reports, v, name)
	}
}

func collectNode(e emitter, g *query.Gauges) {
	e.gauge(leading, map[bool]float64{true: 1}[g.Leading])
	e.gauge(records, float64(g.Records))
	e.gauge(unfinished, float64(g.Unfinished))
	e.gauge(placements, float64(g.Placements))
	e.gauge(inFlightChanges, float64(g.InFlightChanges))
	e.gauge(observedRuns, float64(g.EstimateRuns))
	e.counter(failovers, float64(g.Failovers))
	e.counter(tokensRaised, float64(g.TokensRaised))
	e.gauge(exitedAttempts, float64(g.ExitedAttempts))
	e.counter(cycles, float64(g.Statistics.Cycles))
	e.counter(examined, float64(g.Statistics.Machines), "machines")
	e.counter(examined, float64(g.Statistics.Jobs), "jobs")
	for class, n := range g.Waiting {
		e.gauge(waiting, float64(n), class)
	}
	for state, n := range g.Machines {
		e.gauge(machines, float64(n), state)
	}
}

func collectUsage(e emitter, rows []query.UsageRow) {
	for _, u := range rows {
		e.gauge(usedGPU, u.GPUSeconds, u.Team, u.Class, u.Kind)
		e.gauge(usedTask, u.TaskSeconds, u.Team, u.Class, u.Kind, "all")
		e.gauge(usedTask, u.SpotTaskSeconds, u.Team, u.Class, u.Kind, "spot")
		e.gauge(usedTask, u.RepeatedTaskSeconds, u.Team, u.Class, u.Kind, "repeated")
	}
}

// collectAttainment sends the share of jobs that met their objective, and the number of jobs it is based on.
func collectAttainment(e emitter, share, jobs *prometheus.Desc, a slo.Attainment) {
	for by, ratios := range map[string]map[string]slo.Ratio{"class": a.Class, "team": a.Team, "largest": a.Largest} {
		for name, ratio := range ratios {
			e.gauge(share, ratio.Value(), by, name)
			e.gauge(jobs, float64(ratio.Jobs), by, name)
		}
	}
}
