//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"coralhub/wire"
)

// Fleet is a stand-in of the cloud and of all workers. All machines are up from the start; no more can be
// rented. Each worker has a listener and a report loop of its own.
type Fleet struct {
	rec      *Record
	Type     wire.MachineType
	reportS  float64
	leaseS   float64
	machines []*Machine

	mu    sync.Mutex
	jobs  map[string]*wire.Job // what users have uploaded
	run   map[string]float64   // run time of a task by name, in seconds
	done  map[string]bool      // tasks that have completed
	fails map[string]bool      // jobs that were submitted with a mistake: every task fails on every machine
	start map[string]time.Time // first start of a task by job
	Lost  []string             // tasks that ended because a lease expired

	nodes     []string // addresses
	nodeNames []string
	client    *http.Client

	// OnBody is called with the JSON size of each body that a controller sends to a worker.
	OnBody func(kind, machine string, size int)
	// Refused is called for a report that a controller answers with a status other than 200, 421 and 503.
	OnRefused func(machine string, status, size int)
}

// Machine is a machine with its worker.
type Machine struct {
	f            *Fleet
	mu           sync.Mutex
	name, zone   string
	spot         bool
	addr         string
	shift, tally uint64
	baton        uint64
	leaseStart   time.Time
	tasks        []*taskState
	image        map[string]time.Time
	node         int
	changed      bool
	lastSent     time.Time
	next         time.Time
	gone         bool
	server       *http.Server
}

type taskState struct {
	wire.TaskStatus
	job     *wire.Job
	ready   time.Time // when it has its image
	ends    time.Time // zero: never by itself
	started bool
}

func newFleet(rec *Record, t wire.MachineType, reportS, leaseS float64) *Fleet {
	return &Fleet{rec: rec, Type: t, reportS: reportS, leaseS: leaseS, jobs: map[string]*wire.Job{}, run: map[string]float64{},
		done: map[string]bool{}, fails: map[string]bool{}, start: map[string]time.Time{},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
}

// add adds a machine that is up, with a listener of its own.
func (f *Fleet) add(zone string, spot bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m := &Machine{f: f, name: fmt.Sprintf("m-%06d", len(f.machines)), zone: zone, spot: spot, addr: l.Addr().String(), shift: 1,
		leaseStart: time.Now(), image: map[string]time.Time{}}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	f.machines = append(f.machines, m)
	return nil
}

// upload makes a job known to the workers; run gives the run time of each task in seconds, 0 for ever.
func (f *Fleet) upload(j *wire.Job, run func(task int) float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
	for i := range j.Tasks {
		f.run[wire.TaskName(j.ID, i)] = run(i)
	}
}

func (f *Fleet) startedAt(job string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.start[job]
	return t, ok
}

// freeCores returns the free cores of the machine with the most, and its name.
func (f *Fleet) freeCores() (best float64, name string) {
	for _, m := range f.machines {
		m.mu.Lock()
		free := f.Type.CPUs
		for _, t := range m.tasks {
			if t.State != wire.Exited && t.job != nil {
				free -= t.job.CPUs
			}
		}
		if !m.gone && free > best {
			best, name = free, m.name
		}
		m.mu.Unlock()
	}
	return best, name
}

func (f *Fleet) loop(stop <-chan struct{}) {
	for _, m := range f.machines {
		m.next = time.Now().Add(time.Duration(rand.Float64() * f.reportS * float64(time.Second)))
		go m.loop(stop)
	}
}

func (m *Machine) loop(stop <-chan struct{}) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		now := time.Now()
		m.advance(now)
		due := now.After(m.next) || m.changed && now.Sub(m.lastSent) > 500*time.Millisecond
		if !due {
			m.mu.Unlock()
			continue
		}
		m.changed = false
		m.lastSent = now
		m.next = now.Add(time.Duration((0.75 + rand.Float64()/2) * m.f.reportS * float64(time.Second)))
		report := m.report()
		node := m.node
		m.mu.Unlock()
		m.send(now, node, report)
	}
}

