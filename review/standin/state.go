//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// State is a stand-in of the state service. It holds any MessagePack value, null included, and enforces all
// limits of the page: requests and changes per second, size of a value, changes and conditions of a
// transaction, and 64 KiB for a transaction in total (as JSON).
type State struct {
	mu        sync.Mutex
	rev       uint64
	keys      map[string]item
	history   []event
	leases    map[uint64]*lease
	lastLease uint64
	wake      chan struct{}

	valueBytes, txnOps int
	requests, writes   *rate.Limiter
	latency            time.Duration
	down               bool

	// OnCommit is called with each transaction that is refused as malformed; size is that of its JSON.
	OnMalformed func(reason string, size int, puts []string)
	OnLeader    func(node string)
	OnLarge     func(size, guards, changes int)
}

type item struct {
	Data    any
	Stamp   uint64
	Tenancy uint64
}

type event struct {
	key   string
	data  any
	put   bool
	stamp uint64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

const (
	historyLength   = 10_000
	maxTransaction  = 64 << 10
	maxPageBytes    = 512 << 10
	maxItemsPerPage = 1000
)

func newState(valueKB float64, txnOps int, rps, writeRPS float64, latency time.Duration) *State {
	return &State{
		rev: 1, keys: map[string]item{}, leases: map[uint64]*lease{}, wake: make(chan struct{}),
		valueBytes: int(valueKB * 1024), txnOps: txnOps, latency: latency,
		requests: rate.NewLimiter(rate.Limit(rps), int(rps)),
		writes:   rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS)),
	}
}

func decodeBody(r *http.Request) (map[string]any, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	d := msgpack.NewDecoder(bytes.NewReader(raw))
	v, err := d.DecodeInterface()
	if err != nil {
		return nil, err
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("not a map")
	}
	return m, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		status, raw = 500, nil
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func asUint(v any) uint64 {
	switch x := v.(type) {
	case int8:
		return uint64(x)
	case int16:
		return uint64(x)
	case int32:
		return uint64(x)
	case int64:
		return uint64(x)
	case uint8:
		return uint64(x)
	case uint16:
		return uint64(x)
	case uint32:
		return uint64(x)
	case uint64:
		return x
	case float64:
		return uint64(x)
	}
	return 0
}

func asText(v any) string { s, _ := v.(string); return s }

func jsonBytes(v any) int {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if e.Encode(v) != nil {
		return 1 << 30
	}
	return b.Len() - 1
}

// expire ends leases whose time is over. s.mu must be held.
func (s *State) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.keys {
		if it.Tenancy == id {
			s.rev++
			delete(s.keys, k)
			s.record(event{key: k, stamp: s.rev})
		}
	}
}

func (s *State) record(e event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyLength {
		s.history = slices.Clone(s.history[len(s.history)-historyLength:])
	}
	close(s.wake)
	s.wake = make(chan struct{})
	if e.key == "ch/leader" && s.OnLeader != nil {
		m, _ := e.data.(map[string]any)
		s.OnLeader(asText(m["node"]))
	}
}

// Leader returns the node that holds the leader key.
func (s *State) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, _ := s.keys["ch/leader"].Data.(map[string]any)
	return asText(m["node"])
}

func (s *State) run(stop <-chan struct{}) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}
}

