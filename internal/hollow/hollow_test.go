package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"coralhub/wire"
)

// rig is a process of hollow workers with one machine, and controllers that answer as told.
type rig struct {
	t      *testing.T
	input  *io.PipeWriter
	events chan Event
	up     Up

	mu      sync.Mutex
	reports []wire.Heartbeat
	answer  func(node int, r *wire.Heartbeat) (int, any)
}

func newRig(t *testing.T, config Config, nodes int) *rig {
	t.Helper()
	r := &rig{t: t, events: make(chan Event, 1000)}
	r.answer = func(int, *wire.Heartbeat) (int, any) { return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5} }
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) { r.report(i, out, q) }))
		t.Cleanup(server.Close)
		config.Nodes = append(config.Nodes, Node{Name: string(rune('a' + i)), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	in, input := io.Pipe()
	out, output := io.Pipe()
	r.input = input
	done := make(chan error, 1)
	go func() {
		done <- Run(t.Context(), in, output)
		_ = output.Close()
	}()
	go func() {
		for events := json.NewDecoder(out); ; {
			var e Event
			if events.Decode(&e) != nil {
				return
			}
			r.events <- e
		}
	}()
	t.Cleanup(func() {
		_ = input.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	r.write(config)
	r.write(Command{Start: &Machine{Name: "m-1", Type: "m", Zone: "a", GPUs: 4}})
	r.up = *r.next(func(e *Event) bool { return e.Up != nil }).Up
	return r
}

func (r *rig) write(v any) {
	r.t.Helper()
	if err := json.NewEncoder(r.input).Encode(v); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) report(node int, out http.ResponseWriter, q *http.Request) {
	var report wire.Heartbeat
	if !decode(q, &report) {
		r.t.Error("a report that can't be read")
	}
	r.mu.Lock()
	r.reports = append(r.reports, report)
	status, body := r.answer(node, &report)
	r.mu.Unlock()
	respond(out, status, body)
}

// answering has controllers answer otherwise from now on.
func (r *rig) answering(f func(node int, r *wire.Heartbeat) (int, any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = f
}

// next waits for an event.
func (r *rig) next(is func(*Event) bool) *Event {
	r.t.Helper()
	limit := time.After(10 * time.Second)
	for {
		select {
		case e := <-r.events:
			if is(&e) {
				return &e
			}
		case <-limit:
			r.t.Fatal("an event did not come")
		}
	}
}

func (r *rig) task(kind string) *Task {
	r.t.Helper()
	return r.next(func(e *Event) bool { return e.Task != nil && e.Task.Kind == kind }).Task
}

// commands makes a direct call.
func (r *rig) commands(c wire.CommandRequest) (int, wire.Heartbeat) {
	r.t.Helper()
	raw, err := wire.Marshal(c)
	if err != nil {
		r.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+r.up.Address+wire.PathCommands, bytes.NewReader(raw))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	var report wire.Heartbeat
	if res.StatusCode != http.StatusBadRequest && wire.Unmarshal(body, &report) != nil {
		r.t.Fatalf("answer %q", body)
	}
	return res.StatusCode, report
}

func start(task string, attempt uint64) wire.Command {
	return wire.Command{Verb: wire.CommandStart, Task: task, Attempt: attempt}
}

// quick are times under which a lease doesn't end by itself.
var quick = Config{ReportS: 0.6, LeaseS: 60, GangWaitS: 60, GangPeerS: 0.1}

func TestTaskRuns(t *testing.T) {
	r := newRig(t, quick, 1)
	r.write(Command{Job: &Job{ID: "j-1", Tasks: 2, GPUs: 3, RunS: 0.1}})
	r.write(Command{Usage: true}) // what was told before has been taken by then
	r.next(func(e *Event) bool { return e.Usage != nil && e.Usage.Workers == 1 })
	status, report := r.commands(wire.CommandRequest{FencingToken: 7, Incarnation: 1, Commands: []wire.Command{start("j-1/0", 1), start("j-1/0", 1), start("j-1/0", 2), start("j-1/1", 1), start("j-2/0", 1)}})
	if status != http.StatusOK || report.FencingToken != 7 || len(report.Tasks) != 4 {
		t.Fatalf("%d %+v", status, report)
	}
	for i, want := range []wire.TaskStatus{
		{Task: "j-1/0", Attempt: 1, State: wire.Running},
		{Task: "j-1/0", Attempt: 2, State: wire.Exited, Cause: wire.CauseBusy},
		{Task: "j-1/1", Attempt: 1, State: wire.Exited, Cause: wire.CauseNoCapacity},
		{Task: "j-2/0", Attempt: 1, State: wire.Exited, Cause: wire.CauseUnknown},
	} {
		if report.Tasks[i] != want {
			t.Errorf("task %d: %+v, want %+v", i, report.Tasks[i], want)
		}
	}
	if on := r.task(TaskOn); on.Job != "j-1" || on.Machine != "m-1" {
		t.Errorf("%+v", on)
	}
	r.task(TaskDone)
	r.task(TaskOff)
	forget := []wire.Command{{Verb: wire.CommandForget, Task: "j-1/0", Attempt: 1}, start("j-1/0", 1)}
	if _, report = r.commands(wire.CommandRequest{FencingToken: 7, Incarnation: 1, Commands: forget}); len(report.Tasks) != 4 || report.Tasks[3].State != wire.Running {
		t.Errorf("a start after a reap takes effect again: %+v", report.Tasks)
	}
}

// Commands by a lower token or for another session are not carried out.
func TestCommandsRefused(t *testing.T) {
	r := newRig(t, quick, 1)
	if status, _ := r.commands(wire.CommandRequest{FencingToken: 9, Incarnation: 1}); status != http.StatusOK {
		t.Fatal(status)
	}
	for _, c := range []wire.CommandRequest{{FencingToken: 8, Incarnation: 1, Commands: []wire.Command{start("j-1/0", 1)}}, {FencingToken: 9, Incarnation: 2, Commands: []wire.Command{start("j-1/0", 1)}}} {
		if status, report := r.commands(c); status != http.StatusConflict || len(report.Tasks) != 0 {
			t.Errorf("%+v: %d %+v", c, status, report)
		}
	}
	if status, _ := r.commands(wire.CommandRequest{FencingToken: 9}); status != http.StatusBadRequest {
		t.Errorf("without a session: %d", status)
	}
}

// An answer with a lower token neither renews the lease nor gives commands.
func TestLeaseEnds(t *testing.T) {
	config := quick
	config.LeaseS = 1.5
	r := newRig(t, config, 1)
	r.write(Command{Job: &Job{ID: "j-1", Tasks: 1, GPUs: 1, RunS: 60}})
	r.answering(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5, Commands: []wire.Command{start("j-1/0", 1)}}
	})
	r.task(TaskOn)
	r.answering(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 4, Commands: []wire.Command{start("j-1/0", 2)}}
	})
	r.task(TaskOff)
	if _, report := r.commands(wire.CommandRequest{FencingToken: 5, Incarnation: 1}); report.Incarnation < 2 || len(report.Tasks) != 0 {
		t.Errorf("after its lease: %+v", report)
	}
}

