package metrics

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"coralhub/internal/core/msg"
	"coralhub/internal/core/query"
	"coralhub/internal/core/slo"
	"coralhub/internal/golden"
)

type fixedStore struct{}

func (fixedStore) Totals() map[string]float64 {
	return map[string]float64{"later_pace": 1, "first_taken": 2}
}
func (fixedStore) Requests() map[string]float64 { return map[string]float64{"read": 1} }
func (fixedStore) Changes() map[string]float64  { return map[string]float64{"accept": 1} }

// Dashboards and alerts depend on the names of metrics and labels, which must stay as recorded.
func TestMetricNames(t *testing.T) {
	var gauges query.Gauges
	gauges.Waiting, gauges.Machines = map[string]int{"train": 1}, map[string]int{"usable": 2}
	gauges.Usage = []query.UsageRow{{Team: "red", Class: "train", Kind: "batch"}}
	shares := slo.Attainment{
		Class:   map[string]slo.Ratio{"train": {}},
		Team:    map[string]slo.Ratio{"red": {}},
		Largest: map[string]slo.Ratio{"train": {}},
	}
	gauges.CompletedInTime, gauges.StartedInTime = shares, shares
	coreGauges := func() (query.Gauges, bool) { return gauges, true }
	peerTotals := func() map[string]float64 { return map[string]float64{"handed": 1} }
	m := New(coreGauges, fixedStore{}, peerTotals)
	for _, in := range []msg.Input{
		msg.Tick{}, msg.Snapshot{}, msg.Changed{}, msg.CommitDone{}, msg.ReadDone{}, msg.LeaseDone{},
		msg.HeartbeatIn{}, msg.CommandDone{}, msg.CatalogDone{}, msg.ListDone{}, msg.ScaleOutDone{},
		msg.ScaleInDone{}, msg.SubmitIn{}, msg.PollIn{}, msg.CancelIn{}, msg.ForwardDone{},
		msg.HeartbeatBatchIn{}, msg.HeartbeatBatchDone{}, msg.PeerAlive{}, msg.PeerUpdate{}, msg.AdminIn{},
	} {
		m.ObserveStep(in, time.Millisecond)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", Path, nil))
	var names []string
	for line := range strings.Lines(w.Body.String()) {
		name, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "coralhub_") && !strings.Contains(name, `le="`) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	golden.Check(t, "names.txt", strings.Join(names, "\n")+"\n")
	var purposes []string
	for p := range msg.Purposes {
		purposes = append(purposes, p.String())
	}
	golden.Check(t, "purposes.txt", strings.Join(purposes, "\n")+"\n")
}
