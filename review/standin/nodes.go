//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coralhub/wire"
)

// Node is a controller process, started with the run command of the deploy file.
type Node struct {
	name, zone   string
	client, peer string
	config       string
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	killed       bool
}

// Nodes are the controller processes of a case.
type Nodes struct {
	rec     *Record
	program string
	dir     string
	all     []*Node
	// OnEnd is called when a process ends that was not killed by the test.
	OnEnd func(n *Node, state string)
}

// freeAddress returns a loopback address that is free, with a port below those that the system hands out by itself.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
}

// settings writes the settings files; cluster is the text of [cluster] and below, the same for all nodes.
func (ns *Nodes) settings(zones []string, state, cloud, cluster string) error {
	for i, z := range zones {
		ns.all = append(ns.all, &Node{name: fmt.Sprintf("berth-%d", i), zone: z, client: freeAddress(), peer: freeAddress()})
	}
	for _, n := range ns.all {
		var b bytes.Buffer
		fmt.Fprintf(&b, "node = %q\nlocation = %q\nclient_listen = %q\npeer_listen = %q\n\n", n.name, n.zone, n.client, n.peer)
		for _, p := range ns.all {
			if p != n {
				fmt.Fprintf(&b, "[[peers]]\nnode = %q\nlocation = %q\naddress = %q\n\n", p.name, p.zone, p.peer)
			}
		}
		fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n\n%s", cloud, state, cluster)
		n.config = filepath.Join(ns.dir, n.name+".toml")
		if err := os.WriteFile(n.config, b.Bytes(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (ns *Nodes) startNode(n *Node) error {
	log, err := os.OpenFile(filepath.Join(ns.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(ns.program, "--config", n.config)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = log
	cmd.Stdout = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the case
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.killed = cmd, ended, false
	n.mu.Unlock()
	ns.rec.Say("controller %s started, process %d", n.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		killed := n.killed
		n.mu.Unlock()
		close(ended)
		if !killed {
			ns.rec.Say("controller %s ended by itself: %s", n.name, cmd.ProcessState)
			if ns.OnEnd != nil {
				ns.OnEnd(n, cmd.ProcessState.String())
			}
		}
	}()
	return nil
}

// kill ends a process without any signal that it could handle.
func (ns *Nodes) kill(n *Node) {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.killed = true
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
	ns.rec.Say("controller %s killed", n.name)
}

func (ns *Nodes) byName(name string) *Node {
	for _, n := range ns.all {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (n *Node) ready(c *http.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+n.client+"/ready", nil)
	res, err := c.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// Users is a stand-in of users and of their load balancer, which picks a node that answers.
type Users struct {
	rec   *Record
	nodes *Nodes
	http  *http.Client
	mu    sync.Mutex
	down  map[string]bool
}

func newUsers(rec *Record, ns *Nodes) *Users {
	return &Users{rec: rec, nodes: ns, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, down: map[string]bool{}}
}

func (u *Users) setDown(name string, down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down[name] = down
}

func (u *Users) pick() *Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	var up []*Node
	for _, n := range u.nodes.all {
		if !u.down[n.name] {
			up = append(up, n)
		}
	}
	return up[rand.IntN(len(up))]
}

func (u *Users) request(timeout time.Duration, n *Node, method, path string, body []byte) (int, wire.JobStatus) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.client+path, bytes.NewReader(body))
	res, err := u.http.Do(req)
	if err != nil {
		return 0, wire.JobStatus{}
	}
	defer res.Body.Close()
	raw, _ := io.ReadAll(res.Body)
	var s wire.JobStatus
	if res.StatusCode < 300 && wire.Unmarshal(raw, &s) != nil {
		return 0, s
	}
	return res.StatusCode, s
}

// submit submits a job, with retries as the page says, and reports whether it was accepted.
func (u *Users) submit(j *wire.Job) bool {
	body, _ := wire.Marshal(submission(j))
	for began := time.Now(); time.Since(began) < 60*time.Second; {
		n := u.pick()
		status, s := u.request(5*time.Second, n, "POST", wire.PathJobs, body)
		u.rec.Printf("submit %s (%s, %d tasks) to %s: %d %s", j.ID, j.Class, j.Tasks, n.name, status, s.Status)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

func (u *Users) poll(id string) (int, wire.JobStatus) {
	n := u.pick()
	status, s := u.request(2*time.Second, n, "GET", wire.PathJobs+"/"+id, nil)
	running, done := 0, 0
	if s.Running != nil {
		running = *s.Running
	}
	if s.Done != nil {
		done = *s.Done
	}
	u.rec.Printf("poll %s at %s: %d %s done %d running %d", id, n.name, status, s.Status, done, running)
	return status, s
}

// submission returns the message of a job with all fields of the page.
func submission(j *wire.Job) map[string]any {
	m := map[string]any{"ref": j.ID, "docket": j.Class, "desk": j.Team, "shape": j.Shape, "rank": j.Priority, "lots": j.Tasks,
		"cores": j.CPUs, "gpus": j.GPUs, "ram_gb": j.MemoryGB, "build": j.Image, "pull_gb": j.ImageGB, "rigs": nil,
		"one_zone": j.OneZone, "spread": j.Spread, "loaners": j.Spot, "expect_s": j.EstimateS, "bookmark_s": j.CheckpointS,
		"stash_s": j.SaveS, "due_s": nil}
	if j.Zone != "" {
		m["yard"] = j.Zone
	}
	if len(j.Dependencies) > 0 {
		m["awaits"] = j.Dependencies
	}
	return m
}

// pollAny is like poll, but reports no answer if no node is up.
func (u *Users) pollAny(id string) (int, wire.JobStatus) {
	u.mu.Lock()
	down := len(u.down)
	for _, d := range u.down {
		if !d {
			down--
		}
	}
	all := len(u.nodes.all)
	u.mu.Unlock()
	if down >= all {
		u.rec.Printf("poll %s: no controller is up", id)
		return 0, wire.JobStatus{}
	}
	return u.poll(id)
}

// lastPanic returns the line of a node's log that tells of its panic, and the first place in this project.
func (ns *Nodes) lastPanic(n *Node) string {
	raw, err := os.ReadFile(filepath.Join(ns.dir, n.name+".log"))
	if err != nil {
		return ""
	}
	lines := strings.Split(string(raw), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if !strings.HasPrefix(lines[i], "panic:") && !strings.HasPrefix(lines[i], "fatal error:") {
			continue
		}
		for _, l := range lines[i:] {
			if strings.HasPrefix(l, "coralhub/") {
				return lines[i] + " in " + strings.SplitN(l, "(0x", 2)[0]
			}
		}
		return lines[i]
	}
	return ""
}
