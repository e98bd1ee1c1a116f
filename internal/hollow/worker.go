package hollow

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"coralhub/wire"
)

const (
	// minHeartbeatGap is the minimum time between two heartbeats.
	minHeartbeatGap = 500 * time.Millisecond
	// heartbeatTimeout is the timeout of a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// nextNodeDelay is the delay before a worker tries the next node.
	nextNodeDelay = time.Second
	// maxRedirectDelay is the maximum delay before a worker follows a redirect.
	maxRedirectDelay = 500 * time.Millisecond
	// readHeaderTimeout is the timeout for reading the header of a request to a worker.
	readHeaderTimeout = 10 * time.Second
)

// worker is the worker of one machine.
type worker struct {
	host         *Host
	machine      Machine
	address      string
	listener     net.Listener
	client       *http.Client
	stop         context.CancelFunc
	heartbeatDue chan struct{} // signals a change that a heartbeat should report

	mu              sync.Mutex
	incarnation     uint64
	sequence        uint64
	token           uint64
	tokenReportedAt time.Time // when a heartbeat was last requested because of a higher token
	renewedAt       time.Time // when the last answered heartbeat was sent, or the incarnation started
	restarting      bool
	removed         bool
	tasks           []*task
	node            int // index of the node that receives heartbeats
}

type task struct {
	wire.TaskStatus
	job    *Job // nil if the job is unknown
	number int
	timer  *time.Timer // next change of state; may be nil
}

// startWorker starts a worker that listens and sends heartbeats until ctx ends.
func (h *Host) startWorker(ctx context.Context, m Machine) (*worker, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", h.nextAddress())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	w := &worker{
		host:         h,
		machine:      m,
		address:      listener.Addr().String(),
		listener:     &countingListener{listener, &h.meter},
		stop:         stop,
		heartbeatDue: make(chan struct{}, 1),
		incarnation:  1,
		renewedAt:    time.Now(),
		node:         h.firstNode(m.Name),
	}
	w.client = &http.Client{
		Timeout: heartbeatTimeout,
		Transport: &http.Transport{
			DialContext:         h.meter.dial,
			MaxConnsPerHost:     1,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	h.background.Go(func() { w.serve(ctx) })
	h.background.Go(func() { w.sendHeartbeats(ctx) })
	h.background.Go(func() { w.watchLease(ctx) })
	return w, nil
}

// serve serves the worker's listener until ctx ends.
func (w *worker) serve(ctx context.Context) {
	server := &http.Server{Handler: w, ReadHeaderTimeout: readHeaderTimeout}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(w.listener); !errors.Is(err, http.ErrServerClosed) {
			w.host.addServeError(w.machine.Name, err)
		}
	})
	<-ctx.Done()
	if err := server.Close(); err != nil {
		w.host.addServeError(w.machine.Name, err)
	}
	w.client.CloseIdleConnections()
	serving.Wait()
}

// sendHeartbeats sends heartbeats until ctx ends.
func (w *worker) sendHeartbeats(ctx context.Context) {
	timer := time.NewTimer(time.Duration(w.host.random() * float64(w.host.heartbeatInterval)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.heartbeatDue:
		}
		sentAt := time.Now()
		pause := w.sendHeartbeat(ctx)
		if ctx.Err() != nil {
			return
		}
		if pause == 0 { // answered: the next is due after the interval or on a change, with a minimum gap
			timer.Reset(w.host.nextHeartbeatDelay())
			pause = minHeartbeatGap - time.Since(sentAt)
		} else {
			timer.Reset(pause)
		}
		if !w.host.sleep(ctx, pause) {
			return
		}
	}
}

