package hollow

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

// Host runs the workers of a process.
type Host struct {
	config            Config
	heartbeatInterval time.Duration
	lease             time.Duration
	gangWait          time.Duration
	gangPeer          time.Duration
	meter             meter
	background        sync.WaitGroup // goroutines of all workers; only the goroutine of Run adds to it

	outMu sync.Mutex
	out   *json.Encoder

	mu             sync.Mutex
	workersStarted int // number of workers ever started
	workers        map[string]*worker
	jobs           map[string]*Job
	serveErr       error // joined errors of workers' servers that ended unexpectedly
}

// Run runs workers until in ends; if ctx ends earlier, the workers stop then. All goroutines that it
// starts have ended when it returns. Input and output are lines of JSON: it reads a Config followed by
// Commands, and writes Events. It returns an error if the input is invalid or the server of a worker
// ended unexpectedly.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(bufio.NewReader(in))
	var config Config
	if err := lines.Decode(&config); err != nil {
		return fmt.Errorf("hollow workers: read configuration: %w", err)
	}
	if len(config.Nodes) == 0 || config.ReportS <= 0 || config.LeaseS <= 0 {
		return errors.New("hollow workers: configuration must have at least one node, and report_s and lease_s above 0")
	}
	h := newHost(config, out)
	ctx, stop := context.WithCancel(ctx)
	err := h.handleCommands(ctx, lines)
	stop()
	return errors.Join(err, h.close())
}

// handleCommands reads and executes commands until the input ends.
func (h *Host) handleCommands(ctx context.Context, lines *json.Decoder) error {
	for {
		var c Command
		err := lines.Decode(&c)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("hollow workers: read command: %w", err)
		}
		h.handle(ctx, &c)
	}
}

// close waits for the workers to end and returns the errors of their servers. The context of the workers
// must have ended.
func (h *Host) close() error {
	h.forEachWorker((*worker).dropTasks)
	h.background.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serveErr
}

// addServeError records that the server of a worker ended unexpectedly or could not be closed.
func (h *Host) addServeError(machine string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serveErr = errors.Join(h.serveErr, fmt.Errorf("server of worker on %s: %w", machine, err))
}

func newHost(config Config, out io.Writer) *Host {
	return &Host{
		config:            config,
		heartbeatInterval: wait.Seconds(config.ReportS),
		lease:             wait.Seconds(config.LeaseS),
		gangWait:          wait.Seconds(config.GangWaitS),
		gangPeer:          wait.Seconds(config.GangPeerS),
		out:               json.NewEncoder(out),
		workers:           map[string]*worker{},
		jobs:              map[string]*Job{},
	}
}

func (h *Host) handle(ctx context.Context, c *Command) {
	switch {
	case c.Start != nil:
		h.startMachine(ctx, *c.Start)
	case c.Remove != "":
		if w := h.worker(c.Remove); w != nil {
			w.remove()
			h.mu.Lock()
			delete(h.workers, c.Remove)
			h.mu.Unlock()
		}
	case c.Restart != nil:
		if w := h.worker(c.Restart.Machine); w != nil {
			w.restart(ctx, wait.Seconds(c.Restart.DowntimeS))
		}
	case c.Job != nil:
		h.mu.Lock()
		h.jobs[c.Job.ID] = c.Job
		h.mu.Unlock()
	case c.Run != nil:
		h.forEachWorker(func(w *worker) { w.runGang(c.Run) })
	case c.Break != nil:
		h.forEachWorker(func(w *worker) { w.breakGang(c.Break) })
	case c.Usage:
		usage := h.meter.usage()
		h.mu.Lock()
		usage.Workers = len(h.workers)
		h.mu.Unlock()
		h.emit(Event{Usage: &usage})
	}
}

// startMachine starts a machine's worker and emits a StartResult.
func (h *Host) startMachine(ctx context.Context, m Machine) {
	w, err := h.startWorker(ctx, m)
	if err != nil {
		h.emit(Event{StartResult: &StartResult{Machine: m.Name, Error: err.Error()}})
		return
	}
	h.mu.Lock()
	h.workers[m.Name] = w
	h.mu.Unlock()
	h.emit(Event{StartResult: &StartResult{Machine: m.Name, Address: w.address}})
}

// worker returns the worker of a machine, or nil if there is none.
func (h *Host) worker(name string) *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers[name]
}

// forEachWorker calls f with each worker, without holding the lock.
func (h *Host) forEachWorker(f func(*worker)) {
	h.mu.Lock()
	all := make([]*worker, 0, len(h.workers))
	for _, w := range h.workers {
		all = append(all, w)
	}
	h.mu.Unlock()
	for _, w := range all {
		f(w)
	}
}

// job returns a job, or nil if it is unknown.
func (h *Host) job(id string) *Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id]
}

// emit writes an event. Write errors are ignored, because they mean that the reader has closed the pipe.
func (h *Host) emit(e Event) {
	h.outMu.Lock()
	defer h.outMu.Unlock()
	e.At = time.Now().UnixMicro()
	_ = h.out.Encode(&e)
}

// nextAddress returns the listen address of the next worker: a loopback address that no other worker
// uses, with a port that the system chooses.
func (h *Host) nextAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workersStarted++
	const hosts = 254 // the last two octets range from 1 to 254
	return fmt.Sprintf("127.%d.%d.%d:0", h.config.Network, h.workersStarted/hosts%hosts+1, h.workersStarted%hosts+1)
}

// firstNode returns the index of the node that receives a machine's first heartbeat.
func (h *Host) firstNode(machine string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(machine))
	return int(sum.Sum32() % uint32(len(h.config.Nodes)))
}

// nodeIndex returns the index of a node in the configuration, or -1 if there is none of that name.
func (h *Host) nodeIndex(name string) int {
	return slices.IndexFunc(h.config.Nodes, func(n Node) bool { return n.Name == name })
}

// random returns a random number in [0, 1).
func (h *Host) random() float64 { return rand.Float64() }

// nextHeartbeatDelay returns the time until the next heartbeat: the interval with a jitter of ±25%.
func (h *Host) nextHeartbeatDelay() time.Duration {
	return time.Duration((0.75 + 0.5*h.random()) * float64(h.heartbeatInterval))
}

// sleep waits for d, or returns immediately if d is not above 0. It returns false if ctx ends first.
func (h *Host) sleep(ctx context.Context, d time.Duration) bool {
	return d <= 0 && ctx.Err() == nil || wait.For(ctx, d)
}

// postHeartbeat sends a heartbeat to a node and returns the status and body of the response. The status is
// 0 if there was no complete response.
func (w *worker) postHeartbeat(ctx context.Context, node int, heartbeat *wire.Heartbeat) (int, []byte) {
	raw, err := wire.Marshal(heartbeat)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+w.host.config.Nodes[node].Address+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBodyBytes))
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, body
}

// decode decodes the body of a request into v. It reports whether the body is valid.
func decode(r *http.Request, v any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes))
	return err == nil && wire.Unmarshal(raw, v) == nil
}

// respond writes a response with an encoded body.
func respond(out http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	out.Header().Set("Content-Type", wire.ContentType)
	out.WriteHeader(status)
	_, _ = out.Write(raw) // the client may have closed the connection
}
