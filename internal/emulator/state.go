// Package emulator emulates the systems that coralhub depends on, according to their published protocol:
// the state service, the cloud and the workers. State and Environment take the time as an argument, so
// that a simulation can run them on a simulated clock; Servers serves them over HTTP on the real clock.
package emulator

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"

	"coralhub/wire"
)

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// State emulates the state service: a key-value store with compare-and-swap transactions, leases and
// watches. It is not safe for concurrent use. Methods that return an int return an HTTP status.
type State struct {
	Down bool // simulates an outage, in which every request is answered 503
	// ValueBytes limits the size of values, in bytes of their JSON, and TxnOps the number of changes of a
	// transaction. 0 means no limit.
	ValueBytes, TxnOps int
	Refused            int    // number of transactions that exceeded these limits
	revision           uint64 // of the last change
	keys               map[string]wire.KeyValue
	leases             map[uint64]*lease
	lastLease          uint64
	changes            []wire.Change // in the order of their revisions
	// MinHistory is the minimum number of past changes that watches can still receive; 0 means all.
	MinHistory int
	// Disk stores changes before they are acknowledged. If it is nil, they are kept only in memory.
	Disk *Disk
}

// lease is a client's lease, to which keys can be attached.
type lease struct {
	ttl       Micros
	expiresAt Micros
}

// NewState returns an empty state service.
func NewState() *State {
	return &State{revision: 1, keys: map[string]wire.KeyValue{}, leases: map[uint64]*lease{}}
}

// SetDown begins or ends an outage. Leases don't expire in an outage, and are renewed when it ends.
func (s *State) SetDown(now Micros, down bool) {
	if s.Down && !down {
		for _, l := range s.leases {
			l.expiresAt = now + l.ttl
		}
	}
	s.Down = down
}

// Expire ends the leases that were not renewed in time, and deletes the keys attached to them.
func (s *State) Expire(now Micros) {
	if s.Down {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].expiresAt > now {
			continue
		}
		delete(s.leases, id)
		s.deleteLeaseKeys(id)
	}
}

// deleteLeaseKeys deletes the keys that are attached to a lease, in order, each in a separate revision.
func (s *State) deleteLeaseKeys(lease uint64) {
	var attached []string
	for key, item := range s.keys {
		if item.Lease == lease {
			attached = append(attached, key)
		}
	}
	slices.Sort(attached)
	for _, key := range attached {
		if s.Disk.save(s.revision+1, []wire.Change{{Delete: key}}) != nil {
			continue // Disk.Load deletes the key at the latest
		}
		s.revision++
		delete(s.keys, key)
		s.changes = append(s.changes, wire.Change{Delete: key, Version: s.revision})
	}
}

// Commit commits a transaction if all its conditions hold, and returns the HTTP status.
func (s *State) Commit(t wire.Transaction) (status int, result wire.TransactionResult) {
	if s.Down {
		return http.StatusServiceUnavailable, wire.TransactionResult{}
	}
	failed := s.failedConditions(&t)
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return http.StatusBadRequest, wire.TransactionResult{Error: wire.NoSuchLease}
		}
	}
	if s.exceedsLimits(&t) {
		s.Refused++
		return http.StatusBadRequest, wire.TransactionResult{Error: "too large"}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TransactionResult{FailedKeys: failed, Revision: s.revision}
	}
	if len(t.Changes) == 0 {
		return http.StatusOK, wire.TransactionResult{Revision: s.revision}
	}
	if err := s.Disk.save(s.revision+1, t.Changes); err != nil {
		return http.StatusServiceUnavailable, wire.TransactionResult{Error: err.Error()}
	}
	s.revision++
	s.trimHistory()
	s.applyChanges(t.Changes)
	return http.StatusOK, wire.TransactionResult{Revision: s.revision}
}

