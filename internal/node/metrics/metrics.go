// Package metrics exposes the metrics of a node to Prometheus. The counts of the core are collected only when they
// are scraped, so that they cost nothing otherwise.
package metrics

import (
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coralhub/internal/core/msg"
	"coralhub/internal/core/query"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Metrics is the metrics registry of a node. A nil Metrics ignores observations.
type Metrics struct {
	handler http.Handler
	steps   *prometheus.HistogramVec
}

// Store returns counts of requests to the state service by name, since the start of the process.
type Store interface {
	Totals() map[string]float64   // transactions by priority and result, and later_pace (a rate)
	Requests() map[string]float64 // by purpose
	Changes() map[string]float64  // puts and deletes, by purpose
}

// New returns the metrics of a node, collected from its core (gauges) and its adapters. gauges returns false if the
// core is overloaded.
func New(gauges func() (query.Gauges, bool), store Store, peers func() map[string]float64) *Metrics {
	r := prometheus.NewRegistry()
	stepOptions := prometheus.HistogramOpts{
		Name: "coralhub_step_seconds",
		Help: "Time of a step, by the type of its input: to handle the input, to run a scheduling cycle if one is due, " +
			"and to start the effects.",
		Buckets: prometheus.ExponentialBuckets(1e-5, 4, 9),
	}
	m := &Metrics{steps: prometheus.NewHistogramVec(stepOptions, []string{"input"})}
	r.MustRegister(m.steps, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		&collector{gauges, store, peers})
	m.handler = promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 5 * time.Second})
	return m
}

func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// ObserveStep records the duration of the step that handled an input, including the start of its effects.
func (m *Metrics) ObserveStep(in msg.Input, took time.Duration) {
	if m != nil {
		m.steps.WithLabelValues(inputLabel(in)).Observe(took.Seconds())
	}
}

// inputLabel returns the label of an input's type. Dashboards depend on the labels, so these must stay as
// first released, even if a type is renamed.
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
