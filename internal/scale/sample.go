package scale

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"coralhub/internal/hollow"
	"coralhub/internal/node/metrics"
)

// sample is a measurement of a region's processes at one time.
type sample struct {
	at          time.Time
	controllers []controllerSample
	hosts       []hostSample
	requests    int // to the state service, as counted by its emulator
	refused     int
	revision    uint64
}

// controllerSample is a measurement of a controller.
type controllerSample struct {
	cpu       time.Duration
	memoryMB  float64
	files     int
	isLeader  bool
	requests  map[string]float64 // to the state service, by purpose
	changes   map[string]float64
	forwarded float64            // heartbeats forwarded to the leader
	steps     map[string]float64 // seconds spent in steps of the state machine, by type of input
	inputs    map[string]float64 // number of steps of the state machine, by type of input
	machines  map[string]float64 // by state, as counted by the leader
	waiting   float64            // waiting jobs, as counted by the leader
	heapMB    float64
}

// hostSample is a measurement of a process of hollow workers.
type hostSample struct {
	cpu      time.Duration
	memoryMB float64
	usage    hollow.Usage
}

// sampleTimeout is the timeout of sampling all processes of a region.
const sampleTimeout = 10 * time.Second

// sample measures all processes of the region.
func (r *region) sample(ctx context.Context) (sample, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	result := sample{at: time.Now()}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for _, c := range r.controllers {
		s := controllerSample{cpu: c.CPU(), memoryMB: c.Measure(), files: c.Files()}
		page, err := scrape(ctx, client, c.listen)
		if err != nil {
			return result, fmt.Errorf("read metrics of %s: %w", c.name, err)
		}
		page.fill(&s)
		result.controllers = append(result.controllers, s)
	}
	for _, h := range r.hosts {
		h.enqueue(hollow.Command{Usage: true})
		select {
		case usage := <-h.usage:
			result.hosts = append(result.hosts, hostSample{cpu: h.CPU(), memoryMB: h.Measure(), usage: usage})
		case <-h.Done():
			return result, fmt.Errorf("%s: a process of hollow workers has exited", r.name)
		case <-ctx.Done():
			return result, fmt.Errorf("%s: read usage of hollow workers: %w", r.name, ctx.Err())
		}
	}
	r.servers.WithLock(func() {
		result.requests = r.servers.Requests
		result.refused = r.servers.Refused
		result.revision = r.servers.State.Revision()
	})
	return result, nil
}

// metricsPage holds the metrics of a controller, by name.
type metricsPage map[string]*dto.MetricFamily

// scrape reads a controller's metrics.
func scrape(ctx context.Context, client *http.Client, address string) (metricsPage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metrics.Path, nil)
	if err != nil {
		return nil, err
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected status %d", res.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(res.Body)
}

// fill sets the fields of a sample that come from the metrics.
func (p metricsPage) fill(s *controllerSample) {
	s.isLeader = p.sum("coralhub_leading") == 1
	s.requests = p.by("coralhub_state_requests_total", "purpose")
	s.changes = p.by("coralhub_state_changes_total", "purpose")
	s.forwarded = p.by("coralhub_reports_total", "what")["handed"]
	s.machines = p.by("coralhub_machines", "state")
	s.waiting = p.sum("coralhub_waiting_jobs")
	s.heapMB = p.sum("go_memstats_heap_alloc_bytes") / (1 << 20)
	s.steps, s.inputs = map[string]float64{}, map[string]float64{}
	for _, m := range p["coralhub_step_seconds"].GetMetric() {
		input := label(m, "input")
		s.steps[input] = m.GetHistogram().GetSampleSum()
		s.inputs[input] = float64(m.GetHistogram().GetSampleCount())
	}
}

// by returns the sums of a metric's values for each value of a label.
func (p metricsPage) by(family, name string) map[string]float64 {
	values := map[string]float64{}
	for _, m := range p[family].GetMetric() {
		values[label(m, name)] += value(m)
	}
	return values
}

// sum returns the sum of a metric's values over all labels.
func (p metricsPage) sum(family string) float64 {
	sum := 0.0
	for _, m := range p[family].GetMetric() {
		sum += value(m)
	}
	return sum
}

// label returns the value of a label, or "" if the metric does not have it.
func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// value returns the value of a counter, gauge or untyped metric.
func value(m *dto.Metric) float64 {
	return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
}
