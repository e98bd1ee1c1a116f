// Command standin2 plays the cases of the second review: it starts controllers as separate processes and holds small
// stand-ins of the cloud, the workers and the users on loopback addresses. The state service is the project's emulator.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coralhub/internal/emulator"
	"coralhub/internal/faults"
	"coralhub/internal/process"
	"coralhub/wire"
)

// Settings of a deployment.
type settings struct {
	zones                    []string
	nodeZones                []string // one node each
	teams                    string   // TOML of the teams
	reportS, leaseS, cancelS float64
	gangWaitS, gangPeerS     float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS, listLagS       float64
	cores, memoryMB          float64
	maxConnections           int
	machine                  wire.MachineType
	capacity                 map[string]int // machines that the cloud has, by zone
	bootS                    float64
}

// stage is a running deployment.
type stage struct {
	settings
	began   time.Time
	dir     string
	command []string // run of the deploy file

	recordMu sync.Mutex
	record   *os.File

	state     *emulator.Servers
	stateAddr string
	outage    outage
	cloud     *cloud
	nodes     []*node
	ctx       context.Context
	stop      context.CancelFunc
	running   sync.WaitGroup
	servers   []*http.Server
	proxies   []*faults.Proxy
}

// node is a controller.
type node struct {
	name, zone, users, peers, file string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool // by this program
	ends    int  // how often the process ended by itself
}

// say adds a line to the record.
func (s *stage) say(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// unable ends the program with 2: the case could not run.
func (s *stage) unable(format string, args ...any) {
	s.say("the case could not run: "+format, args...)
	fmt.Printf("the case could not run: "+format+"\n", args...)
	s.close()
	os.Exit(2)
}

// newStage makes the folder of a run and starts the state service and the cloud, no controller yet.
func newStage(set settings) *stage {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	s := &stage{settings: set, began: time.Now(), record: record, command: strings.Fields(os.Getenv("CORALHUB"))}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if s.dir, err = os.MkdirTemp("", "coralhub-review-"); err != nil {
		s.unable("%v", err)
	}
	s.state = emulator.NewServers()
	s.state.State.MinHistory = 10_000
	s.state.State.ValueBytes = int(set.valueKB * 1024)
	s.state.State.TxnOps = set.txnOps
	s.state.SetQuotas(set.rps, set.writeRPS, set.cloudRPS)
	s.stateAddr = s.serve(s.outage.handler(s, s.state.StateHandler()))
	s.every(20*time.Millisecond, s.state.Expire)
	s.cloud = newCloud(s)
	for i, zone := range set.nodeZones {
		n := &node{name: fmt.Sprintf("berth-%d", i), zone: zone}
		for _, address := range []*string{&n.users, &n.peers} {
			if *address, err = process.FreeAddress(); err != nil {
				s.unable("%v", err)
			}
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

// serve serves a handler on a free port of the loopback address.
func (s *stage) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.unable("%v", err)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	s.running.Go(func() { _ = server.Serve(l) })
	return l.Addr().String()
}

// every calls f at an interval until the end.
func (s *stage) every(d time.Duration, f func()) {
	s.running.Go(func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f()
			case <-s.ctx.Done():
				return
			}
		}
	})
}

// proxy starts a proxy before an address.
func (s *stage) proxy(name, target string) *faults.Proxy {
	p, err := faults.New(name, target)
	if err != nil {
		s.unable("%v", err)
	}
	s.proxies = append(s.proxies, p)
	return p
}

