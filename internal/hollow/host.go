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

// Host is a process's workers.
type Host struct {
	config      Config
	reportEvery time.Duration
	lease       time.Duration
	gangWait    time.Duration
	gangPeer    time.Duration
	meter       meter

	outMu sync.Mutex
	out   *json.Encoder

	mu      sync.Mutex
	started int // workers, those that are gone too
	workers map[string]*worker
	jobs    map[string]*Job
}

// Run hosts workers until its input ends or ctx does. Input and output are lines of JSON: a
// Config and then Commands come in, Events go out. The error says which line was wrong.
func Run(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	lines := json.NewDecoder(bufio.NewReader(in))
	var config Config
	if err := lines.Decode(&config); err != nil {
		return fmt.Errorf("hollow workers: no configuration: %w", err)
	}
	if len(config.Nodes) == 0 || config.ReportS <= 0 || config.LeaseS <= 0 {
		return errors.New("hollow workers: a configuration needs nodes, report_s and lease_s")
	}
	h := &Host{config: config, reportEvery: seconds(config.ReportS), lease: seconds(config.LeaseS), gangWait: seconds(config.GangWaitS),
		gangPeer: seconds(config.GangPeerS), out: json.NewEncoder(out), workers: map[string]*worker{}, jobs: map[string]*Job{}}
	for {
		var c Command
		err := lines.Decode(&c)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("hollow workers: %w", err)
		}
		h.do(ctx, &c)
	}
}

// do carries out a command.
func (h *Host) do(ctx context.Context, c *Command) {
	switch {
	case c.Start != nil:
		h.up(ctx, *c.Start)
	case c.Remove != "":
		if w := h.worker(c.Remove); w != nil {
			w.remove()
			h.mu.Lock()
			delete(h.workers, c.Remove)
			h.mu.Unlock()
		}
	case c.Restart != nil:
		if w := h.worker(c.Restart.Machine); w != nil {
			w.restart(ctx, seconds(c.Restart.AwayS))
		}
	case c.Job != nil:
		h.mu.Lock()
		h.jobs[c.Job.ID] = c.Job
		h.mu.Unlock()
	case c.Run != nil:
		h.each(func(w *worker) { w.run(c.Run) })
	case c.Break != nil:
		h.each(func(w *worker) { w.breakUp(c.Break) })
	case c.Usage:
		usage := h.meter.usage()
		h.mu.Lock()
		usage.Workers = len(h.workers)
		h.mu.Unlock()
		h.tell(Event{Usage: &usage})
	}
}

// up starts a machine's worker and tells its address.
func (h *Host) up(ctx context.Context, m Machine) {
	w, err := h.start(ctx, m)
	if err != nil {
		h.tell(Event{Up: &Up{Machine: m.Name, Why: err.Error()}})
		return
	}
	h.mu.Lock()
	h.workers[m.Name] = w
	h.mu.Unlock()
	h.tell(Event{Up: &Up{Machine: m.Name, Address: w.address}})
}

func (h *Host) worker(name string) *worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers[name]
}

func (h *Host) each(f func(*worker)) {
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

func (h *Host) job(id string) *Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id]
}

// tell writes an event. One that can't be written is lost with whoever read them.
func (h *Host) tell(e Event) {
	h.outMu.Lock()
	defer h.outMu.Unlock()
	e.At = time.Now().UnixMicro()
	_ = h.out.Encode(&e)
}

// nextAddress is where the next worker listens: any port of a loopback address of its own.
func (h *Host) nextAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started++
	const part = 254 // the parts of an address go from 1 to 254
	return fmt.Sprintf("127.%d.%d.%d:0", h.config.Network, h.started/part%part+1, h.started%part+1)
}

// pickNode is the node that a machine's worker reports to first.
func (h *Host) pickNode(machine string) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(machine))
	return int(sum.Sum32() % uint32(len(h.config.Nodes)))
}

// nodeNamed is a node's place in the configuration; -1 if there is none.
func (h *Host) nodeNamed(name string) int {
	return slices.IndexFunc(h.config.Nodes, func(n Node) bool { return n.Name == name })
}

// random is a number from 0 to 1.
func (h *Host) random() float64 { return rand.Float64() }

// nextReport is how long until a report is due by time: the set time, give or take a quarter.
func (h *Host) nextReport() time.Duration {
	return time.Duration((0.75 + 0.5*h.random()) * float64(h.reportEvery))
}

// sleep waits; false if ctx ends first.
func (h *Host) sleep(ctx context.Context, d time.Duration) bool {
	return d <= 0 && ctx.Err() == nil || wait.For(ctx, d)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// post sends a report to a node; a status of 0: there was no answer.
func (w *worker) post(ctx context.Context, node int, report *wire.Heartbeat) (int, []byte) {
	raw, err := wire.Marshal(report)
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

func decode(r *http.Request, v any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
	return err == nil && wire.Unmarshal(raw, v) == nil
}

func respond(out http.ResponseWriter, status int, body any) {
	raw, err := wire.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	out.Header().Set("Content-Type", wire.ContentType)
	out.WriteHeader(status)
	_, _ = out.Write(raw) // the caller may have given up
}
