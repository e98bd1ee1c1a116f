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
	leading         = newDesc("leading", "1 if this node leads and has read the records.")
	records         = newDesc("records", "Jobs that this node knows, finished ones too.")
	unfinished      = newDesc("unfinished_jobs", "Jobs that have anything left.")
	placements      = newDesc("placements", "Tasks that have a place.")
	waiting         = newDesc("waiting_jobs", "Jobs that want places, by class; of the leader.", "class")
	machines        = newDesc("machines", "Machines by state; of the leader.", "state")
	inFlightChanges = newDesc("changes_on_their_way", "Changes of jobs that have no answer yet.")
	failovers       = newDesc("takeovers_total", "Times that this node has come to lead.")
	cycles          = newDesc("passes_total", "Passes over the queue.")
	examined        = newDesc("looked_at_total", "Machines and jobs that passes have looked at.", "what")
	observedRuns    = newDesc("runs_learnt_from", "Runs learnt from since this node leads.")
	changes         = newDesc("changes_total",
		"Transactions with changes, by those that go first or later and what became of them.", "kind")
	deferrableRate = newDesc("changes_later_pace", "Changes a second that may be made by those that give way.")
	completedShare = newDesc("served_share",
		"Part of the jobs whose time was up within ten minutes that were done, or had all replicas, "+
			"by then; of the leader.", "by", "name")
	completedJobs = newDesc("judged_jobs", "How many jobs served_share is of.", "by", "name")
	usedGPU       = newDesc("used_gpu_seconds",
		"GPU time of placements whose end is proven, by team, class and kind; of the leader.", "team", "class", "kind")
	usedTask = newDesc("used_task_seconds",
		"Task time of such placements: all, on spot machines, and work that had to be repeated.",
		"team", "class", "kind", "of")
	startedShare = newDesc("begun_share",
		"Part of the jobs whose time to begin was up within ten minutes that had a place by then, by class, "+
			"team and the largest tenth of a class; of the leader.", "by", "name")
	startedJobs = newDesc("begun_jobs", "How many jobs begun_share is of.", "by", "name")

	stateRequests = newDesc("state_requests_total",
		"Requests to the state service, refused ones too, by what they are for.", "purpose")
	stateChanges = newDesc("state_changes_total",
		"Puts and deletes sent to the state service and not refused for its quota, by what they are for.", "purpose")

	reports = newDesc("reports_total",
		"Reports of workers that were handed to the leader, or lost on the way.", "what")
)

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		leading, records, unfinished, placements, waiting, machines, inFlightChanges, failovers, cycles, examined,
		observedRuns, changes, deferrableRate, stateRequests, stateChanges, reports, completedShare, completedJobs,
		startedShare, startedJobs, usedGPU, usedTask,
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
