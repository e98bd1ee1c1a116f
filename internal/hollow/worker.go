package hollow

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"coralhub/wire"
)

const (
	// leastReportGap is the least time between two reports.
	leastReportGap = 500 * time.Millisecond
	// reportTimeout is how long a worker waits for the answer to a report.
	reportTimeout = 4 * time.Second
	// nextNodePause is how long it waits before it tries the next node.
	nextNodePause = time.Second
	// redirectPause is the longest that it waits before it follows a redirection.
	redirectPause = 500 * time.Millisecond
)

// worker is one machine's.
type worker struct {
	host     *Host
	machine  Machine
	address  string
	listener net.Listener
	client   *http.Client
	stop     context.CancelFunc
	news     chan struct{} // something has changed that a report should tell

	mu          sync.Mutex
	session     uint64
	seq         uint64
	token       uint64
	tokenToldAt time.Time // when a higher token last counted as news
	renewedAt   time.Time // when the last answered report was sent, or the session began
	away        bool      // the machine restarts
	removed     bool
	tasks       []*task
	node        int // which it reports to
}

// task is a task on a machine.
type task struct {
	wire.TaskStatus
	job    *Job // nil: not known
	number int
	timer  *time.Timer // of what comes next; nil: nothing does by time
}

// start begins to listen and to report.
func (h *Host) start(ctx context.Context, m Machine) (*worker, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", h.nextAddress())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	w := &worker{host: h, machine: m, address: listener.Addr().String(), listener: &countingListener{listener, &h.meter}, stop: stop,
		news: make(chan struct{}, 1), session: 1, renewedAt: time.Now(), node: h.pickNode(m.Name)}
	w.client = &http.Client{Timeout: reportTimeout, Transport: &http.Transport{
		DialContext: h.meter.dial, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	server := &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(w.listener) }() // ends when it is closed
	context.AfterFunc(ctx, func() {
		_ = server.Close()
		w.client.CloseIdleConnections()
	})
	go w.report(ctx)
	go w.watchLease(ctx)
	return w, nil
}

// report sends reports until ctx ends.
func (w *worker) report(ctx context.Context) {
	timer := time.NewTimer(time.Duration(w.host.random() * float64(w.host.reportEvery)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.news:
		}
		sentAt := time.Now()
		pause := w.exchange(ctx)
		if ctx.Err() != nil {
			return
		}
		if pause == 0 { // the next is due by time, or by news, though not too soon
			timer.Reset(w.host.nextReport())
			pause = leastReportGap - time.Since(sentAt)
		} else {
			timer.Reset(pause)
		}
		if !w.host.sleep(ctx, pause) {
			return
		}
	}
}

// exchange sends a report and does what the answer says. It returns how long to wait before
// the next attempt: 0 if the report was answered.
func (w *worker) exchange(ctx context.Context) time.Duration {
	w.mu.Lock()
	if w.away {
		w.mu.Unlock()
		return leastReportGap
	}
	report, node := w.status(), w.node
	w.mu.Unlock()
	sentAt := time.Now()
	w.host.meter.reports.Add(1)
	status, body := w.post(ctx, node, &report)
	w.mu.Lock()
	defer w.mu.Unlock()
	var answer wire.HeartbeatResponse
	var redirect wire.Redirect
	switch {
	case status == http.StatusOK && wire.Unmarshal(body, &answer) == nil:
		w.host.meter.answered.Add(1)
		w.answered(&answer, report.Incarnation, sentAt)
		return 0
	case status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &redirect) == nil:
		if to := w.host.nodeNamed(redirect.Node); to >= 0 && to != node {
			w.client.CloseIdleConnections()
			w.node = to
			return time.Duration(1 + w.host.random()*float64(redirectPause))
		}
	}
	w.client.CloseIdleConnections()
	w.node = (node + 1) % len(w.host.config.Nodes)
	return nextNodePause
}

// answered takes a 200 to a report. The lock is held.
func (w *worker) answered(a *wire.HeartbeatResponse, session uint64, sentAt time.Time) {
	if a.FencingToken < w.token || session != w.session || w.away || time.Since(sentAt) > reportTimeout {
		return // dropped: neither carried out nor a renewal
	}
	w.raise(a.FencingToken)
	w.renewedAt = sentAt
	w.carryOut(a.Commands)
}

// raise notes a token. One that is higher is news, not too often. The lock is held.
func (w *worker) raise(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if time.Since(w.tokenToldAt) > w.host.lease/2 {
		w.tokenToldAt = time.Now()
		w.changed()
	}
}

// changed has a report go out soon.
func (w *worker) changed() {
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// status is the worker's next report. The lock is held.
func (w *worker) status() wire.Heartbeat {
	w.seq++
	r := wire.Heartbeat{Machine: w.machine.Name, Addr: w.address, Type: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.session, Sequence: w.seq, FencingToken: w.token, Tasks: make([]wire.TaskStatus, 0, len(w.tasks))}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// watchLease ends the session when no report was answered for a lease.
func (w *worker) watchLease(ctx context.Context) {
	for {
		w.mu.Lock()
		left := w.host.lease - time.Since(w.renewedAt)
		if left <= 0 && !w.away {
			w.host.meter.expired.Add(1)
			w.newSession()
			left = w.host.lease
		}
		w.mu.Unlock()
		if !w.host.sleep(ctx, max(left, leastReportGap)) {
			return
		}
	}
}

// newSession kills and forgets all tasks. The lock is held.
func (w *worker) newSession() {
	for _, t := range w.tasks {
		w.leave(t)
	}
	w.tasks = nil
	w.session++
	w.renewedAt = time.Now()
	w.changed()
}

// restart loses what is on the machine, which is away for a while and goes on with the next session.
func (w *worker) restart(ctx context.Context, away time.Duration) {
	w.mu.Lock()
	w.newSession()
	w.away = true
	w.mu.Unlock()
	w.client.CloseIdleConnections()
	go func() {
		if !w.host.sleep(ctx, away) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.away, w.renewedAt = false, time.Now()
		w.changed()
	}()
}

// remove ends the machine with all that is on it.
func (w *worker) remove() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.leave(t)
	}
	w.tasks, w.removed = nil, true
}
