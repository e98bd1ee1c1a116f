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

// testHost is a host of hollow workers with one machine, and HTTP servers in place of the nodes.
type testHost struct {
	t       *testing.T
	input   *io.PipeWriter
	events  chan Event
	machine StartResult

	mu         sync.Mutex
	heartbeats []wire.Heartbeat
	answer     func(node int, heartbeat *wire.Heartbeat) (int, any)
}

// newTestHost starts a host with one machine, and nodes that answer heartbeats with a response without
// commands.
func newTestHost(t *testing.T, config Config, nodes int) *testHost {
	t.Helper()
	h := &testHost{t: t, events: make(chan Event, 1000)}
	h.answer = func(int, *wire.Heartbeat) (int, any) { return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5} }
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) {
			h.handleHeartbeat(i, out, q)
		}))
		t.Cleanup(server.Close)
		config.Nodes = append(config.Nodes, Node{Name: string(rune('a' + i)),
			Address: strings.TrimPrefix(server.URL, "http://")})
	}
	in, input := io.Pipe()
	out, output := io.Pipe()
	h.input = input
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
			h.events <- e
		}
	}()
	t.Cleanup(func() {
		_ = input.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	h.send(config)
	h.send(Command{Start: &Machine{Name: "m-1", Type: "m", Zone: "a", GPUs: 4}})
	h.machine = *h.waitForEvent(func(e *Event) bool { return e.StartResult != nil }).StartResult
	return h
}

// send sends the configuration or a command to the host.
func (h *testHost) send(v any) {
	h.t.Helper()
	if err := json.NewEncoder(h.input).Encode(v); err != nil {
		h.t.Fatal(err)
	}
}

// handleHeartbeat handles a heartbeat to a node.
func (h *testHost) handleHeartbeat(node int, out http.ResponseWriter, q *http.Request) {
	var heartbeat wire.Heartbeat
	if !decode(q, &heartbeat) {
		h.t.Errorf("node %d: invalid heartbeat", node)
	}
	h.mu.Lock()
	h.heartbeats = append(h.heartbeats, heartbeat)
	status, body := h.answer(node, &heartbeat)
	h.mu.Unlock()
	respond(out, status, body)
}

// setAnswer sets the function that answers heartbeats.
func (h *testHost) setAnswer(f func(node int, heartbeat *wire.Heartbeat) (int, any)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer = f
}

// waitForEvent returns the next event that matches. It fails the test after 10 s.
func (h *testHost) waitForEvent(match func(*Event) bool) *Event {
	h.t.Helper()
	limit := time.After(10 * time.Second)
	for {
		select {
		case e := <-h.events:
			if match(&e) {
				return &e
			}
		case <-limit:
			h.t.Fatal("no matching event within 10 s")
		}
	}
}

// waitForTask returns the next task event of a kind.
func (h *testHost) waitForTask(kind string) *TaskEvent {
	h.t.Helper()
	return h.waitForEvent(func(e *Event) bool { return e.Task != nil && e.Task.Kind == kind }).Task
}

// sendCommands sends direct commands to the machine. It returns the status of the response and its
// heartbeat.
func (h *testHost) sendCommands(c wire.CommandRequest) (int, wire.Heartbeat) {
	h.t.Helper()
	raw, err := wire.Marshal(c)
	if err != nil {
		h.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://"+h.machine.Address+wire.PathCommands,
		bytes.NewReader(raw))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		h.t.Fatal(err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	var heartbeat wire.Heartbeat
	if res.StatusCode != http.StatusBadRequest && wire.Unmarshal(body, &heartbeat) != nil {
		h.t.Fatalf("status %d with an invalid heartbeat: %q", res.StatusCode, body)
	}
	return res.StatusCode, heartbeat
}

func startCommand(task string, attempt uint64) wire.Command {
	return wire.Command{Verb: wire.CommandStart, Task: task, Attempt: attempt}
}

// longLeaseConfig has a lease that does not expire within a test.
var longLeaseConfig = Config{ReportS: 0.6, LeaseS: 60, GangWaitS: 60, GangPeerS: 0.1}

// A task that the machine can't run exits with the cause. After a forget command, the same attempt of a
// task can be started again.
func TestTaskRuns(t *testing.T) {
	h := newTestHost(t, longLeaseConfig, 1)
	h.send(Command{Job: &Job{ID: "j-1", Tasks: 2, GPUs: 3, RunS: 0.1}})
	h.send(Command{Usage: true}) // its event shows that the earlier commands were executed
	h.waitForEvent(func(e *Event) bool { return e.Usage != nil && e.Usage.Workers == 1 })
	status, report := h.sendCommands(wire.CommandRequest{FencingToken: 7, Incarnation: 1,
		Commands: []wire.Command{startCommand("j-1/0", 1), startCommand("j-1/0", 1), startCommand("j-1/0", 2),
			startCommand("j-1/1", 1), startCommand("j-2/0", 1)}})
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
	if on := h.waitForTask(TaskPlaced); on.Job != "j-1" || on.Machine != "m-1" {
		t.Errorf("%+v", on)
	}
	h.waitForTask(TaskDone)
	h.waitForTask(TaskRemoved)
	forget := []wire.Command{{Verb: wire.CommandForget, Task: "j-1/0", Attempt: 1}, startCommand("j-1/0", 1)}
	if _, report = h.sendCommands(
		wire.CommandRequest{FencingToken: 7, Incarnation: 1, Commands: forget},
	); len(report.Tasks) != 4 || report.Tasks[3].State != wire.Running {
		t.Errorf("start after forget: %+v, want a fourth task in state running", report.Tasks)
	}
}

// Commands with a lower fencing token or for another incarnation are rejected.
func TestOutdatedCommandsAreRejected(t *testing.T) {
	h := newTestHost(t, longLeaseConfig, 1)
	if status, _ := h.sendCommands(wire.CommandRequest{FencingToken: 9, Incarnation: 1}); status != http.StatusOK {
		t.Fatal(status)
	}
	for _, c := range []wire.CommandRequest{
		{FencingToken: 8, Incarnation: 1, Commands: []wire.Command{startCommand("j-1/0", 1)}},
		{FencingToken: 9, Incarnation: 2, Commands: []wire.Command{startCommand("j-1/0", 1)}},
	} {
		if status, report := h.sendCommands(c); status != http.StatusConflict || len(report.Tasks) != 0 {
			t.Errorf("%+v: %d %+v", c, status, report)
		}
	}
	if status, _ := h.sendCommands(wire.CommandRequest{FencingToken: 9}); status != http.StatusBadRequest {
		t.Errorf("request without an incarnation: status %d, want %d", status, http.StatusBadRequest)
	}
}

// A response with a lower fencing token does not renew the lease, and its commands are ignored.
func TestDeposedLeaderDoesNotRenewLease(t *testing.T) {
	config := longLeaseConfig
	config.LeaseS = 1.5
	h := newTestHost(t, config, 1)
	h.send(Command{Job: &Job{ID: "j-1", Tasks: 1, GPUs: 1, RunS: 60}})
	h.setAnswer(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5, Commands: []wire.Command{startCommand("j-1/0", 1)}}
	})
	h.waitForTask(TaskPlaced)
	h.setAnswer(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 4, Commands: []wire.Command{startCommand("j-1/0", 2)}}
	})
	h.waitForTask(TaskRemoved)
	if _, report := h.sendCommands(wire.CommandRequest{FencingToken: 5, Incarnation: 1}); report.Incarnation < 2 ||
		len(report.Tasks) != 0 {
		t.Errorf("after the lease expired: %+v, want a later incarnation without tasks", report)
	}
}

