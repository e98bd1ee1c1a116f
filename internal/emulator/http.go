package emulator

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coralhub/internal/wait"
	"coralhub/wire"
)

// Servers puts the stand-ins behind HTTP, on the real clock.
type Servers struct {
	mu          sync.Mutex
	State       *State
	Environment *Environment
	Nodes       []string // addresses that workers report to
	Names       []string // and the nodes' names, which redirections give
	// Failed hears why a report was not answered; nil: nobody does. It is called by several goroutines.
	Failed func(error)
	// Requests counts what was asked of the state service and refused for its quota.
	Requests, Refused int

	start  time.Time
	wake   chan struct{}
	calls  *rate.Limiter // of the state service
	writes *rate.Limiter
	cloud  *rate.Limiter
	delay  time.Duration // of the state service
	repeat float64       // reports come again up to so many seconds later; 0: they don't
}

// NewServers returns stand-ins without quotas.
func NewServers() *Servers {
	return &Servers{State: NewState(), Environment: NewEnvironment(), start: time.Now(), wake: make(chan struct{}),
		calls: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0), cloud: rate.NewLimiter(rate.Inf, 0)}
}

// SetQuotas has the state service and the cloud refuse more than so many requests and
// changes a second, with bursts of one second's worth, two of the cloud's.
func (s *Servers) SetQuotas(calls, writes, cloud float64) {
	for _, q := range []struct {
		l     *rate.Limiter
		limit float64
		burst float64
	}{{s.calls, calls, calls}, {s.writes, writes, writes}, {s.cloud, cloud, 2 * cloud}} {
		q.l.SetLimit(rate.Limit(q.limit))
		q.l.SetBurst(max(1, int(q.burst)))
	}
}

// Delay has the state service take so much longer for each answer.
func (s *Servers) Delay(d time.Duration) { s.With(func() { s.delay = d }) }

// Repeat has copies of reports come again, each up to so many seconds later and at any node;
// 0: none do.
func (s *Servers) Repeat(withinS float64) { s.With(func() { s.repeat = withinS }) }

// Now is the time that the stand-ins go by.
func (s *Servers) Now() Micros { return time.Since(s.start).Microseconds() + 1 }

// With calls f while nothing else happens to the stand-ins.
func (s *Servers) With(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func write(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func read(r *http.Request, v any) bool {
	raw, err := io.ReadAll(r.Body)
	return err == nil && wire.Unmarshal(raw, v) == nil
}

// admit counts a request and refuses it beyond the quota, or in an outage.
func (s *Servers) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, delay := s.State.Down, s.delay
		s.Requests++
		s.mu.Unlock()
		if delay > 0 {
			wait.For(r.Context(), delay)
		}
		switch {
		case down && !strings.HasPrefix(r.URL.Path, wire.PathChanges): // open watches stay open
			write(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		case !s.calls.Allow():
			s.refuse(w)
		default:
			next(w, r)
		}
	}
}

func (s *Servers) refuse(w http.ResponseWriter) {
	s.With(func() { s.Refused++ })
	write(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
}

// StateHandler serves the state service.
func (s *Servers) StateHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, s.admit(h)) }
	handle("POST "+wire.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var t wire.Transaction
		if !read(r, &t) {
			write(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		if n := len(t.Changes); n > 0 && !s.writes.AllowN(time.Now(), n) {
			s.refuse(w)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		status, a := s.State.Commit(t)
		s.wakeWatchers()
		write(w, status, a)
	})
	handle("GET "+wire.PathStore, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, err := strconv.Atoi(q.Get("most"))
		if err != nil || most <= 0 || most > wire.MaxRows {
			most = wire.MaxRows
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		items, more := s.State.Page(q.Get("under"), q.Get("from"), most)
		write(w, http.StatusOK, wire.KeyValuePage{Items: items, More: more, Revision: s.State.Revision()})
	})
	handle("GET "+wire.PathStore+"/{key...}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if it := s.State.Get(r.PathValue("key")); it.Version != 0 {
			write(w, http.StatusOK, it)
			return
		}
		write(w, http.StatusNotFound, wire.TransactionResult{Revision: s.State.Revision()})
	})
	handle("POST "+wire.PathLeases, func(w http.ResponseWriter, r *http.Request) {
		var q wire.LeaseRequest
		if !read(r, &q) || q.TTLms < 100 || q.TTLms > 600_000 {
			write(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		status, id := s.State.Grant(s.Now(), q.TTLms*1000)
		write(w, status, wire.LeaseGrant{Lease: id})
	})
	lease := func(do func(now Micros, id uint64) int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // no such lease otherwise
			s.mu.Lock()
			defer s.mu.Unlock()
			write(w, do(s.Now(), id), wire.LeaseGrant{Lease: id})
			s.wakeWatchers()
		}
	}
	handle("POST "+wire.PathLeases+"/{id}/"+wire.ExtendVerb, lease(func(now Micros, id uint64) int { return s.State.Extend(now, id) }))
	handle("DELETE "+wire.PathLeases+"/{id}", lease(func(now Micros, id uint64) int { return s.State.EndLease(now, id) }))
	handle("GET "+wire.PathChanges, s.changes)
	return mux
}

