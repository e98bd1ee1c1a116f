// Package metrics exposes a node to Prometheus. What the core counts is collected when somebody asks for it, so that it
// costs nothing otherwise.
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

// Path is where the metrics are served.
const Path = "/metrics"

// Metrics is a node's registry. A nil Metrics ignores observations.
type Metrics struct {
	handler http.Handler
	steps   *prometheus.HistogramVec
}

// Store counts requests to the state service by name, since the process began.
type Store interface {
	Totals() map[string]float64   // transactions by priority and result
	Requests() map[string]float64 // by purpose
	Changes() map[string]float64  // puts and deletes, by purpose
}

// New returns the metrics of a node: what its core and adapters count.
func New(gauges func() (query.Gauges, bool), store Store, peers func() map[string]float64) *Metrics {
	r := prometheus.NewRegistry()
	stepOptions := prometheus.HistogramOpts{
		Name:    "coralhub_step_seconds",
		Help:    "Time that the core took for an input, by kind; a pass is part of the input that it followed.",
		Buckets: prometheus.ExponentialBuckets(1e-5, 4, 9),
	}
	m := &Metrics{steps: prometheus.NewHistogramVec(stepOptions, []string{"input"})}
	r.MustRegister(m.steps, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		&collector{gauges, store, peers})
	m.handler = promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 5 * time.Second})
	return m
}

func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// ObserveStep takes how long the core took for an input.
func (m *Metrics) ObserveStep(in msg.Input, took time.Duration) {
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
