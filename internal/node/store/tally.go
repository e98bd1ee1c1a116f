package store

import (
	"maps"
	"math"
	"slices"

	"coralhub/internal/core/msg"
	"coralhub/internal/node/count"
)

// tally counts what was asked of the state service since the process began: what became of
// transactions that change something, by turn, and transactions, changes and other requests
// by purpose.
type tally struct {
	taken, refused [msg.Turns]count.Counter // by the service
	unsent         [msg.Turns]count.Counter // their turn would have come too late

	transactions [msg.Purposes]count.Counter // sent, refused ones too
	changes      [msg.Purposes]count.Counter // puts and deletes of those that were not refused for the quota

	reads, lists, watches, leases count.Counter // requests that are no transactions
}

// requests names the requests that are no transactions.
func (t *tally) requests() map[string]*count.Counter {
	return map[string]*count.Counter{"read": &t.reads, "list": &t.lists, "watch": &t.watches, "lease": &t.leases}
}

var turns = [msg.Turns]string{msg.First: "first", msg.Accept: "accept", msg.Later: "later"}

// Totals tells what became of changes since the process began, by name.
func (s *Store) Totals() map[string]float64 {
	t := &s.tally
	out := map[string]float64{"later_pace": float64(s.later.limiter.Limit())}
	for i, kind := range turns {
		out[kind+"_taken"] = t.taken[i].Total()
		out[kind+"_refused"] = t.refused[i].Total()
	}
	return out
}

// Counters tells what became of changes since it was last asked, and how many a
// second those may take that give way. It is for the debug log, which alone asks.
func (s *Store) Counters() []any {
	t := &s.tally
	var out []any
	for i, kind := range turns {
		out = append(out, kind, t.taken[i].Since(), kind+"_refused", t.refused[i].Since(), kind+"_unsent", t.unsent[i].Since())
	}
	pace := func(p *paced) float64 { return math.Round(float64(p.limiter.Limit())*10) / 10 }
	return append(out, "later_pace", pace(s.later), "accept_pace", pace(s.accept), "calls_pace", pace(s.calls))
}

// Requests tells how many requests were sent since the process began, refused ones too, by
// purpose: those of msg.Purpose are transactions, and read, list, watch and lease are not.
func (s *Store) Requests() map[string]float64 {
	out := map[string]float64{}
	for name, c := range s.tally.requests() {
		out[name] = c.Total()
	}
	for p := range msg.Purposes {
		out[p.String()] = s.tally.transactions[p].Total()
	}
	return out
}

// Changes tells how many puts and deletes were sent and not refused for the quota since the
// process began, by purpose.
func (s *Store) Changes() map[string]float64 {
	out := map[string]float64{}
	for p := range msg.Purposes {
		out[p.String()] = s.tally.changes[p].Total()
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