func TestFollowsRedirections(t *testing.T) {
	r := newRig(t, quick, 3)
	served := make(chan int, 100)
	r.answering(func(node int, _ *wire.Heartbeat) (int, any) {
		switch node {
		case 2:
			served <- node
			return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5}
		case 1:
			return http.StatusServiceUnavailable, wire.Error{}
		}
		return http.StatusMisdirectedRequest, wire.Redirect{Node: "c"}
	})
	select {
	case <-served:
	case <-time.After(10 * time.Second):
		t.Error("the node that was named is never asked")
	}
}

func TestGang(t *testing.T) {
	r := newRig(t, quick, 1)
	r.write(Command{Job: &Job{ID: "j-1", Tasks: 2, GPUs: 1, Gang: true, RunS: 60}})
	r.answering(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5, Commands: []wire.Command{start("j-1/0", 1), start("j-1/1", 1)}}
	})
	r.task(TaskOn)
	r.task(TaskOn)
	attempt := &Attempt{Job: "j-1", Attempt: 1}
	r.write(Command{Run: attempt})
	r.write(Command{Break: attempt})
	r.task(TaskOff)
	r.task(TaskOff)
	if _, report := r.commands(wire.CommandRequest{FencingToken: 5, Incarnation: 1}); len(report.Tasks) != 2 || report.Tasks[0].Cause != wire.CausePeersGone || report.Tasks[1].Cause != wire.CausePeersGone {
		t.Errorf("%+v", report.Tasks)
	}
}

// A machine that restarts loses what is on it and goes on with the next session.
func TestRestart(t *testing.T) {
	r := newRig(t, quick, 1)
	r.write(Command{Job: &Job{ID: "j-1", Tasks: 1, GPUs: 1, RunS: 60}})
	r.answering(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5, Commands: []wire.Command{start("j-1/0", 1)}}
	})
	r.task(TaskOn)
	r.write(Command{Restart: &Restart{Machine: "m-1", AwayS: 0.3}})
	r.task(TaskOff)
	if status, report := r.commands(wire.CommandRequest{FencingToken: 5, Incarnation: 1}); status != http.StatusConflict || report.Incarnation != 2 {
		t.Errorf("%d %+v", status, report)
	}
	r.write(Command{Remove: "m-1"})
	r.write(Command{Usage: true})
	if u := r.next(func(e *Event) bool { return e.Usage != nil }).Usage; u.Workers != 0 || u.Reports == 0 || u.BytesIn == 0 || u.BytesOut == 0 {
		t.Errorf("%+v", u)
	}
}

func TestBadInput(t *testing.T) {
	for _, in := range []string{"", "{}", "{\"nodes\":[{\"name\":\"a\"}],\"report_s\":1,\"lease_s\":0}", "nonsense"} {
		if err := Run(t.Context(), strings.NewReader(in), io.Discard); err == nil {
			t.Errorf("%q was taken", in)
		}
	}
}