// Expire ends the leases of the state service that were not renewed in time. Drive does so by itself.
func (s *Servers) Expire() {
	s.With(func() {
		s.State.Expire(s.Now())
		s.wakeWatchers()
	})
}

// wakeWatchers wakes the watches. The lock is held.
func (s *Servers) wakeWatchers() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// changes holds a watch open until there is something to tell.
func (s *Servers) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	longest, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(max(longest, 0), 60_000)) * time.Millisecond)
	defer end.Stop()
	for over := longest <= 0; ; {
		s.mu.Lock()
		a := wire.WatchResponse{Revision: s.State.Revision()}
		down, lost := s.State.Down, s.State.Lost(from)
		if !down && !lost {
			a.Events = s.State.Since(q.Get("under"), from)
		}
		wake := s.wake
		s.mu.Unlock()
		switch {
		case lost && !down:
			write(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		case len(a.Events) > 0 || over && !down:
			write(w, http.StatusOK, a)
			return
		}
		select {
		case <-wake:
		case <-end.C:
			over = true
			if down {
				wait.For(r.Context(), 100*time.Millisecond)
				end.Reset(0)
			}
		case <-r.Context().Done():
			return
		}
	}
}

// CloudHandler serves the cloud's interface.
func (s *Servers) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			off := false
			s.With(func() { off = s.Environment.CloudOff })
			switch {
			case off:
				write(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
			case !s.cloud.Allow():
				write(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
			default:
				h(w, r)
			}
		})
	}
	handle("GET "+wire.PathCatalog, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		write(w, http.StatusOK, wire.Catalog{Types: s.Environment.Types})
	})
	handle("GET "+wire.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, err := strconv.Atoi(q.Get("most"))
		if err != nil || most <= 0 || most > maxListed {
			most = maxListed
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		all := s.Environment.List(s.Now())
		i, _ := slices.BinarySearchFunc(all, q.Get("from"), func(m wire.Machine, from string) int {
			if m.Name <= from {
				return -1
			}
			return 1
		})
		all = all[i:]
		write(w, http.StatusOK, wire.MachineList{Machines: all[:min(most, len(all))], More: len(all) > most})
	})
	handle("POST "+wire.PathHosts, func(w http.ResponseWriter, r *http.Request) {
		var q wire.RentalRequest
		if !read(r, &q) || q.Name == "" || q.Count < 1 || q.Count > wire.MaxRental {
			write(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		names := s.Environment.Rent(s.Now(), q)
		if len(names) == 0 {
			write(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		write(w, http.StatusOK, wire.MachineNames{Machines: names})
	})
	handle("POST "+wire.PathRelease, func(w http.ResponseWriter, r *http.Request) {
		var q wire.MachineNames
		if !read(r, &q) || len(q.Machines) > wire.MaxRelease {
			write(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Environment.Release(s.Now(), q.Machines)
		write(w, http.StatusOK, wire.MachineNames{})
	})
	return mux
}

// maxListed bounds a page of machines.
const maxListed = 500

// WorkerHandler serves every worker: the machine is the first part of the path. One
// that hangs or is not up yet doesn't answer.
func (s *Servers) WorkerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, verb, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		var c wire.CommandRequest
		ok := verb == "status" || read(r, &c)
		for {
			s.mu.Lock()
			m := s.Environment.Machines[name]
			if m == nil || !m.Hang && m.InboundLost == "" && s.Now() >= m.Up {
				break
			}
			lost := m.InboundLost == inboundDrop
			s.mu.Unlock()
			if lost {
				<-r.Context().Done() // no answer, and nothing of it comes late
				return
			}
			// What a hanging machine was told takes effect when it goes on, though the
			// sender has given up.
			wait.For(context.Background(), 100*time.Millisecond)
		}
		defer s.mu.Unlock()
		m := s.Environment.Machines[name]
		switch {
		case m == nil || !ok:
			write(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		case verb == "status":
			write(w, http.StatusOK, m.Status())
		default:
			status, report := s.Environment.Commands(s.Now(), m, c)
			write(w, status, report)
		}
	})
}

const (
	// stepEvery is how often time passes on the machines.
	stepEvery = 50 * time.Millisecond
	// reportWait is how long a worker waits for the answer to a report.
	reportWait = 4 * time.Second
	maxReports = 512 // at a time
	copyOneOf  = 4   // of so many reports one comes again
)

// Drive lets time pass on the machines and sends workers' reports until ctx ends. The
// workers' own address is addr.
func (s *Servers) Drive(ctx context.Context, addr string) {
	client := &http.Client{Timeout: reportWait, Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	sem := make(chan struct{}, maxReports)
	var wg sync.WaitGroup
	defer wg.Wait()
	wait.Every(ctx, stepEvery, func() {
		for _, d := range s.dueHeartbeats(addr) {
			select {
			case sem <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-sem }()
				s.send(ctx, client, d)
			})
			if d.again > 0 {
				wg.Go(func() {
					if wait.For(ctx, d.again) {
						s.post(ctx, client, rand.IntN(len(s.Nodes)), &d.heartbeat)
					}
				})
			}
		}
	})
}

// Values of Machine.Deaf.
const (
	inboundDrop = "drop"
	inboundHold = "hold"
)

type dueHeartbeat struct {
	m         *Machine
	heartbeat wire.Heartbeat
	sent      Micros
	node      int
	again     time.Duration // after which a copy comes; 0: none does
}

// dueHeartbeats lets time pass and lists the reports that are to go out.
func (s *Servers) dueHeartbeats(addr string) []dueHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.State.Expire(now)
	s.Environment.Tick(now)
	s.wakeWatchers()
	var out []dueHeartbeat
	for _, name := range s.Environment.Names() {
		m := s.Environment.Machines[name]
		m.Addr = addr + "/" + name
		if len(s.Nodes) > 0 && m.Due(now) {
			d := dueHeartbeat{m, m.Status(), now, m.Node % len(s.Nodes), 0}
			if s.repeat > 0 && rand.IntN(copyOneOf) == 0 {
				d.again = time.Duration(1e9 + rand.Float64()*max(s.repeat-1, 0)*1e9)
			}
			out = append(out, d)
			every := s.Environment.ReportEvery
			if every == 0 {
				every = Second
			}
			m.Reported(now, Micros(float64(every)*(0.75+0.5*rand.Float64())))
			m.busy = true
		}
	}
	return out
}

// send sends a report and does what the answer says.
func (s *Servers) send(ctx context.Context, client *http.Client, d dueHeartbeat) {
	status, body := s.post(ctx, client, d.node, &d.heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	m, now := d.m, s.Now()
	m.busy = false
	if m.InboundLost != "" {
		status = 0
	}
	var a wire.HeartbeatResponse
	var to wire.Redirect
	switch {
	case status == http.StatusOK && wire.Unmarshal(body, &a) == nil:
		if !m.Hang {
			s.Environment.Answered(now, d.sent, d.heartbeat.Incarnation, m, a)
		}
		return
	case status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &to) == nil:
		if i := slices.Index(s.Names, to.Node); i >= 0 && i != d.node {
			m.Node, m.NextAt = i, now+rand.Int64N(Second/2)
			return
		}
	}
	m.Node, m.NextAt = d.node+1, now+Second
}

// post sends a report to a node; a status of 0: there was no answer.
func (s *Servers) post(ctx context.Context, client *http.Client, node int, report *wire.Heartbeat) (int, []byte) {
	raw, err := wire.Marshal(report)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Nodes[node]+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	res, err := client.Do(req)
	if err != nil {
		if s.Failed != nil {
			s.Failed(err)
		}
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, body
}
