package kvstore

import (
	"maps"
	"math"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/counter"
)

// counters count requests to the state service since the process began: transactions with changes by
// priority and result, and transactions, changes and other requests by purpose.
type counters struct {
	accepted [msg.WritePriorities]counter.Counter
	refused  [msg.WritePriorities]counter.Counter // by the service, for its quota
	unsent   [msg.WritePriorities]counter.Counter // the limiter had no quota for them in time

	transactions [msg.Purposes]counter.Counter // sent, refused ones too
	changes      [msg.Purposes]counter.Counter // of transactions that were not refused for the quota

	reads, lists, watches, leases counter.Counter // requests that are not transactions
}

// requests names the requests that are not transactions.
func (c *counters) requests() map[string]*counter.Counter {
	return map[string]*counter.Counter{"read": &c.reads, "list": &c.lists, "watch": &c.watches, "lease": &c.leases}
}

// priorityNames are the names of priorities in metrics and logs. Dashboards go by them.
var priorityNames = [msg.WritePriorities]string{msg.Critical: "first", msg.Admission: "accept", msg.Deferrable: "later"}

// Totals returns what became of transactions with changes since the process began, by name, and
// the present rate of deferrable changes (later_pace, a second).
func (s *Store) Totals() map[string]float64 {
	out := map[string]float64{"later_pace": float64(s.deferrableLimiter.limiter.Limit())}
	for i, name := range priorityNames {
		out[name+"_taken"] = s.counters.accepted[i].Total()
		out[name+"_refused"] = s.counters.refused[i].Total()
	}
	return out
}

// Counters returns key-value pairs for the debug log: what became of transactions since the last call,
// and the present rates a second. One goroutine may call it.
func (s *Store) Counters() []any {
	var out []any
	for i, name := range priorityNames {
		out = append(out,
			name, s.counters.accepted[i].Since(),
			name+"_refused", s.counters.refused[i].Since(),
			name+"_unsent", s.counters.unsent[i].Since())
	}
	rounded := func(l *rateLimiter) float64 { return math.Round(float64(l.limiter.Limit())*10) / 10 }
	return append(out,
		"later_pace", rounded(s.deferrableLimiter),
		"accept_pace", rounded(s.admissionLimiter),
		"calls_pace", rounded(s.requestLimiter))
}

// Requests returns how many requests were sent since the process began, refused ones too, by purpose:
// those of msg.Purpose are transactions; read, list, watch and lease are not.
func (s *Store) Requests() map[string]float64 {
	out := map[string]float64{}
	for name, c := range s.counters.requests() {
		out[name] = c.Total()
	}
	for p := range msg.Purposes {
		out[p.String()] = s.counters.transactions[p].Total()
	}
	return out
}

// Changes returns how many puts and deletes were sent and not refused for the quota since the process
// began, by purpose.
func (s *Store) Changes() map[string]float64 {
	out := map[string]float64{}
	for p := range msg.Purposes {
		out[p.String()] = s.counters.changes[p].Total()
	}
	return out
}

// PurposeTotals returns Requests and Changes as key-value pairs for the debug log, without those that
// are 0.
func (s *Store) PurposeTotals() []any {
	var out []any
	add := func(kind string, totals map[string]float64) {
		for _, name := range slices.Sorted(maps.Keys(totals)) {
			if totals[name] > 0 {
				out = append(out, kind+"_"+name, totals[name])
			}
		}
	}
	add("requests", s.Requests())
	add("changes", s.Changes())
	return out
}
