package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"coralhub/wire"
)

// report is a worker's report. Fields that are null are omitted.
type report struct {
	Berth   string `msgpack:"berth" json:"berth"`
	Addr    string `msgpack:"addr" json:"addr"`
	Rig     string `msgpack:"rig" json:"rig"`
	Yard    string `msgpack:"yard" json:"yard"`
	Loaners bool   `msgpack:"loaners" json:"loaners"`
	Shift   uint64 `msgpack:"shift" json:"shift"`
	Tally   uint64 `msgpack:"tally" json:"tally"`
	Baton   uint64 `msgpack:"baton" json:"baton"`
	Lots    []lot  `msgpack:"lots" json:"lots"`
}

// lot is a task in a report.
type lot struct {
	Lot    string `msgpack:"lot" json:"lot"`
	Try    uint64 `msgpack:"try" json:"try"`
	Status string `msgpack:"status" json:"status"`
	Cause  string `msgpack:"cause,omitempty" json:"cause,omitempty"`
	Kept   bool   `msgpack:"kept,omitempty" json:"kept,omitempty"`

	timer *time.Timer
	job   *wire.Job
}

// worker is the worker of one machine. It runs arrays and services; its tasks run as long as expect_s says.
type worker struct {
	cloud            *cloud
	name, zone, kind string
	addr             string
	ctx              context.Context
	stop             context.CancelFunc
	server           *http.Server
	client           *http.Client
	changed          chan struct{}

	mu        sync.Mutex
	up, gone  bool
	shift     uint64
	tally     uint64
	baton     uint64
	renewedAt time.Time
	node      int
	lots      []*lot
	images    map[string]time.Time
	tooLarge  int  // reports that could not be sent
	hung      bool // neither acts nor answers
	answered  chan struct{}
}

