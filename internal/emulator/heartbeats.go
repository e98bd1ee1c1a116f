package emulator

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	// tickInterval is how often Run advances the machines.
	tickInterval = 50 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// maxInFlight is the maximum number of heartbeats in flight, over all workers.
	maxInFlight = 512
	// One in repeatOneIn heartbeats is sent a second time, after at least minRepeatDelayS seconds.
	repeatOneIn     = 4
	minRepeatDelayS = 1
	// A heartbeat interval is drawn between minIntervalFactor and minIntervalFactor + intervalFactorRange
	// times the configured interval.
	minIntervalFactor   = 0.75
	intervalFactorRange = 0.5
	// After a redirection a worker sends its next heartbeat within maxRedirectDelay. After a failure it
	// sends the next one to the next node, retryDelay later.
	maxRedirectDelay = Second / 2
	retryDelay       = Second
	// maxResponseBytes is how much of the body of the answer to a heartbeat is read.
	maxResponseBytes = 1 << 20
)

type dueHeartbeat struct {
	machine     *Machine
	heartbeat   wire.Heartbeat
	sent        Micros
	node        int           // index of the node that it is sent to
	repeatAfter time.Duration // delay after which a copy is sent; 0 if none is
}

// Run advances the machines and sends the workers' heartbeats until ctx ends. workersAddr is the
// address at which WorkerHandler is served.
func (s *Servers) Run(ctx context.Context, workersAddr string) {
	client := &http.Client{
		Timeout:   heartbeatTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute},
		// Workers handle redirections themselves, see handleResponse.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	defer client.CloseIdleConnections()
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	wait.Every(ctx, tickInterval, func() {
		for _, d := range s.dueHeartbeats(workersAddr) {
			select {
			case inFlight <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-inFlight }()
				s.sendHeartbeat(ctx, client, d)
			})
			if d.repeatAfter > 0 {
				wg.Go(func() { s.repeatHeartbeat(ctx, client, d) })
			}
		}
	})
}

// dueHeartbeats advances the machines and returns the heartbeats that are due.
func (s *Servers) dueHeartbeats(workersAddr string) []dueHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.State.Expire(now)
	s.Environment.Tick(now)
	s.wakeWatches()
	var due []dueHeartbeat
	for _, name := range s.Environment.MachineNames() {
		m := s.Environment.Machines[name]
		m.Addr = workersAddr + "/" + name
		if len(s.NodeAddrs) > 0 && m.Due(now) {
			due = append(due, s.nextHeartbeat(now, m))
		}
	}
	return due
}

// nextHeartbeat returns the heartbeat that a machine is to send, marks it as in flight and draws when the
// following one is due. s.mu must be held.
func (s *Servers) nextHeartbeat(now Micros, m *Machine) dueHeartbeat {
	d := dueHeartbeat{machine: m, heartbeat: m.NextHeartbeat(), sent: now, node: m.Node % len(s.NodeAddrs)}
	if s.repeatWithinS > 0 && rand.IntN(repeatOneIn) == 0 {
		d.repeatAfter = time.Duration(minRepeatDelayS*1e9 + rand.Float64()*max(s.repeatWithinS-minRepeatDelayS, 0)*1e9)
	}
	interval := s.Environment.HeartbeatInterval
	if interval == 0 {
		interval = Second
	}
	m.HeartbeatSent(now, Micros(float64(interval)*(minIntervalFactor+intervalFactorRange*rand.Float64())))
	m.inFlight = true
	return d
}

func (s *Servers) sendHeartbeat(ctx context.Context, client *http.Client, d dueHeartbeat) {
	status, body := s.post(ctx, client, d.node, &d.heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	d.machine.inFlight = false
	if d.machine.InboundLost != "" {
		status = 0
	}
	s.handleResponse(d, status, body)
}

// handleResponse makes a worker handle the answer to a heartbeat: it executes the commands, follows a
// redirection, or else tries the next node. A status of 0 means that there was no answer. s.mu must be
// held.
func (s *Servers) handleResponse(d dueHeartbeat, status int, body []byte) {
	m, now := d.machine, s.Now()
	var response wire.HeartbeatResponse
	var redirect wire.Redirect
	switch {
	case status == http.StatusOK && wire.Unmarshal(body, &response) == nil:
		if !m.Hanging {
			s.Environment.HandleHeartbeatResponse(now, d.sent, d.heartbeat.Incarnation, m, response)
		}
		return
	case status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &redirect) == nil:
		if i := slices.Index(s.NodeNames, redirect.Node); i >= 0 && i != d.node {
			m.Node = i
			m.NextAt = now + rand.Int64N(maxRedirectDelay)
			return
		}
	}
	m.Node = d.node + 1
	m.NextAt = now + retryDelay
}

// repeatHeartbeat sends a copy of a heartbeat to a random node after its delay. The answer is ignored.
func (s *Servers) repeatHeartbeat(ctx context.Context, client *http.Client, d dueHeartbeat) {
	if wait.For(ctx, d.repeatAfter) {
		s.post(ctx, client, rand.IntN(len(s.NodeAddrs)), &d.heartbeat)
	}
}

// post sends a heartbeat to a node and returns the status and the body of the answer. A status of 0 means
// that no complete answer was received.
func (s *Servers) post(
	ctx context.Context, client *http.Client, node int, heartbeat *wire.Heartbeat,
) (status int, body []byte) {
	raw, err := wire.Marshal(heartbeat)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.NodeAddrs[node]+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	res, err := client.Do(req)
	if err != nil {
		if s.OnFailure != nil {
			s.OnFailure(err)
		}
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, body
}