// advance moves the tasks on and ends them with the lease. m.mu must be held.
func (m *Machine) advance(now time.Time) {
	if now.Sub(m.leaseStart).Seconds() > m.f.leaseS {
		lost := 0
		for _, t := range m.tasks {
			if t.State != wire.Exited {
				lost++
				m.f.mu.Lock()
				m.f.Lost = append(m.f.Lost, t.Task)
				m.f.mu.Unlock()
			}
		}
		m.f.rec.Printf("lease of %s expired: %d tasks killed, session %d", m.name, lost, m.shift+1)
		m.tasks = nil
		m.shift++
		m.leaseStart = now
		m.changed = true
	}
	for _, t := range m.tasks {
		switch t.State {
		case wire.Fetching:
			if now.Before(t.ready) {
				continue
			}
			m.f.mu.Lock()
			isDone, run := m.f.done[t.Task], m.f.run[t.Task]
			if _, ok := m.f.start[t.job.ID]; !ok {
				m.f.start[t.job.ID] = now
			}
			m.f.mu.Unlock()
			m.changed = true
			if isDone {
				t.State, t.Cause = wire.Exited, wire.Done
				continue
			}
			t.State, t.started = wire.Running, true
			m.f.rec.Printf("start %s try %d on %s", t.Task, t.Attempt, m.name)
			if run > 0 {
				t.ends = now.Add(time.Duration(run * float64(time.Second)))
			}
		case wire.Running:
			if !t.ends.IsZero() && now.After(t.ends) {
				t.State, t.Cause = wire.Exited, wire.Done
				m.changed = true
				m.f.mu.Lock()
				if m.f.fails[t.job.ID] {
					t.Cause = wire.CauseError
				} else {
					m.f.done[t.Task] = true
				}
				m.f.mu.Unlock()
				m.f.rec.Printf("%s %s try %d on %s", t.Cause, t.Task, t.Attempt, m.name)
			}
		}
	}
}

// report returns the worker's report. m.mu must be held.
func (m *Machine) report() map[string]any {
	m.tally++
	lots := []any{}
	for _, t := range m.tasks {
		lot := map[string]any{"lot": t.Task, "try": t.Attempt, "status": t.State}
		if t.Cause != "" {
			lot["cause"] = t.Cause
		}
		lots = append(lots, lot)
	}
	return map[string]any{"berth": m.name, "addr": m.addr, "rig": m.f.Type.Name, "yard": m.zone, "loaners": m.spot,
		"shift": m.shift, "tally": m.tally, "baton": m.baton, "recall_s": nil, "lots": lots}
}

func (m *Machine) send(sent time.Time, node int, report map[string]any) {
	body, _ := wire.Marshal(report)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+m.f.nodes[node]+wire.PathHeartbeat, bytes.NewReader(body))
	status := 0
	var raw []byte
	if res, err := m.f.client.Do(req); err == nil {
		raw, _ = io.ReadAll(res.Body)
		res.Body.Close()
		status = res.StatusCode
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch status {
	case 200:
		var r wire.HeartbeatResponse
		if wire.Unmarshal(raw, &r) != nil || now.Sub(sent) > 4*time.Second {
			break
		}
		if len(r.Commands) > 0 && m.f.OnBody != nil {
			m.f.OnBody("answer to a report", m.name, jsonBytes(ordersJSON(r.FencingToken, 0, r.Commands)))
		}
		if r.FencingToken < m.baton || report["shift"].(uint64) != m.shift {
			return
		}
		m.see(r.FencingToken)
		m.leaseStart = sent
		m.execute(now, r.Commands)
		return
	case 421:
		var r wire.Redirect
		if wire.Unmarshal(raw, &r) == nil {
			if i := slices.Index(m.f.nodeNames, r.Node); i >= 0 && i != node {
				m.node = i
				m.next = now.Add(time.Duration(rand.Float64() * 0.5 * float64(time.Second)))
				return
			}
		}
	}
	if status != 0 && status != 421 && status != 503 && m.f.OnRefused != nil {
		m.f.OnRefused(m.name, status, jsonBytes(report))
	}
	m.node = (node + 1) % len(m.f.nodes)
	m.next = now.Add(time.Second)
	m.changed = false
}

func ordersJSON(token, shift uint64, commands []wire.Command) map[string]any {
	orders := []any{}
	for _, c := range commands {
		o := map[string]any{"verb": c.Verb, "lot": c.Task, "try": c.Attempt}
		if c.GraceS != nil {
			o["wind_down_s"] = *c.GraceS
		}
		orders = append(orders, o)
	}
	m := map[string]any{"baton": token, "orders": orders}
	if shift != 0 {
		m["shift"] = shift
	}
	return m
}

func (m *Machine) see(token uint64) {
	if token > m.baton {
		m.baton = token
		m.changed = true
	}
}

