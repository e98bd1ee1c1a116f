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

// Host hosts the workers of a process.
type Host struct {
	config            Config
	heartbeatInterval time.Duration
	lease             time.Duration
	gangWait          time.Duration
	gangPeer          time.Duration
	meter             meter
	background        sync.WaitGroup // the goroutines of all workers; only Run's goroutine adds to it

	outMu sync.Mutex
	out   *json.Encoder

	mu             sync.Mutex
	workersStarted int // workers that were ever started
	workers        map[string]*worker
	jobs           map[string]*Job
	serveErr       error // of the workers' servers that ended by themselves
}

// Run hosts workers until its input ends; the workers end with ctx if that is earlier. When it returns,
// all its goroutines have ended. Input and output are lines of JSON: a Config and then Commands are
// read, Events are written. The error says which line was invalid, or why a worker could not listen on.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(bufio.NewReader(in))
	var config Config
	if err := lines.Decode(&config); err != nil {
		return fmt.Errorf("hollow workers: no configuration: %w", err)
	}
	if len(config.Nodes) == 0 || config.ReportS <= 0 || config.LeaseS <= 0 {
		return errors.New("hollow workers: a configuration needs nodes, report_s and lease_s")
	}
	h := newHost(config, out)
	ctx, stop := context.WithCancel(ctx)
	err := h.handleAll(ctx, lines)
	stop()
	return errors.Join(err, h.close())
}

// handleAll executes commands until there are no more.
func (h *Host) handleAll(ctx context.Context, lines *json.Decoder) error {
	for {
		var c Command
		err := lines.Decode(&c)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("hollow workers: %w", err)
		}
		h.handle(ctx, &c)
	}
}

// close waits for the workers, whose context has ended, and returns the errors of their servers.
func (h *Host) close() error {
	h.forEachWorker((*worker).abandonTasks)
	h.background.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serveErr
}

// serveFailed notes that a worker's server has ended by itself.
func (h *Host) serveFailed(machine string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serveErr = errors.Join(h.serveErr, fmt.Errorf("worker of %s: %w", machine, err))
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

// handle executes a command.
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
			w.restart(ctx, wait.Seconds(c.Restart.AwayS))
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

// startMachine starts a machine's worker and emits its address.
func (h *Host) startMachine(ctx context.Context, m Machine) {
	w, err := h.startWorker(ctx, m)
	if err != nil {
		h.emit(Event{Up: &Up{Machine: m.Name, Why: err.Error()}})
		return
	}
	h.mu.Lock()
	h.workers[m.Name] = w
	h.mu.Unlock()
	h.emit(Event{Up: &Up{Machine: m.Name, Address: w.address}})
}

// worker returns the worker of a machine, or nil.
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

// emit writes an event. An event that can't be written is dropped: its reader is gone.
func (h *Host) emit(e Event) {
	h.outMu.Lock()
	defer h.outMu.Unlock()
	e.At = time.Now().UnixMicro()
	_ = h.out.Encode(&e)
}

// nextAddress returns the address that the next worker listens on: any port of a loopback address of
// its own.
func (h *Host) nextAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workersStarted++
	const hosts = 254 // the numbers of an address go from 1 to 254
	return fmt.Sprintf("127.%d.%d.%d:0", h.config.Network, h.workersStarted/hosts%hosts+1, h.workersStarted%hosts+1)
}

// pickNode returns the index of the node that gets a machine's first heartbeat.
func (h *Host) pickNode(machine string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(machine))
	return int(sum.Sum32() % uint32(len(h.config.Nodes)))
}

// nodeNamed returns a node's index in the configuration; -1 if there is none.
func (h *Host) nodeNamed(name string) int {
	return slices.IndexFunc(h.config.Nodes, func(n Node) bool { return n.Name == name })
}

// random returns a random number from 0 to 1.
func (h *Host) random() float64 { return rand.Float64() }

// nextHeartbeat returns the time until the next heartbeat: the interval, plus or minus up to a quarter.
func (h *Host) nextHeartbeat() time.Duration {
	return time.Duration((0.75 + 0.5*h.random()) * float64(h.heartbeatInterval))
}

// sleep waits for d. It returns false if ctx ends first.
func (h *Host) sleep(ctx context.Context, d time.Duration) bool {
	return d <= 0 && ctx.Err() == nil || wait.For(ctx, d)
}

// postHeartbeat sends a heartbeat to a node and returns the status and body of the response; 0 if
// there was none.
func (w *worker) postHeartbeat(ctx context.Context, node int, heartbeat *wire.Heartbeat) (int, []byte) {
	raw, err := wire.Marshal(heartbeat)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.host.config.Nodes[node].Address+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBody))
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, body
}

// decode decodes the body of a request. It reports whether that is valid.
func decode(r *http.Request, v any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	return err == nil && wire.Unmarshal(raw, v) == nil
}

// respond writes a response.
func respond(out http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	out.Header().Set("Content-Type", wire.ContentType)
	out.WriteHeader(status)
	_, _ = out.Write(raw) // the caller may have given up
}