// sendHeartbeat sends a heartbeat and applies the response. It returns the delay before the next
// attempt, or 0 if the heartbeat was answered.
func (w *worker) sendHeartbeat(ctx context.Context) time.Duration {
	w.mu.Lock()
	if w.restarting {
		w.mu.Unlock()
		return minHeartbeatGap
	}
	heartbeat, node := w.heartbeat(), w.node
	w.mu.Unlock()
	sentAt := time.Now()
	w.host.meter.heartbeats.Add(1)
	status, body := w.postHeartbeat(ctx, node, &heartbeat)
	w.mu.Lock()
	defer w.mu.Unlock()
	var response wire.HeartbeatResponse
	var redirect wire.Redirect
	switch {
	case status == http.StatusOK && wire.Unmarshal(body, &response) == nil:
		w.host.meter.answered.Add(1)
		w.applyResponse(&response, heartbeat.Incarnation, sentAt)
		return 0
	case status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &redirect) == nil:
		if to := w.host.nodeIndex(redirect.Node); to >= 0 && to != node {
			w.client.CloseIdleConnections()
			w.node = to
			return time.Duration(1 + w.host.random()*float64(maxRedirectDelay))
		}
	}
	w.client.CloseIdleConnections()
	w.node = (node + 1) % len(w.host.config.Nodes)
	return nextNodeDelay
}

// applyResponse renews the lease and executes the commands of a response to a heartbeat. It ignores a
// response that is late, that is for an earlier incarnation, that arrives during a restart, or that is
// from a deposed leader. The caller holds w.mu.
func (w *worker) applyResponse(r *wire.HeartbeatResponse, incarnation uint64, sentAt time.Time) {
	deposed := r.FencingToken < w.token
	outdated := incarnation != w.incarnation || w.restarting
	late := time.Since(sentAt) > heartbeatTimeout
	if deposed || outdated || late {
		return
	}
	w.observeToken(r.FencingToken)
	w.renewedAt = sentAt
	w.executeCommands(r.Commands)
}

// observeToken keeps the highest fencing token. A higher token is reported by an immediate heartbeat, at
// most once per half lease duration. The caller holds w.mu.
func (w *worker) observeToken(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if time.Since(w.tokenReportedAt) > w.host.lease/2 {
		w.tokenReportedAt = time.Now()
		w.requestHeartbeat()
	}
}

// requestHeartbeat makes the next heartbeat due now.
func (w *worker) requestHeartbeat() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default:
	}
}

// heartbeat returns the next heartbeat and increments the sequence number. The caller holds w.mu.
func (w *worker) heartbeat() wire.Heartbeat {
	w.sequence++
	h := wire.Heartbeat{
		Machine:      w.machine.Name,
		Addr:         w.address,
		Type:         w.machine.Type,
		Zone:         w.machine.Zone,
		Spot:         w.machine.Spot,
		Incarnation:  w.incarnation,
		Sequence:     w.sequence,
		FencingToken: w.token,
		Tasks:        make([]wire.TaskStatus, 0, len(w.tasks)),
	}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return h
}

// watchLease starts a new incarnation when the lease has expired, that is when no heartbeat sent within
// the lease duration was answered.
func (w *worker) watchLease(ctx context.Context) {
	for {
		w.mu.Lock()
		remaining := w.host.lease - time.Since(w.renewedAt)
		if remaining <= 0 && !w.restarting {
			w.host.meter.expired.Add(1)
			w.startIncarnation()
			remaining = w.host.lease
		}
		w.mu.Unlock()
		if !w.host.sleep(ctx, max(remaining, minHeartbeatGap)) {
			return
		}
	}
}

// startIncarnation stops and removes all tasks and starts the next incarnation. The caller holds w.mu.
func (w *worker) startIncarnation() {
	for _, t := range w.tasks {
		w.removeTask(t)
	}
	w.tasks = nil
	w.incarnation++
	w.renewedAt = time.Now()
	w.requestHeartbeat()
}

// restart stops all tasks. The machine is unavailable for the downtime and then continues with the next
// incarnation.
func (w *worker) restart(ctx context.Context, downtime time.Duration) {
	w.mu.Lock()
	w.startIncarnation()
	w.restarting = true
	w.mu.Unlock()
	w.client.CloseIdleConnections()
	w.host.background.Go(func() {
		if !w.host.sleep(ctx, downtime) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.restarting = false
		w.renewedAt = time.Now()
		w.requestHeartbeat()
	})
}

// remove stops the worker and removes all its tasks.
func (w *worker) remove() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.removeTask(t)
	}
	w.tasks = nil
	w.removed = true
}

// dropTasks removes all tasks and stops their timers. It emits no events, because the process is ending.
func (w *worker) dropTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
	}
	w.tasks = nil
	w.removed = true
}
