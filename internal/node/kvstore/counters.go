package kvstore

import (
	"maps"
	"math"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/counter"
)

// counters count requests to the state service since the start of the process: transactions by priority
// and result, and transactions, changes and other requests by purpose.
type counters struct {
	accepted [msg.WritePriorities]counter.Counter // transactions with changes only
	refused  [msg.WritePriorities]counter.Counter // by the service, because its quota was exceeded
	unsent   [msg.WritePriorities]counter.Counter // not permitted by the rate limiters before the time-out

	transactions [msg.Purposes]counter.Counter // sent, including refused ones
	changes      [msg.Purposes]counter.Counter // in transactions that were not refused for the quota

	reads, lists, watches, leases counter.Counter // requests that are not transactions
}

// requests returns the counters of requests that are not transactions, by name.
func (c *counters) requests() map[string]*counter.Counter {
	return map[string]*counter.Counter{"read": &c.reads, "list": &c.lists, "watch": &c.watches, "lease": &c.leases}
}

// priorityNames are the names of priorities in metrics and logs. Dashboards depend on them.
var priorityNames = [msg.WritePriorities]string{msg.Critical: "first", msg.Admission: "accept", msg.Deferrable: "later"}

// Totals returns, by name, the numbers of accepted transactions with changes and of refused transactions
// since the start of the process, and the current rate limit of deferrable changes (later_pace, per second).
func (s *Store) Totals() map[string]float64 {
	out := map[string]float64{"later_pace": float64(s.deferrableLimiter.limiter.Limit())}
	for i, name := range priorityNames {
		out[name+"_taken"] = s.counters.accepted[i].Total()
		out[name+"_refused"] = s.counters.refused[i].Total()
	}
	return out
}

// Counters returns key-value pairs for the debug log: the numbers of accepted, refused and unsent
// transactions since the last call, and the current rate limits per second. It is not safe for concurrent use.
func (s *Store) Counters() []any {
	var out []any
	for i, name := range priorityNames {
		out = append(out,
			name, s.counters.accepted[i].Delta(),
			name+"_refused", s.counters.refused[i].Delta(),
			name+"_unsent", s.counters.unsent[i].Delta())
	}
	rounded := func(l *rateLimiter) float64 { return math.Round(float64(l.limiter.Limit())*10) / 10 }
	return append(out,
		"later_pace", rounded(s.deferrableLimiter),
		"accept_pace", rounded(s.admissionLimiter),
		"calls_pace", rounded(s.requestLimiter))
}

// Requests returns the numbers of requests sent since the start of the process, including refused ones.
// Transactions are counted by their msg.Purpose, other requests under read, list, watch and lease.
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

// Changes returns the numbers of puts and deletes that were sent and not refused for the quota since the
// start of the process, by purpose.
func (s *Store) Changes() map[string]float64 {
	out := map[string]float64{}
	for p := range msg.Purposes {
		out[p.String()] = s.counters.changes[p].Total()
	}
	return out
}

// PurposeTotals returns Requests and Changes as key-value pairs for the debug log, without zero values.
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
