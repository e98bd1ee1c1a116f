// Package emulator plays the systems that coralhub depends on, by their
// published protocol: the state service, the cloud and the workers. The models
// take the time as an argument, so that a scenario can run them on a made-up
// clock; Servers puts them behind HTTP.
package emulator

import (
	"encoding/json"
	"sort"
	"strings"

	"coralhub/wire"
)

// Micros is a time in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// State is a state service.
type State struct {
	Down bool // an outage: everybody gets 503
	// Limits of values, in bytes of their JSON, and of changes a transaction; 0: none.
	ValueBytes, TxnOps int
	Refused            int // transactions that went beyond a limit
	rev                uint64
	keys               map[string]wire.KeyValue
	leases             map[uint64]*lease
	next               uint64
	changes            []wire.Change
	// Keep is how many changes a watch can go back; 0 means all.
	Keep int
	// Disk keeps what is committed, before it is answered; nil: nothing does.
	Disk *Disk
}

type lease struct {
	ttl, until Micros
}

// NewState returns an empty state service.
func NewState() *State {
	return &State{rev: 1, keys: map[string]wire.KeyValue{}, leases: map[uint64]*lease{}}
}

// SetDown begins or ends an outage. After it every lease has its full time.
func (s *State) SetDown(now Micros, down bool) {
	if s.Down && !down {
		for _, l := range s.leases {
			l.until = now + l.ttl
		}
	}
	s.Down = down
}

// Expire ends the leases that were not renewed in time.
func (s *State) Expire(now Micros) {
	if s.Down {
		return
	}
	ids := make([]uint64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		if s.leases[id].until > now {
			continue
		}
		delete(s.leases, id)
		var gone []string
		for k, it := range s.keys {
			if it.Lease == id {
				gone = append(gone, k)
			}
		}
		sort.Strings(gone)
		for _, k := range gone {
			if s.Disk.save(s.rev+1, []wire.Change{{Delete: k}}) != nil {
				continue // it goes with the next restart at the latest
			}
			s.rev++
			delete(s.keys, k)
			s.changes = append(s.changes, wire.Change{Delete: k, Version: s.rev})
		}
	}
}

// Commit carries out a transaction and returns the HTTP status.
func (s *State) Commit(t wire.Transaction) (int, wire.TransactionResult) {
	if s.Down {
		return 503, wire.TransactionResult{}
	}
	var failed []string
	for _, g := range t.Conditions {
		if s.keys[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 400, wire.TransactionResult{Error: wire.NoSuchLease}
		}
	}
	if s.violatedLimits(&t) {
		s.Refused++
		return 400, wire.TransactionResult{Error: "too large"}
	}
	if len(failed) > 0 {
		return 409, wire.TransactionResult{Failed: failed, Revision: s.rev}
	}
	if len(t.Changes) == 0 {
		return 200, wire.TransactionResult{Revision: s.rev}
	}
	if err := s.Disk.save(s.rev+1, t.Changes); err != nil {
		return 503, wire.TransactionResult{Error: err.Error()}
	}
	s.rev++
	s.trimHistory()
	for _, c := range t.Changes {
		if c.Put != "" {
			s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, Version: s.rev, Lease: c.Lease}
			s.changes = append(s.changes, wire.Change{Put: c.Put, Value: c.Value, Version: s.rev})
		} else {
			delete(s.keys, c.Delete)
			s.changes = append(s.changes, wire.Change{Delete: c.Delete, Version: s.rev})
		}
	}
	return 200, wire.TransactionResult{Revision: s.rev}
}

// trimHistory drops changes that watches can't ask for any more, some at a time.
func (s *State) trimHistory() {
	if s.Keep > 0 && len(s.changes) > 2*s.Keep {
		s.changes = append([]wire.Change(nil), s.changes[len(s.changes)-s.Keep:]...)
	}
}

// Lost tells whether changes after a revision are not kept any more.
func (s *State) Lost(rev uint64) bool {
	return s.Keep > 0 && len(s.changes) >= s.Keep && rev+1 < s.changes[0].Version
}

// Page returns keys under a prefix, in order, after a key: at most so many.
func (s *State) Page(prefix, from string, most int) (items []wire.KeyValue, more bool) {
	all := s.List(prefix)
	i := sort.Search(len(all), func(i int) bool { return all[i].Key > from })
	all = all[i:]
	size := 0
	for n, it := range all {
		if size += len(it.Key) + len(it.Value); n == most || size > maxPageBytes {
			return all[:n], true
		}
	}
	return all, false
}

// maxPageBytes bounds a page of keys.
const maxPageBytes = 512 << 10

// EndLease ends a lease at once.
func (s *State) EndLease(now Micros, id uint64) int {
	if s.Down {
		return 503
	}
	if l := s.leases[id]; l != nil {
		l.until = now
		s.Expire(now)
	}
	return 200
}

// violatedLimits tells whether a transaction goes beyond the limits.
func (s *State) violatedLimits(t *wire.Transaction) bool {
	if s.TxnOps > 0 && (len(t.Changes) > s.TxnOps || len(t.Conditions) > wire.ConditionsPerChange*s.TxnOps) {
		return true
	}
	if s.ValueBytes == 0 {
		return false
	}
	for _, c := range t.Changes {
		var v any
		if c.Put == "" {
			continue
		}
		if err := wire.Unmarshal(c.Value, &v); err != nil {
			return true
		}
		if raw, err := json.Marshal(v); err != nil || len(raw) > s.ValueBytes {
			return true
		}
	}
	return false
}

// Get returns a key; its version is 0 if there is none.
func (s *State) Get(key string) wire.KeyValue { return s.keys[key] }

// Revision counts the changes.
func (s *State) Revision() uint64 { return s.rev }

// List returns the keys under a prefix, in order.
func (s *State) List(prefix string) []wire.KeyValue {
	out := make([]wire.KeyValue, 0, len(s.keys))
	for k, it := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Since returns the changes under a prefix after a revision.
func (s *State) Since(prefix string, rev uint64) []wire.Change {
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > rev })
	var out []wire.Change
	for _, c := range s.changes[i:] {
		if strings.HasPrefix(c.Put+c.Delete, prefix) {
			out = append(out, c)
		}
	}
	return out
}

// Grant gives a lease.
func (s *State) Grant(now, ttl Micros) (int, uint64) {
	if s.Down {
		return 503, 0
	}
	s.next++
	s.leases[s.next] = &lease{ttl, now + ttl}
	return 200, s.next
}

// Extend renews a lease.
func (s *State) Extend(now Micros, id uint64) int {
	if s.Down {
		return 503
	}
	l := s.leases[id]
	if l == nil {
		return 404
	}
	l.until = now + l.ttl
	return 200
}
