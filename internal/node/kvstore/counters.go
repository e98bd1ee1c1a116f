package kvstore

import (
	"maps"
	"math"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/counter"
)

// counters counts what was asked of the state service since the process began: what became of
// transactions that change something, by turn, and transactions, changes and other requests
// by purpose.
type counters struct {
	accepted, refused [msg.WritePriorities]counter.Counter // by the service
	unsent            [msg.WritePriorities]counter.Counter // their turn would have come too late

	transactions [msg.Purposes]counter.Counter // sent, refused ones too
	changes      [msg.Purposes]counter.Counter // puts and deletes of those that were not refused for the quota

	reads, lists, watches, leases counter.Counter // requests that are no transactions
}

// requests names the requests that are no transactions.
func (t *counters) requests() map[string]*counter.Counter {
	return map[string]*counter.Counter{"read": &t.reads, "list": &t.lists, "watch": &t.watches, "lease": &t.leases}
}

var priorityNames = [msg.WritePriorities]string{msg.Critical: "first", msg.Admission: "accept", msg.Deferrable: "later"}

// Totals tells what became of changes since the process began, by name.
func (s *Store) Totals() map[string]float64 {
	t := &s.counters
	out := map[string]float64{"later_pace": float64(s.deferrableLimiter.limiter.Limit())}
	for i, kind := range priorityNames {
		out[kind+"_taken"] = t.accepted[i].Total()
		out[kind+"_refused"] = t.refused[i].Total()
	}
	return out
}

// Counters tells what became of changes since it was last asked, and how many a
// second those may take that give way. It is for the debug log, which alone asks.
func (s *Store) Counters() []any {
	t := &s.counters
	var out []any
	for i, kind := range priorityNames {
		out = append(out, kind, t.accepted[i].Since(), kind+"_refused", t.refused[i].Since(), kind+"_unsent", t.unsent[i].Since())
	}
	pace := func(p *rateLimiter) float64 { return math.Round(float64(p.limiter.Limit())*10) / 10 }
	return append(out, "later_pace", pace(s.deferrableLimiter), "accept_pace", pace(s.admissionLimiter), "calls_pace", pace(s.requestLimiter))
}

// Requests tells how many requests were sent since the process began, refused ones too, by
// purpose: those of msg.Purpose are transactions, and read, list, watch and lease are not.
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

// Changes tells how many puts and deletes were sent and not refused for the quota since the
// process began, by purpose.
func (s *Store) Changes() map[string]float64 {
	out := map[string]float64{}
	for p := range msg.Purposes {
		out[p.String()] = s.counters.changes[p].Total()
	}
	return out
}

// PurposeTotals tells all of Requests and Changes that is not 0 as a line of the debug log.
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