// failedConditions returns the keys whose versions are not those of the transaction's conditions.
func (s *State) failedConditions(t *wire.Transaction) []string {
	var failed []string
	for _, c := range t.Conditions {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	return failed
}

// applyChanges applies changes at the current revision.
func (s *State) applyChanges(changes []wire.Change) {
	for _, c := range changes {
		if c.Put != "" {
			s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
			s.changes = append(s.changes, wire.Change{Put: c.Put, Value: c.Value, Version: s.revision})
			continue
		}
		delete(s.keys, c.Delete)
		s.changes = append(s.changes, wire.Change{Delete: c.Delete, Version: s.revision})
	}
}

// trimHistory drops all but the last MinHistory changes, once there are more than twice as many.
func (s *State) trimHistory() {
	if s.MinHistory > 0 && len(s.changes) > 2*s.MinHistory {
		s.changes = append([]wire.Change(nil), s.changes[len(s.changes)-s.MinHistory:]...)
	}
}

// Trimmed reports whether some of the changes after a revision have been dropped from the history.
func (s *State) Trimmed(revision uint64) bool {
	return s.MinHistory > 0 && len(s.changes) >= s.MinHistory && revision+1 < s.changes[0].Version
}

// Page returns the items under a prefix whose keys follow from, in order: at most limit, and at most
// maxPageBytes of keys and values. more reports whether further items follow.
func (s *State) Page(prefix, from string, limit int) (items []wire.KeyValue, more bool) {
	all := s.List(prefix)
	all = all[firstAfter(all, from, func(item wire.KeyValue) string { return item.Key }):]
	size := 0
	for n, item := range all {
		size += len(item.Key) + len(item.Value)
		if n == limit || size > maxPageBytes {
			return all[:n], true
		}
	}
	return all, false
}

// maxPageBytes is the maximum size of a page, in bytes of keys and values.
const maxPageBytes = 512 << 10

// EndLease ends a lease at once, and deletes the keys attached to it. It also returns 200 if there is no
// such lease.
func (s *State) EndLease(now Micros, id uint64) int {
	if s.Down {
		return http.StatusServiceUnavailable
	}
	if l := s.leases[id]; l != nil {
		l.expiresAt = now
		s.Expire(now)
	}
	return http.StatusOK
}

// exceedsLimits reports whether a transaction has too many changes or conditions, or a value that is
// malformed or too large.
func (s *State) exceedsLimits(t *wire.Transaction) bool {
	if s.TxnOps > 0 && (len(t.Changes) > s.TxnOps || len(t.Conditions) > wire.MaxConditionsPerChange*s.TxnOps) {
		return true
	}
	if s.ValueBytes == 0 {
		return false
	}
	for _, c := range t.Changes {
		if c.Put != "" && s.valueTooLarge(c.Value) {
			return true
		}
	}
	return false
}

// valueTooLarge reports whether a value is malformed or its JSON is larger than ValueBytes.
func (s *State) valueTooLarge(value []byte) bool {
	var v any
	if err := wire.Unmarshal(value, &v); err != nil {
		return true
	}
	raw, err := json.Marshal(v)
	return err != nil || len(raw) > s.ValueBytes
}

// Get returns the item of a key, or one of version 0 if the key does not exist.
func (s *State) Get(key string) wire.KeyValue { return s.keys[key] }

// Revision returns the revision of the last change.
func (s *State) Revision() uint64 { return s.revision }

// List returns the items under a prefix, in the order of their keys.
func (s *State) List(prefix string) []wire.KeyValue {
	out := make([]wire.KeyValue, 0, len(s.keys))
	for key, item := range s.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b wire.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// firstAfter returns the index of the first item of a sorted list whose key is greater than limit, or the
// length of the list if there is none. Several items may have the same key.
func firstAfter[T any, K cmp.Ordered](sorted []T, limit K, keyOf func(T) K) int {
	i, _ := slices.BinarySearchFunc(sorted, limit, func(item T, limit K) int {
		if keyOf(item) <= limit {
			return -1
		}
		return 1
	})
	return i
}

// Since returns the changes under a prefix after a revision, without those that have been dropped; see
// Trimmed.
func (s *State) Since(prefix string, revision uint64) []wire.Change {
	newer := s.changes[firstAfter(s.changes, revision, func(c wire.Change) uint64 { return c.Version }):]
	var out []wire.Change
	for _, c := range newer {
		if strings.HasPrefix(c.Put+c.Delete, prefix) {
			out = append(out, c)
		}
	}
	return out
}

// Grant grants a lease and returns the HTTP status and the lease's ID.
func (s *State) Grant(now, ttl Micros) (status int, id uint64) {
	if s.Down {
		return http.StatusServiceUnavailable, 0
	}
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: now + ttl}
	return http.StatusOK, s.lastLease
}

// Extend renews a lease and returns the HTTP status, which is 404 if there is no such lease.
func (s *State) Extend(now Micros, id uint64) int {
	if s.Down {
		return http.StatusServiceUnavailable
	}
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound
	}
	l.expiresAt = now + l.ttl
	return http.StatusOK
}