func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	if !s.requests.Allow() {
		answer(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	p := r.URL.Path
	switch {
	case r.Method == "POST" && p == "/commit":
		s.commit(w, r)
	case r.Method == "GET" && p == "/store":
		s.list(w, r)
	case r.Method == "GET" && strings.HasPrefix(p, "/store/"):
		s.get(w, strings.TrimPrefix(p, "/store/"))
	case r.Method == "GET" && p == "/changes":
		s.changes(w, r)
	case r.Method == "POST" && p == "/leases":
		m, err := decodeBody(r)
		if err != nil {
			answer(w, 400, map[string]any{"error": "malformed"})
			return
		}
		s.mu.Lock()
		s.lastLease++
		ttl := time.Duration(asUint(m["ttl_ms"])) * time.Millisecond
		s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
		id := s.lastLease
		s.mu.Unlock()
		answer(w, 200, map[string]any{"tenancy": id})
	case strings.HasPrefix(p, "/leases/"):
		parts := strings.Split(strings.TrimPrefix(p, "/leases/"), "/")
		id, _ := strconv.ParseUint(parts[0], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		switch {
		case r.Method == "DELETE":
			s.endLease(id)
			answer(w, 200, map[string]any{})
		case l == nil:
			answer(w, 404, map[string]any{"error": "no such lease"})
		default:
			l.end = time.Now().Add(l.ttl)
			answer(w, 200, map[string]any{"tenancy": id})
		}
	default:
		answer(w, 400, map[string]any{"error": "malformed"})
	}
}

func (s *State) malformed(w http.ResponseWriter, reason string, m map[string]any) {
	if s.OnMalformed != nil {
		var puts []string
		changes, _ := m["apply"].([]any)
		for _, c := range changes {
			cm, _ := c.(map[string]any)
			if k := asText(cm["write"]); k != "" {
				puts = append(puts, k)
			}
		}
		s.OnMalformed(reason, jsonBytes(m), puts)
	}
	answer(w, 400, map[string]any{"error": reason})
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	m, err := decodeBody(r)
	if err != nil {
		s.malformed(w, "malformed", nil)
		return
	}
	guards, _ := m["guards"].([]any)
	changes, _ := m["apply"].([]any)
	if n := len(changes); n > 0 && !s.writes.AllowN(time.Now(), n) {
		answer(w, 429, map[string]any{"error": "too many changes"})
		return
	}
	switch {
	case len(changes) > s.txnOps:
		s.malformed(w, "too many changes in a transaction", m)
		return
	case len(guards) > 4*s.txnOps:
		s.malformed(w, "too many guards in a transaction", m)
		return
	case jsonBytes(m) > maxTransaction:
		s.malformed(w, "transaction larger than 64 KiB", m)
		return
	}
	for _, c := range changes {
		cm, _ := c.(map[string]any)
		if asText(cm["write"]) != "" && jsonBytes(cm["data"]) > s.valueBytes {
			s.malformed(w, "value too large", m)
			return
		}
	}
	if s.OnLarge != nil {
		if size := jsonBytes(m); size > 16<<10 {
			s.OnLarge(size, len(guards), len(changes))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range changes {
		cm, _ := c.(map[string]any)
		if t := asUint(cm["tenancy"]); t != 0 && s.leases[t] == nil {
			answer(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, g := range guards {
		gm, _ := g.(map[string]any)
		if k := asText(gm["k"]); s.keys[k].Stamp != asUint(gm["stamp"]) {
			failed = append(failed, k)
		}
	}
	if len(failed) > 0 {
		answer(w, 409, map[string]any{"failed": failed, "ledger_rev": s.rev})
		return
	}
	if len(changes) > 0 {
		s.rev++
		for _, c := range changes {
			cm, _ := c.(map[string]any)
			if k := asText(cm["write"]); k != "" {
				s.keys[k] = item{cm["data"], s.rev, asUint(cm["tenancy"])}
				s.record(event{key: k, data: cm["data"], put: true, stamp: s.rev})
				continue
			}
			k := asText(cm["delete"])
			delete(s.keys, k)
			s.record(event{key: k, stamp: s.rev})
		}
	}
	answer(w, 200, map[string]any{"ledger_rev": s.rev})
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.keys[key]
	if !ok {
		answer(w, 404, map[string]any{"ledger_rev": s.rev})
		return
	}
	answer(w, 200, map[string]any{"k": key, "data": it.Data, "stamp": it.Stamp, "tenancy": it.Tenancy})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, err := strconv.Atoi(q.Get("most"))
	if err != nil || most <= 0 || most > maxItemsPerPage {
		most = maxItemsPerPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("from") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	rows, size, more := []any{}, 0, false
	for _, k := range names {
		it := s.keys[k]
		row := map[string]any{"k": k, "data": it.Data, "stamp": it.Stamp, "tenancy": it.Tenancy}
		size += jsonBytes(row)
		if len(rows) == most || len(rows) > 0 && size > maxPageBytes {
			more = true
			break
		}
		rows = append(rows, row)
	}
	answer(w, 200, map[string]any{"rows": rows, "has_next": more, "ledger_rev": s.rev})
}

func (s *State) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(max(waitMS, 0), 60_000)) * time.Millisecond)
	defer end.Stop()
	over := waitMS <= 0
	for {
		s.mu.Lock()
		s.expire()
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].stamp > from })
		tooOld := len(s.history) >= historyLength && i == 0 && s.history[0].stamp > from+1
		news := []any{}
		for _, e := range s.history[i:] {
			switch {
			case !strings.HasPrefix(e.key, q.Get("under")):
			case e.put:
				news = append(news, map[string]any{"write": e.key, "data": e.data, "stamp": e.stamp})
			default:
				news = append(news, map[string]any{"delete": e.key, "stamp": e.stamp})
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		switch {
		case tooOld:
			answer(w, 410, map[string]any{"error": "too old"})
			return
		case len(news) > 0 || over:
			answer(w, 200, map[string]any{"ledger_rev": rev, "news": news})
			return
		}
		select {
		case <-wake:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// Sizes returns the number and the JSON size of the values under a prefix, the largest first.
func (s *State) Sizes(prefix string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sizes []int
	for k, it := range s.keys {
		if strings.HasPrefix(k, prefix) {
			sizes = append(sizes, jsonBytes(it.Data))
		}
	}
	sort.Sort(sort.Reverse(sort.IntSlice(sizes)))
	return sizes
}

// Dump returns the JSON of a key's value.
func (s *State) Dump(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, _ := json.Marshal(s.keys[key].Data)
	return string(raw)
}