// execute carries out commands in order. m.mu must be held.
func (m *Machine) execute(now time.Time, commands []wire.Command) {
	for _, c := range commands {
		i := slices.IndexFunc(m.tasks, func(t *taskState) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Verb == wire.CommandStart && i < 0:
			m.launch(now, c)
		case c.Verb == wire.CommandStop && i >= 0 && m.tasks[i].State != wire.Exited:
			m.f.rec.Printf("kill %s try %d on %s", c.Task, c.Attempt, m.name)
			m.tasks[i].State, m.tasks[i].Cause = wire.Exited, wire.CauseStopped
			m.changed = true
		case c.Verb == wire.CommandForget && i >= 0 && m.tasks[i].State == wire.Exited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

func (m *Machine) launch(now time.Time, c wire.Command) {
	m.changed = true
	t := &taskState{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.Fetching}}
	id, n, _ := wire.ParseTaskName(c.Task)
	m.f.mu.Lock()
	t.job = m.f.jobs[id]
	m.f.mu.Unlock()
	free := wire.MachineType{CPUs: m.f.Type.CPUs, GPUs: m.f.Type.GPUs, MemoryGB: m.f.Type.MemoryGB}
	busy := false
	for _, o := range m.tasks {
		if o.State != wire.Exited && o.job != nil {
			free.CPUs -= o.job.CPUs
			free.GPUs -= o.job.GPUs
			free.MemoryGB -= o.job.MemoryGB
			busy = busy || o.Task == c.Task
		}
	}
	const tolerance = 1e-6
	switch {
	case t.job == nil || n >= t.job.Tasks:
		t.State, t.Cause = wire.Exited, wire.CauseUnknown
	case busy:
		t.State, t.Cause = wire.Exited, wire.CauseBusy
	case t.job.CPUs > free.CPUs+tolerance || t.job.GPUs > free.GPUs+tolerance || t.job.MemoryGB > free.MemoryGB+tolerance:
		t.State, t.Cause = wire.Exited, wire.CauseNoCapacity
	default:
		ready, known := m.image[t.job.Image]
		if !known {
			ready = now.Add(time.Duration(t.job.ImageGB / m.f.Type.FetchGBPerS * float64(time.Second)))
			m.image[t.job.Image] = ready
		}
		t.ready = ready
	}
	m.tasks = append(m.tasks, t)
}

// ServeHTTP serves direct commands.
func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		answer(w, 500, map[string]any{})
		return
	}
	if r.URL.Path == wire.PathStatus {
		answer(w, 200, m.report())
		return
	}
	var c wire.CommandRequest
	if wire.Unmarshal(raw, &c) != nil || c.Incarnation == 0 || c.FencingToken == 0 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if m.f.OnBody != nil {
		m.f.OnBody("POST /commands", m.name, jsonBytes(ordersJSON(c.FencingToken, c.Incarnation, c.Commands)))
	}
	if c.FencingToken < m.baton || c.Incarnation != m.shift {
		m.see(c.FencingToken)
		answer(w, 409, m.report())
		return
	}
	m.see(c.FencingToken)
	m.execute(time.Now(), c.Commands)
	answer(w, 200, m.report())
}

// CloudHandler serves the cloud's interface.
func (f *Fleet) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, 200, wire.Catalog{Types: []wire.MachineType{f.Type}})
	})
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, 503, map[string]any{"error": "no capacity"})
	})
	mux.HandleFunc("POST /hosts/release", func(w http.ResponseWriter, r *http.Request) {
		var names wire.MachineNames
		raw, _ := io.ReadAll(r.Body)
		_ = wire.Unmarshal(raw, &names)
		for _, m := range f.machines {
			if slices.Contains(names.Machines, m.name) {
				m.mu.Lock()
				if !m.gone {
					n := 0
					for _, t := range m.tasks {
						if t.State != wire.Exited {
							n++
						}
					}
					f.rec.Printf("machine %s is deleted, with %d tasks", m.name, n)
				}
				m.gone = true
				m.tasks = nil
				m.mu.Unlock()
				go m.server.Close()
			}
		}
		answer(w, 200, map[string]any{})
	})
	began := time.Now()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil || most <= 0 || most > 500 {
			most = 500
		}
		list := wire.MachineList{Machines: []wire.Machine{}}
		for _, m := range f.machines {
			m.mu.Lock()
			gone := m.gone
			m.mu.Unlock()
			if gone || strings.Compare(m.name, r.URL.Query().Get("from")) <= 0 {
				continue
			}
			if len(list.Machines) == most {
				list.More = true
				break
			}
			list.Machines = append(list.Machines, wire.Machine{Name: m.name, Addr: m.addr, Type: f.Type.Name, Zone: m.zone,
				Spot: m.spot, State: "running", AgeS: 100 + time.Since(began).Seconds()})
		}
		answer(w, 200, list)
	})
	return mux
}
