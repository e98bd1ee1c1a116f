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

// The nodes of a test's cluster run this test program with the argument "serve".
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
		_, _ = io.Copy(io.Discard, os.Stdin) // ends with the test
		os.Exit(0)
	}()
	return node.New(cfg).Run(context.Background())
}

// work is the total run time of the jobs that are submitted after the initial ones, in task seconds.
func work(s *Scenario) float64 {
	sum := 0.0
	for _, p := range s.plan(5) {
		if p.at.Seconds() > 2 {
			sum += float64(p.job.Tasks) * float64(p.run) / 1e6
		}
	}
	return sum
}

// Every embedded scenario is valid, keeps its amount of work when sped up, and draws the same jobs from
// the same seed.
func TestScenariosAreSound(t *testing.T) {
	names := Names()
	if len(names) < 10 {
		t.Fatalf("%d scenarios", len(names))
	}
	for _, name := range names {
		s, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name != name || len(s.Expect) == 0 {
			t.Errorf("%s is called %q and expects %d things", name, s.Name, len(s.Expect))
		}
		if x := s.Sped(4); work(x) < 0.6*work(s) || work(x) > 1.7*work(s) {
			t.Errorf("%s at four times the speed: %.0f task seconds, %.0f before", name, work(x), work(s))
		}
		if a, b := s.plan(5), s.plan(5); !reflect.DeepEqual(a, b) || len(a) == 0 {
			t.Errorf("%s: the same seed draws other jobs", name)
		}
	}
}

// A scenario that can't be played is refused with an error of one line that names the reason.
func TestBadScenarios(t *testing.T) {
	const sound = "name = \"x\"\nabout = \"y\"\nduration_s = 5\n[[class]]\nname = \"c\"\nshape = \"array\"\nrun_s = 1\n"
	if _, err := Parse([]byte(sound)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ text, want string }{
		{"name = \"x\"\n", "missing"},
		{"name = [", "line 1"},
		{sound + "colour = 1\n", "colour"},
		{strings.Replace(sound, "array", "heap", 1), "shape"},
		{sound + "needs = \"d\"\n", "not a class before it"},
		{sound + "tasks = [3, 1]\n", "tasks"},
		{sound + "[[fault]]\nat_s = 1\nkind = \"flood\"\n", "kind"},
		{sound + "[[fault]]\nat_s = 1\nkind = \"zone_cut\"\ntarget = \"z\"\n", "no zone"},
		{sound + "[[fault]]\nat_s = -1\nkind = \"state_out\"\n", "at_s"},
		{sound + "[[fault]]\nat_s = 1\nfor_s = -2\nkind = \"state_out\"\n", "for_s"},
		{sound + "[[fault]]\nat_s = 1\nkind = \"node_kill\"\ntarget = \"n9\"\n", "n9"},
		{sound + "[[fault]]\nat_s = 1\nkind = \"zone_cut\"\n", "no zone"},
		{sound + "[[fault]]\nat_s = 1\nfor_s = 900\nkind = \"state_out\"\n", "beyond the end"},
		{sound + "[[expect]]\nkind = \"done\"\nshare = 1\nclass = \"d\"\n", "no class"},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with %q", c.text, err, c.want)
		}
	}
}

const short = `
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

// play plays a scenario on a cluster of its own and returns the result, which must be readable from
// the run's directory as well.
func play(t *testing.T, text string, wrap func(http.RoundTripper) http.RoundTripper) *Result {
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
	res, err := Run(t.Context(), s, Options{Program: program, Dir: dir, Seed: 3, Log: "error", wrap: wrap})
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Open(dir); err != nil || again.Passed != res.Passed {
		t.Errorf("what was kept: %+v, %v", again, err)
	}
	return res
}

// A short run on real processes and sockets passes although the leader is killed in the middle.
func TestShortRun(t *testing.T) {
	t.Parallel()
	res := play(t, short, nil)
	if !res.Passed {
		t.Errorf("%s", res.Why)
	}
	restarts := 0
	for _, n := range res.Nodes {
		restarts += n.Restarts
	}
	if restarts != 1 || res.Machines == 0 || len(res.Load) == 0 {
		t.Errorf("%d restarts, %d machines, %d seconds", restarts, res.Machines, len(res.Load))
	}
	var page bytes.Buffer
	if err := Report(&page, res); err != nil || !strings.Contains(page.String(), "PASS") {
		t.Errorf("report: %v", err)
	}
}

// exhausted is the transport of a process that can open no more files after some requests.
type exhausted struct {
	next      http.RoundTripper
	remaining atomic.Int32
}

func (x *exhausted) RoundTrip(req *http.Request) (*http.Response, error) {
	if x.remaining.Add(-1) < 0 {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	return x.next.RoundTrip(req)
}

// A run whose own process can open no more files says so, ends at once, and reports no violation.
func TestOutOfFiles(t *testing.T) {
	t.Parallel()
	res := play(t, short, func(next http.RoundTripper) http.RoundTripper {
		x := &exhausted{next: next}
		x.remaining.Store(20)
		return x
	})
	if res.Passed || !strings.Contains(res.Why, "run out of files") || len(res.Violations) > 0 {
		t.Errorf("why %q, broken %v", res.Why, res.Violations)
	}
	if res.TookS > 4 {
		t.Errorf("it went on for %.1f s", res.TookS)
	}
}

// tamperingTransport is a transport that changes the answers to users.
type tamperingTransport struct {
	next   http.RoundTripper
	tamper func(req *http.Request, status int, st wire.JobStatus) (int, wire.JobStatus)
	skip   func(req *http.Request) (wire.JobStatus, bool) // answered without reaching the service
}

func (x *tamperingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	answer := func(status int, st wire.JobStatus) (*http.Response, error) {
		raw, err := wire.Marshal(&st)
		return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(raw)), Request: req}, err
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

// Each wrong answer of a broken service is reported as a violation, on real processes: the checker is not
// told which answers are wrong.
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
			cancelled := map[string]bool{} // the service never learns of the cancellation
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
			res := play(t, quiet, func(next http.RoundTripper) http.RoundTripper {
				transport.next = next
				return transport
			})
			if res.Passed {
				t.Fatal("passed")
			}
			found := false
			for _, b := range res.Violations {
				found = found || b.Rule == rule
			}
			if !found {
				t.Errorf("%s not found: %s", rule, res.Why)
			}
		})
	}
}