func newWorker(c *cloud, name, zone string, boot time.Duration) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.unable("%v", err)
	}
	w := &worker{cloud: c, name: name, zone: zone, kind: c.machine.Name, addr: l.Addr().String(), shift: 1,
		changed: make(chan struct{}, 1), images: map[string]time.Time{}, answered: make(chan struct{}), node: rand.IntN(len(c.nodes))}
	w.ctx, w.stop = context.WithCancel(c.ctx)
	w.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, w.commands)
	mux.HandleFunc("GET "+wire.PathStatus, func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		answer(out, http.StatusOK, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go func() {
		select {
		case <-time.After(boot):
		case <-w.ctx.Done():
			_ = l.Close()
			return
		}
		w.mu.Lock()
		w.up, w.renewedAt = true, time.Now()
		w.mu.Unlock()
		go func() { _ = w.server.Serve(l) }()
		go w.watchLease()
		w.send()
	}()
	return w
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// onMachine counts the tasks that have not ended.
func (w *worker) onMachine() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, l := range w.lots {
		if l.Status != wire.Exited {
			n++
		}
	}
	return n
}

// end ends the machine and everything on it.
func (w *worker) end() {
	w.mu.Lock()
	w.gone = true
	for _, l := range w.lots {
		w.drop(l, "machine gone")
	}
	w.lots = nil
	w.mu.Unlock()
	w.stop()
	_ = w.server.Close()
	w.client.CloseIdleConnections()
}

// report returns the next report. w.mu must be held.
func (w *worker) report() report {
	w.tally++
	r := report{Berth: w.name, Addr: w.addr, Rig: w.kind, Yard: w.zone, Shift: w.shift, Tally: w.tally, Baton: w.baton,
		Lots: make([]lot, 0, len(w.lots))}
	for _, l := range w.lots {
		r.Lots = append(r.Lots, lot{Lot: l.Lot, Try: l.Try, Status: l.Status, Cause: l.Cause, Kept: l.Kept})
	}
	return r
}

// jsonSize is the size that the protocol counts.
func jsonSize(message any) int {
	raw, _ := json.Marshal(message)
	return len(raw)
}

// send sends reports until the end.
func (w *worker) send() {
	for w.ctx.Err() == nil {
		if w.hangs() {
			w.sleep(50 * time.Millisecond)
			continue
		}
		sent := time.Now()
		pause := w.sendOne()
		if pause > 0 {
			w.sleep(pause)
			continue
		}
		interval := time.Duration(w.cloud.reportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		select {
		case <-time.After(interval):
		case <-w.changed:
			w.sleep(500*time.Millisecond - time.Since(sent))
		case <-w.ctx.Done():
		}
	}
}

func (w *worker) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

// sendOne sends a report and returns how long to wait before the next try, 0 after an answer of 200.
func (w *worker) sendOne() time.Duration {
	w.mu.Lock()
	r, shift := w.report(), w.shift
	address := w.cloud.nodes[w.node].users
	if size := jsonSize(r); size > wire.MaxBodyBytes { // a request body may be at most 64 KiB
		if w.tooLarge++; w.tooLarge%5 == 1 {
			w.cloud.say("%s shift %d: its report of %d tasks has %d bytes, more than 64 KiB, and can't be sent",
				w.name, w.shift, len(r.Lots), size)
		}
		w.mu.Unlock()
		return time.Second
	}
	w.mu.Unlock()
	sent := time.Now()
	status, body := w.post(address, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	var response wire.HeartbeatResponse
	var redirect wire.Redirect
	switch {
	case status == http.StatusOK && wire.Unmarshal(body, &response) == nil:
		if shift == w.shift && response.FencingToken >= w.baton && time.Since(sent) < 4*time.Second && !w.gone {
			w.observe(response.FencingToken)
			w.renewedAt = sent
			close(w.answered)
			w.answered = make(chan struct{})
			w.execute(response.Commands)
		}
		return 0
	case status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &redirect) == nil:
		to := slices.IndexFunc(w.cloud.nodes, func(n *node) bool { return n.name == redirect.Node })
		if to >= 0 && to != w.node {
			w.node = to
			w.client.CloseIdleConnections()
			return time.Duration(1 + rand.Int64N(int64(500*time.Millisecond)))
		}
	}
	if status != http.StatusMisdirectedRequest && status != 0 && status != http.StatusServiceUnavailable {
		w.cloud.say("%s: its report is answered with %d", w.name, status)
	}
	w.node = (w.node + 1) % len(w.cloud.nodes)
	w.client.CloseIdleConnections()
	return time.Second
}

func (w *worker) post(address string, message any) (int, []byte) {
	raw, err := wire.Marshal(message)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+address+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, body
}

func (w *worker) observe(token uint64) {
	if token > w.baton {
		w.baton = token
		w.note()
	}
}

func (w *worker) note() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// hang makes the machine hang, or go on.
func (w *worker) hang(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = hung
	if hung {
		w.cloud.say("%s hangs", w.name)
	} else {
		w.cloud.say("%s goes on", w.name)
	}
}

// awaitAnswer waits until a report of the worker has been answered.
func (w *worker) awaitAnswer() {
	w.mu.Lock()
	answered := w.answered
	w.mu.Unlock()
	<-answered
}

func (w *worker) hangs() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hung
}

// watchLease ends the tasks when the lease has expired.
func (w *worker) watchLease() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		lease := time.Duration(w.cloud.leaseS * float64(time.Second))
		if !w.gone && !w.hung && time.Since(w.renewedAt) > lease {
			n := 0
			for _, l := range w.lots {
				if l.Status != wire.Exited {
					n++
				}
				w.drop(l, "lease expired")
			}
			w.lots = nil
			w.shift++
			w.renewedAt = time.Now()
			w.cloud.say("%s: its lease has expired, %d tasks are killed; shift %d begins", w.name, n, w.shift)
			w.note()
		}
		w.mu.Unlock()
		w.sleep(50 * time.Millisecond)
	}
}

// drop ends a task that the worker then forgets. w.mu must be held.
func (w *worker) drop(l *lot, why string) {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.Status != wire.Exited && w.cloud.onEnd != nil {
		w.cloud.onEnd(w, l.Lot, why)
	}
	l.Status = wire.Exited
}

