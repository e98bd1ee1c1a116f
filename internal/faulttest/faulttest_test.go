package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/node"
	"coralhub/wire"
)

// The nodes of the clusters in tests are processes of this test binary with the argument "serve".
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		if err := serve(os.Args); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func serve(args []string) error {
	cfg, err := config.Load(args[len(args)-1], "")
	if err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // returns when the test process closes the pipe or exits
		os.Exit(0)
	}()
	return node.New(cfg).Run(context.Background())
}

// taskSeconds returns the total run time of all tasks of the jobs that are submitted after the initial
// ones, in seconds.
func taskSeconds(s *Scenario) float64 {
	sum := 0.0
	for _, p := range s.plan(5) {
		if p.at.Seconds() > 2 {
			sum += float64(p.job.Tasks) * float64(p.taskRunTime) / 1e6
		}
	}
	return sum
}

// Every embedded scenario is valid, keeps its amount of work when sped up, and plans the same jobs for the
// same seed.
func TestEmbeddedScenarios(t *testing.T) {
	names := Names()
	if len(names) < 10 {
		t.Fatalf("%d embedded scenarios, want at least 10", len(names))
	}
	for _, name := range names {
		s, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name != name || len(s.Expectations) == 0 {
			t.Errorf("scenario %s: name %q, %d expectations", name, s.Name, len(s.Expectations))
		}
		if x := s.SpedUp(4); taskSeconds(x) < 0.6*taskSeconds(s) || taskSeconds(x) > 1.7*taskSeconds(s) {
			t.Errorf("scenario %s sped up by 4: %.0f task seconds, %.0f before", name, taskSeconds(x), taskSeconds(s))
		}
		if a, b := s.plan(5), s.plan(5); !reflect.DeepEqual(a, b) || len(a) == 0 {
			t.Errorf("scenario %s: plans of the same seed differ or have no jobs", name)
		}
	}
}

// Parse rejects an invalid scenario with a single-line error that names the reason.
func TestInvalidScenarios(t *testing.T) {
	const valid = "name = \"x\"\nabout = \"y\"\nduration_s = 5\n[[class]]\nname = \"c\"\nshape = \"array\"\nrun_s = 1\n"
	if _, err := Parse([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ text, want string }{
		{"name = \"x\"\n", "missing"},
		{"name = [", "line 1"},
		{valid + "colour = 1\n", "colour"},
		{strings.Replace(valid, "array", "heap", 1), "shape"},
		{valid + "needs = \"d\"\n", "not a class before it"},
		{valid + "tasks = [3, 1]\n", "tasks"},
		{valid + "[[fault]]\nat_s = 1\nkind = \"flood\"\n", "kind"},
		{valid + "[[fault]]\nat_s = 1\nkind = \"zone_cut\"\ntarget = \"z\"\n", "no zone"},
		{valid + "[[fault]]\nat_s = -1\nkind = \"state_out\"\n", "at_s"},
		{valid + "[[fault]]\nat_s = 1\nfor_s = -2\nkind = \"state_out\"\n", "for_s"},
		{valid + "[[fault]]\nat_s = 1\nkind = \"node_kill\"\ntarget = \"n9\"\n", "n9"},
		{valid + "[[fault]]\nat_s = 1\nkind = \"zone_cut\"\n", "no zone"},
		{valid + "[[fault]]\nat_s = 1\nfor_s = 900\nkind = \"state_out\"\n", "beyond the end"},
		{valid + "[[expect]]\nkind = \"done\"\nshare = 1\nclass = \"d\"\n", "no class"},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("parse %q: error %v, want one line with %q", c.text, err, c.want)
		}
	}
}

const shortScenario = `
name = "short"
about = "A few jobs of each shape, and the leader is killed"
duration_s = 8
settle_s = 60

[deploy]
nodes = 3
machines = 6
boot_s = 0.5

[[class]]
name = "batch"
shape = "array"
tasks = [1, 3]
gpus = 1
image_gb = 0.1
run_s = 1
initial = 4
rate_per_s = 0.5

[[class]]
name = "live"
shape = "service"
priority = "production"
tasks = [1, 1]
gpus = 1
image_gb = 0.1
run_s = 0
initial = 2
cancelled = 1

[[fault]]
at_s = 4
kind = "node_kill"
target = "leader"

[[expect]]
kind = "ended"
class = "batch"
share = 1
`

// runScenario runs a scenario on a new cluster and returns the result. It checks that the result can be
// read back from the directory of the run.
func runScenario(t *testing.T, text string, wrap func(http.RoundTripper) http.RoundTripper) *Result {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	res, err := Run(t.Context(), s, Options{Program: program, Dir: dir, Seed: 3, LogLevel: "error", wrap: wrap})
	if err != nil {
		t.Fatal(err)
	}
	if again, err := ReadResult(dir); err != nil || again.Passed != res.Passed {
		t.Errorf("result read back: %+v, error %v", again, err)
	}
	return res
}

// A short run with real processes and sockets passes although the leader is killed in the middle.
func TestShortRun(t *testing.T) {
	t.Parallel()
	res := runScenario(t, shortScenario, nil)
	if !res.Passed {
		t.Errorf("run failed: %s", res.FailureReason)
	}
	restarts := 0
	for _, n := range res.Nodes {
		restarts += n.Restarts
	}
	if restarts != 1 || res.Machines == 0 || len(res.Load) == 0 {
		t.Errorf("%d restarts (want 1), %d machines, %d seconds of load", restarts, res.Machines, len(res.Load))
	}
	var page bytes.Buffer
	if err := WriteReport(&page, res); err != nil || !strings.Contains(page.String(), "PASS") {
		t.Errorf("report without PASS, or error: %v", err)
	}
}