// A worker follows a redirect and tries the next node after an error.
func TestFollowsRedirections(t *testing.T) {
	h := newTestHost(t, longLeaseConfig, 3)
	reached := make(chan int, 100)
	h.setAnswer(func(node int, _ *wire.Heartbeat) (int, any) {
		switch node {
		case 2:
			reached <- node
			return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5}
		case 1:
			return http.StatusServiceUnavailable, wire.Error{}
		}
		return http.StatusMisdirectedRequest, wire.Redirect{Node: "c"}
	})
	select {
	case <-reached:
	case <-time.After(10 * time.Second):
		t.Error("the node of the redirect received no heartbeat within 10 s")
	}
}

// The tasks of a gang run when all are placed, and exit after one has stopped.
func TestGangRunsAndBreaks(t *testing.T) {
	h := newTestHost(t, longLeaseConfig, 1)
	h.send(Command{Job: &Job{ID: "j-1", Tasks: 2, GPUs: 1, Gang: true, RunS: 60}})
	h.setAnswer(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5,
			Commands: []wire.Command{startCommand("j-1/0", 1), startCommand("j-1/1", 1)}}
	})
	h.waitForTask(TaskPlaced)
	h.waitForTask(TaskPlaced)
	attempt := &Attempt{Job: "j-1", Attempt: 1}
	h.send(Command{Run: attempt})
	h.send(Command{Break: attempt})
	h.waitForTask(TaskRemoved)
	h.waitForTask(TaskRemoved)
	if _, report := h.sendCommands(wire.CommandRequest{FencingToken: 5, Incarnation: 1}); len(report.Tasks) != 2 ||
		report.Tasks[0].Cause != wire.CausePeerStopped || report.Tasks[1].Cause != wire.CausePeerStopped {
		t.Errorf("%+v", report.Tasks)
	}
}

// A machine that restarts loses its tasks and continues with the next incarnation.
func TestRestartStartsNextIncarnation(t *testing.T) {
	h := newTestHost(t, longLeaseConfig, 1)
	h.send(Command{Job: &Job{ID: "j-1", Tasks: 1, GPUs: 1, RunS: 60}})
	h.setAnswer(func(int, *wire.Heartbeat) (int, any) {
		return http.StatusOK, wire.HeartbeatResponse{FencingToken: 5, Commands: []wire.Command{startCommand("j-1/0", 1)}}
	})
	h.waitForTask(TaskPlaced)
	h.send(Command{Restart: &Restart{Machine: "m-1", DowntimeS: 0.3}})
	h.waitForTask(TaskRemoved)
	if status, report := h.sendCommands(
		wire.CommandRequest{FencingToken: 5, Incarnation: 1},
	); status != http.StatusConflict || report.Incarnation != 2 {
		t.Errorf("%d %+v", status, report)
	}
	h.send(Command{Remove: "m-1"})
	h.send(Command{Usage: true})
	if u := h.waitForEvent(func(e *Event) bool { return e.Usage != nil }).Usage; u.Workers != 0 || u.Heartbeats == 0 ||
		u.BytesIn == 0 || u.BytesOut == 0 {
		t.Errorf("%+v", u)
	}
}

// Run returns an error if its input is invalid.
func TestInvalidInput(t *testing.T) {
	for _, in := range []string{"", "{}", "{\"nodes\":[{\"name\":\"a\"}],\"report_s\":1,\"lease_s\":0}", "nonsense"} {
		if err := Run(t.Context(), strings.NewReader(in), io.Discard); err == nil {
			t.Errorf("Run accepted the input %q", in)
		}
	}
}