// commands handles direct commands.
func (w *worker) commands(out http.ResponseWriter, r *http.Request) {
	var request wire.CommandRequest
	if !read(r, &request) || request.Incarnation == 0 {
		answer(out, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	for w.hangs() { // commands wait until the machine goes on
		w.sleep(50 * time.Millisecond)
		if w.ctx.Err() != nil {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusOK
	if request.FencingToken < w.baton || request.Incarnation != w.shift {
		status = http.StatusConflict
	} else {
		w.observe(request.FencingToken)
		w.execute(request.Commands)
	}
	answer(out, status, w.report())
}

// execute executes commands in order. w.mu must be held.
func (w *worker) execute(commands []wire.Command) {
	if w.gone {
		return
	}
	for _, c := range commands {
		i := slices.IndexFunc(w.lots, func(l *lot) bool { return l.Lot == c.Task && l.Try == c.Attempt })
		switch {
		case c.Verb == wire.CommandStart && i < 0:
			w.launch(c)
		case c.Verb == wire.CommandStop && i >= 0:
			w.exit(w.lots[i], wire.CauseStopped)
		case c.Verb == wire.CommandForget && i >= 0 && w.lots[i].Status == wire.Exited:
			w.lots = slices.Delete(w.lots, i, i+1)
		}
	}
}

// launch takes a task. w.mu must be held.
func (w *worker) launch(c wire.Command) {
	id, n, ok := wire.ParseTaskName(c.Task)
	l := &lot{Lot: c.Task, Try: c.Attempt, Status: wire.Fetching}
	w.lots = append(w.lots, l)
	w.note()
	if ok {
		l.job = w.cloud.job(id)
	}
	if l.job == nil || n >= l.job.Tasks {
		l.Status, l.Cause = wire.Exited, wire.CauseUnknown
		return
	}
	cpus, gpus, ram := 0.0, 0.0, 0.0
	for _, o := range w.lots {
		if o.job == nil || o.Status == wire.Exited {
			continue
		}
		if o != l && o.Lot == l.Lot {
			l.Status, l.Cause = wire.Exited, wire.CauseBusy
			return
		}
		cpus, gpus, ram = cpus+o.job.CPUs, gpus+o.job.GPUs, ram+o.job.MemoryGB
	}
	m := &w.cloud.machine
	if cpus > m.CPUs+1e-6 || gpus > m.GPUs+1e-6 || ram > m.MemoryGB+1e-6 {
		l.Status, l.Cause = wire.Exited, wire.CauseNoCapacity
		return
	}
	ready, known := w.images[l.job.Image]
	if !known {
		ready = time.Now().Add(time.Duration(l.job.ImageGB / m.FetchGBPerS * float64(time.Second)))
		w.images[l.job.Image] = ready
	}
	w.after(l, time.Until(ready), func() {
		l.Status = wire.Running
		w.note()
		if w.cloud.onStart != nil {
			w.cloud.onStart(w, l.Lot)
		}
		if l.job.Shape == wire.Array {
			w.after(l, time.Duration(l.job.EstimateS*float64(time.Second)), func() { w.exit(l, wire.Done) })
		}
	})
}

// after calls f later, with w.mu held, unless the task has ended by then.
func (w *worker) after(l *lot, d time.Duration, f func()) {
	l.timer = time.AfterFunc(max(d, 0), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.gone && l.Status != wire.Exited {
			f()
		}
	})
}

// exit ends a task, which stays in the reports. w.mu must be held.
func (w *worker) exit(l *lot, cause string) {
	if l.Status == wire.Exited {
		return
	}
	running := l.Status == wire.Running
	l.timer.Stop()
	l.Status, l.Cause = wire.Exited, cause
	w.note()
	if running && w.cloud.onEnd != nil {
		w.cloud.onEnd(w, l.Lot, cause)
	}
}

// read decodes the body of a request.
func read(r *http.Request, message any) bool {
	raw, err := io.ReadAll(r.Body)
	return err == nil && wire.Unmarshal(raw, message) == nil
}

// answer answers a request.
func answer(w http.ResponseWriter, status int, message any) {
	raw, err := wire.Marshal(message)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