// limitedTransport is the transport of a process that reaches its limit of open files after a number of
// requests.
type limitedTransport struct {
	next      http.RoundTripper
	remaining atomic.Int32
}

func (x *limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if x.remaining.Add(-1) < 0 {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	return x.next.RoundTrip(req)
}

// If the test process reaches its limit of open files, the run ends at once, names the limit as the reason
// for failing, and reports no violations.
func TestFileDescriptorsExhausted(t *testing.T) {
	t.Parallel()
	res := runScenario(t, shortScenario, func(next http.RoundTripper) http.RoundTripper {
		x := &limitedTransport{next: next}
		x.remaining.Store(20)
		return x
	})
	if res.Passed || !strings.Contains(res.FailureReason, "open files of the test process reached") ||
		len(res.Violations) > 0 {
		t.Errorf("passed %t, reason %q, violations %v", res.Passed, res.FailureReason, res.Violations)
	}
	if res.ElapsedS > 4 {
		t.Errorf("run took %.1f s, want at most 4", res.ElapsedS)
	}
}

// tamperingTransport changes the answers to users.
type tamperingTransport struct {
	next   http.RoundTripper
	tamper func(req *http.Request, status int, st wire.JobStatus) (int, wire.JobStatus)
	skip   func(req *http.Request) (wire.JobStatus, bool) // answers a request instead of the service
}

func (x *tamperingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	answer := func(status int, st wire.JobStatus) (*http.Response, error) {
		raw, err := wire.Marshal(&st)
		return &http.Response{
			StatusCode: status,
			Header:     http.Header{},
			Body:       io.NopCloser(bytes.NewReader(raw)),
			Request:    req,
		}, err
	}
	if x.skip != nil {
		if st, yes := x.skip(req); yes {
			return answer(http.StatusOK, st)
		}
	}
	res, err := x.next.RoundTrip(req)
	if err != nil || x.tamper == nil || !strings.HasPrefix(req.URL.Path, wire.PathJobs) {
		return res, err
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return nil, err
	}
	var st wire.JobStatus
	if res.StatusCode < 300 && wire.Unmarshal(raw, &st) != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return answer(x.tamper(req, res.StatusCode, st))
}

// Each kind of wrong answer is reported as a violation in a run with real processes. The transport changes
// the answers, and the checker has no knowledge of it.
func TestWrongAnswersAreViolations(t *testing.T) {
	id := func(req *http.Request) string {
		return strings.Split(strings.TrimPrefix(req.URL.Path, wire.PathJobs+"/"), "/")[0]
	}
	const quiet = `
name = "wrong-answers"
about = "A few jobs"
duration_s = 6
settle_s = 40
[deploy]
nodes = 1
machines = 4
boot_s = 0.3
report_s = 0.5
lease_s = 2
cancel_s = 4
[[class]]
name = "batch"
shape = "array"
gpus = 1
run_s = 12
initial = 3
[[class]]
name = "live"
shape = "service"
gpus = 1
run_s = 0
initial = 1
cancelled = 1
`
	for rule, newTransport := range map[string]func() *tamperingTransport{
		"not_done": func() *tamperingTransport {
			return &tamperingTransport{tamper: func(req *http.Request, status int, st wire.JobStatus) (int, wire.JobStatus) {
				if status == 200 && st.Status == wire.Running {
					st.Status = wire.Done
				}
				return status, st
			}}
		},
		"forgotten": func() *tamperingTransport {
			return &tamperingTransport{tamper: func(req *http.Request, status int, st wire.JobStatus) (int, wire.JobStatus) {
				if req.Method == http.MethodGet && status == 200 {
					return 404, wire.JobStatus{}
				}
				return status, st
			}}
		},
		"invented": func() *tamperingTransport {
			return &tamperingTransport{tamper: func(req *http.Request, status int, st wire.JobStatus) (int, wire.JobStatus) {
				if status == 404 {
					return 200, wire.JobStatus{ID: id(req), Status: wire.Queued}
				}
				return status, st
			}}
		},
		"went_back": func() *tamperingTransport {
			return &tamperingTransport{tamper: func(req *http.Request, status int, st wire.JobStatus) (int, wire.JobStatus) {
				if status == 200 && req.Method == http.MethodGet {
					st.Status = wire.Cancelled
				}
				return status, st
			}}
		},
		"ran_cancelled": func() *tamperingTransport {
			var mu sync.Mutex
			cancelled := map[string]bool{} // the cancellation is not forwarded to the service
			return &tamperingTransport{skip: func(req *http.Request) (wire.JobStatus, bool) {
				mu.Lock()
				defer mu.Unlock()
				if strings.HasSuffix(req.URL.Path, wire.CancelVerb) {
					cancelled[id(req)] = true
				}
				return wire.JobStatus{ID: id(req), Status: wire.Cancelled}, cancelled[id(req)]
			}}
		},
	} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			transport := newTransport()
			res := runScenario(t, quiet, func(next http.RoundTripper) http.RoundTripper {
				transport.next = next
				return transport
			})
			if res.Passed {
				t.Fatal("run passed, want a violation")
			}
			found := false
			for _, b := range res.Violations {
				found = found || b.Rule == rule
			}
			if !found {
				t.Errorf("no violation of %s: %s", rule, res.FailureReason)
			}
		})
	}
}