// writeConfig writes the file that the platform hands over to a node.
func (s *stage) writeConfig(n *node, state, cloud string, peers map[string]string) {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nlocation = %q\nclient_listen = %q\npeer_listen = %q\n", n.name, n.zone, n.users, n.peers)
	for _, p := range s.nodes {
		if p == n {
			continue
		}
		address := p.peers
		if other := peers[p.name]; other != "" {
			address = other
		}
		fmt.Fprintf(&b, "\n[[peers]]\nnode = %q\nlocation = %q\naddress = %q\n", p.name, p.zone, address)
	}
	fmt.Fprintf(&b, "\n[external]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(&b, "\n[cluster]\ninitial_size = %d\nzones = [%q, %q]\nskew_ms = 25.0\n", len(s.nodes), s.zones[0], s.zones[1])
	b.WriteString(s.teams)
	fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
		s.reportS, s.leaseS, s.gangWaitS, s.gangPeerS, s.cancelS)
	fmt.Fprintf(&b, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		s.rps, s.writeRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&b, "\n[cluster.machine_limits]\ncores = %.2f\nmemory_mb = %.1f\nmax_connections = %d\n",
		s.cores, s.memoryMB, s.maxConnections)
	n.file = filepath.Join(s.dir, n.name+".toml")
	if err := os.WriteFile(n.file, []byte(b.String()), 0o600); err != nil {
		s.unable("%v", err)
	}
}

// start starts a node's process with the command of the deploy file.
func (s *stage) start(n *node) {
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.unable("%v", err)
	}
	defer log.Close()
	cmd := exec.Command(s.command[0], append(s.command[1:len(s.command):len(s.command)], n.file)...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		s.unable("%v", err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.stopped = cmd, ended, false
	n.mu.Unlock()
	s.say("%s started", n.name)
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		if !n.stopped && s.ctx.Err() == nil {
			n.ends++
			s.say("%s ENDED BY ITSELF: %v", n.name, cmd.ProcessState)
		}
		n.mu.Unlock()
		close(ended)
	}()
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sig == syscall.SIGKILL {
		n.stopped = true
	}
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// kill ends a node's process and waits for its end.
func (s *stage) kill(n *node) {
	n.signal(syscall.SIGKILL)
	<-n.ended
	s.say("%s killed", n.name)
}

// selfEnds counts the processes that ended by themselves.
func (s *stage) selfEnds() int {
	sum := 0
	for _, n := range s.nodes {
		n.mu.Lock()
		sum += n.ends
		n.mu.Unlock()
	}
	return sum
}

// awaitReady waits until the nodes take requests.
func (s *stage) awaitReady(nodes ...*node) {
	for _, n := range nodes {
		deadline := time.Now().Add(30 * time.Second)
		for {
			status, _ := s.call(http.MethodGet, n.users, wire.PathReady, nil, time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				s.unable("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// leader returns the node that holds the leader key, or nil.
func (s *stage) leader() *node {
	var holder struct {
		Node string `msgpack:"node"`
	}
	s.state.WithLock(func() {
		if item := s.state.State.Get("ch/leader"); item.Version != 0 {
			_ = wire.Unmarshal(item.Value, &holder)
		}
	})
	for _, n := range s.nodes {
		if n.name == holder.Node {
			return n
		}
	}
	return nil
}

// awaitLeader waits until there is a leader for which ok holds.
func (s *stage) awaitLeader(ok func(*node) bool) *node {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n := s.leader(); n != nil && ok(n) {
			s.say("%s leads", n.name)
			return n
		}
	}
	s.unable("nobody leads")
	return nil
}

func (s *stage) close() {
	s.stop()
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		if n.ended != nil {
			<-n.ended
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if s.cloud != nil {
		s.cloud.close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// finish ends the program: with 1 if the rule was broken, otherwise with 0.
func (s *stage) finish(broken bool, what string) {
	word, code := "HELD", 0
	if broken {
		word, code = "BROKEN", 1
	}
	s.say("%s: %s", word, what)
	fmt.Printf("%s: %s\n", word, what)
	s.close()
	os.Exit(code)
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// call sends a request and returns the status, 0 if there was no answer.
func (s *stage) call(method, address, path string, message any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader
	if message != nil {
		raw, err := wire.Marshal(message)
		if err != nil {
			s.unable("%v", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		s.unable("%v", err)
	}
	res, err := userClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, raw
}
