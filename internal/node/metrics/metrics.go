// Package metrics tells Prometheus of a node. What the core counts is asked for when
// somebody asks, so that it costs nothing else.
package metrics

import (
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coralhub/internal/core/leader"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/slo"
)

// Path is where the metrics are.
const Path = "/metrics"

// Metrics is a node's registry. A nil one takes nothing.
type Metrics struct {
	handler http.Handler
	steps   *prometheus.HistogramVec
}

// Store counts what was asked of the state service, by name, since the process began.
type Store interface {
	Totals() map[string]float64   // transactions by turn and what became of them
	Requests() map[string]float64 // by purpose
	Changes() map[string]float64  // puts and deletes, by purpose
}

// New returns the metrics of a node: of what its core and adapters count.
func New(gauges func() (leader.Gauges, bool), store Store, peers func() map[string]float64) *Metrics {
	r := prometheus.NewRegistry()
	m := &Metrics{steps: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "coralhub_step_seconds",
		Help: "Time that the core took for an input, by kind; a pass is part of the input that it followed.", Buckets: prometheus.ExponentialBuckets(1e-5, 4, 9)},
		[]string{"input"})}
	r.MustRegister(m.steps, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		&counted{gauges, store, peers})
	m.handler = promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 5 * time.Second})
	return m
}

func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Stepped takes how long the core took for an input.
func (m *Metrics) Stepped(in msg.Input, took time.Duration) {
	if m != nil {
		m.steps.WithLabelValues(inputLabel(in)).Observe(took.Seconds())
	}
}

// inputLabel is the label of a kind of input. Dashboards go by these: they stay as they were first
// released.
func inputLabel(in msg.Input) string {
	switch in.(type) {
	case msg.HeartbeatIn:
		return "reportin"
	case msg.HeartbeatBatchIn:
		return "beatin"
	case msg.HeartbeatBatchDone:
		return "beatdone"
	case msg.PeerAlive:
		return "peerheard"
	case msg.PeerUpdate:
		return "hint"
	case msg.ScaleOutDone:
		return "rentdone"
	case msg.ScaleInDone:
		return "releasedone"
	}
	return strings.ToLower(reflect.TypeOf(in).Name())
}

// counted is what is counted when somebody asks.
type counted struct {
	gauges func() (leader.Gauges, bool)
	store  Store
	peers  func() map[string]float64
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("coralhub_"+name, help, labels, nil)
}

var (
	leading    = desc("leading", "1 if this node leads and has read the records.")
	records    = desc("records", "Jobs that this node knows, finished ones too.")
	unfinished = desc("unfinished_jobs", "Jobs that have anything left.")
	placements = desc("placements", "Tasks that have a place.")
	waiting    = desc("waiting_jobs", "Jobs that want places, by class; of the leader.", "class")
	machines   = desc("machines", "Machines by state; of the leader.", "state")
	writing    = desc("changes_on_their_way", "Changes of jobs that have no answer yet.")
	takeovers  = desc("takeovers_total", "Times that this node has come to lead.")
	passes     = desc("passes_total", "Passes over the queue.")
	looked     = desc("looked_at_total", "Machines and jobs that passes have looked at.", "what")
	learnt     = desc("runs_learnt_from", "Runs learnt from since this node leads.")
	changes    = desc("changes_total", "Transactions with changes, by those that go first or later and what became of them.", "kind")
	pace       = desc("changes_later_pace", "Changes a second that may be made by those that give way.")
	inTime     = desc("served_share", "Part of the jobs whose time was up within ten minutes that were done, or had all replicas, by then; of the leader.", "by", "name")
	judged     = desc("judged_jobs", "How many jobs served_share is of.", "by", "name")
	usedGPU    = desc("used_gpu_seconds", "GPU time of placements whose end is proven, by team, class and kind; of the leader.", "team", "class", "kind")
	usedTask   = desc("used_task_seconds", "Task time of such placements: all, on spot machines, and work that had to be repeated.", "team", "class", "kind", "of")
	begun      = desc("begun_share", "Part of the jobs whose time to begin was up within ten minutes that had a place by then, by class, team and the largest tenth of a class; of the leader.", "by", "name")
	begunOf    = desc("begun_jobs", "How many jobs begun_share is of.", "by", "name")

	stateRequests = desc("state_requests_total", "Requests to the state service, refused ones too, by what they are for.", "purpose")
	stateChanges  = desc("state_changes_total", "Puts and deletes sent to the state service and not refused for its quota, by what they are for.", "purpose")

	reports = desc("reports_total", "Reports of workers that were handed to the leader, or lost on the way.", "what")
)

func (c *counted) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{leading, records, unfinished, placements, waiting, machines, writing, takeovers, passes, looked, learnt, changes, pace, stateRequests, stateChanges, reports, inTime, judged, begun, begunOf, usedGPU, usedTask} {
		ch <- d
	}
}

func (c *counted) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	total := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	for purpose, v := range c.store.Requests() {
		total(stateRequests, v, purpose)
	}
	for purpose, v := range c.store.Changes() {
		total(stateChanges, v, purpose)
	}
	for name, v := range c.store.Totals() {
		if name == "later_pace" {
			gauge(pace, v)
			continue
		}
		total(changes, v, name)
	}
	for name, v := range c.peers() {
		total(reports, v, name)
	}
	g, ok := c.gauges()
	if !ok {
		return
	}
	gauge(leading, map[bool]float64{true: 1}[g.Leading])
	gauge(records, float64(g.Records))
	gauge(unfinished, float64(g.Unfinished))
	gauge(placements, float64(g.Placements))
	gauge(writing, float64(g.InFlightChanges))
	gauge(learnt, float64(g.EstimateRuns))
	total(takeovers, float64(g.Failovers))
	total(passes, float64(g.Statistics.Cycles))
	total(looked, float64(g.Statistics.Machines), "machines")
	total(looked, float64(g.Statistics.Jobs), "jobs")
	for class, n := range g.Waiting {
		gauge(waiting, float64(n), class)
	}
	tell := func(part, jobs *prometheus.Desc, s slo.Attainment) {
		for by, shares := range map[string]map[string]slo.Ratio{"class": s.Class, "team": s.Team, "largest": s.Largest} {
			for name, s := range shares {
				gauge(part, s.Value(), by, name)
				gauge(jobs, float64(s.Jobs), by, name)
			}
		}
	}
	for _, u := range g.Usage {
		gauge(usedGPU, u.GPUSeconds, u.Team, u.Class, u.Kind)
		for of, s := range map[string]float64{"all": u.TaskSeconds, "spot": u.SpotTaskSeconds, "repeated": u.RepeatedTaskSeconds} {
			gauge(usedTask, s, u.Team, u.Class, u.Kind, of)
		}
	}
	tell(inTime, judged, g.CompletedInTime)
	tell(begun, begunOf, g.StartedInTime)
	for state, n := range g.Machines {
		gauge(machines, float64(n), state)
	}
}
