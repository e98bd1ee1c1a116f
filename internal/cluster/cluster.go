// Package cluster runs a whole cluster on one machine: controller processes of this
// very program, and stand-ins for the state service, the cloud and the workers, all on
// loopback sockets with a proxy on every link.
package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/faults"
	"coralhub/internal/invariants"
	"coralhub/internal/jobclient"
	"coralhub/internal/process"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// Options say what cluster to start.
type Options struct {
	Program  string // this program's path
	Dir      string // for logs and settings
	Data     string // where the state is kept; "": in memory
	Nodes    int
	Settings string // a file of the operators' settings; "": none
	Log      string // LOG_LEVEL of the nodes
	Cluster  config.Cluster
	Types    []wire.MachineType
	Capacity map[string]int // ordinary machines, by zone
	Model    *emulator.Model
	Boot     emulator.Micros
	Watch    func(invariants.Event)
	// Failed hears why a connection of this process was not made; nil: nobody does. It is called
	// by several goroutines.
	Failed func(error)
	// RestartAfter is how long a node that has ended stays down.
	RestartAfter time.Duration
}

// Cluster is a running cluster.
type Cluster struct {
	Servers *emulator.Servers
	Nodes   []*Node

	opt     Options
	disk    *emulator.Disk
	servers []*http.Server
	proxies []*faults.Proxy
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// Node is a controller process.
type Node struct {
	Name, Zone string
	Users      *faults.Proxy // links to it
	Workers    *faults.Proxy
	Links      map[string]*faults.Proxy // links from it: state, cloud, and its peers by name

	listen, peerListen string
	file               string
	mu                 sync.Mutex
	process            *process.Process // the last that was started
	restarts           int
	wanted             bool          // to be started again when it ends
	cpu                time.Duration // of the processes before
	peakMB             float64       // of any
}

// Start starts a cluster. It returns when the processes run, not when they serve.
func Start(opt Options) (_ *Cluster, err error) {
	c := &Cluster{Servers: emulator.NewServers(), opt: opt}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if opt.Data != "" {
		if c.disk, err = emulator.OpenDisk(opt.Data); err != nil {
			return nil, err
		}
		if c.Servers.State, err = c.disk.Load(); err != nil {
			return nil, err
		}
		if c.Servers.Environment.Jobs, err = c.disk.Uploads(); err != nil {
			return nil, err
		}
	}
	s, cl := c.Servers, &opt.Cluster
	s.Failed = opt.Failed
	s.State.Keep = 10_000
	s.State.ValueBytes, s.State.TxnOps = int(cl.State.ValueKB*1024), cl.State.TxnOps
	s.SetQuotas(cl.State.RPS, cl.State.WriteRPS, cl.Cloud.RPS)
	w := s.Environment
	w.Types, w.Capacity, w.Model, w.Boot, w.Watch = opt.Types, opt.Capacity, opt.Model, opt.Boot, opt.Watch
	w.Lease, w.GangWait = config.FromSeconds(cl.Workers.LeaseS), config.FromSeconds(cl.Workers.GangWaitS)
	w.CancelIn, w.ReportEvery = config.FromSeconds(cl.Workers.CancelS), config.FromSeconds(cl.Workers.ReportS)
	state, err := c.serve(ownPort, s.StateHandler())
	if err != nil {
		return nil, err
	}
	cloud, err := c.serve(ownPort, s.CloudHandler())
	if err != nil {
		return nil, err
	}
	workers, err := c.serve(ownPort, s.WorkerHandler())
	if err != nil {
		return nil, err
	}
	if err := c.writeSettings(state, cloud); err != nil {
		return nil, err
	}
	for _, n := range c.Nodes {
		if err := c.write(n); err != nil {
			return nil, err
		}
		s.Nodes, s.Names = append(s.Nodes, n.Workers.Addr()), append(s.Names, n.Name)
	}
	for _, n := range c.Nodes {
		n.wanted = true
		if err := c.run(n); err != nil {
			return nil, err
		}
		c.wg.Go(func() { c.superviseNode(ctx, n) })
	}
	c.wg.Go(func() { s.Drive(ctx, workers) })
	c.wg.Go(func() { c.measure(ctx) })
	return c, nil
}

// ownPort has a stand-in served on a port of its own.
const ownPort = "127.0.0.1:0"

// serve serves h until the cluster closes, and returns the address that it got.
func (c *Cluster) serve(addr string, h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, server)
	c.wg.Go(func() { _ = server.Serve(l) }) // ends when it is closed
	return l.Addr().String(), nil
}

func (c *Cluster) proxy(name, target string) (*faults.Proxy, error) {
	p, err := faults.New(name, target)
	if err == nil {
		p.OnFailure(c.opt.Failed)
		c.proxies = append(c.proxies, p)
	}
	return p, err
}

// writeSettings lays the links.
func (c *Cluster) writeSettings(state, cloud string) error {
	zones := c.opt.Cluster.Zones
	for i := range c.opt.Nodes {
		n := &Node{Name: fmt.Sprintf("node-%d", i), Zone: zones[i%len(zones)], Links: map[string]*faults.Proxy{}}
		c.Nodes = append(c.Nodes, n)
		var err error
		if n.listen, err = process.FreeAddress(); err != nil {
			return err
		}
		if n.peerListen, err = process.FreeAddress(); err != nil {
			return err
		}
		for _, l := range []struct {
			at     **faults.Proxy
			name   string
			target string
		}{{&n.Users, "users", n.listen}, {&n.Workers, "workers", n.listen}} {
			if *l.at, err = c.proxy(l.name+" to "+n.Name, l.target); err != nil {
				return err
			}
		}
		for name, target := range map[string]string{"state": state, "cloud": cloud} {
			if n.Links[name], err = c.proxy(n.Name+" to "+name, target); err != nil {
				return err
			}
		}
	}
	for _, n := range c.Nodes {
		for _, p := range c.Nodes {
			if p == n {
				continue
			}
			var err error
			if n.Links[p.Name], err = c.proxy(n.Name+" to "+p.Name, p.peerListen); err != nil {
				return err
			}
		}
	}
	return nil
}

// write writes a node's settings, as the platform hands them over.
func (c *Cluster) write(n *Node) error {
	p := config.Platform{Node: n.Name, Location: n.Zone, ClientListen: n.listen, PeerListen: n.peerListen, Cluster: c.opt.Cluster,
		External: config.External{State: n.Links["state"].Addr(), Cloud: n.Links["cloud"].Addr()}}
	for _, o := range c.Nodes {
		if o != n {
			p.Peers = append(p.Peers, config.Peer{Node: o.Name, Location: o.Zone, Address: n.Links[o.Name].Addr()})
		}
	}
	raw, err := toml.Marshal(&p)
	if err != nil {
		return err
	}
	n.file = filepath.Join(c.opt.Dir, n.Name+".toml")
	return os.WriteFile(n.file, raw, 0o600)
}

// run starts a node's process. It ends by itself when its standard input does, so that
// none is left behind even if this process is killed.
func (c *Cluster) run(n *Node) error {
	args := []string{"serve", "--with-parent", "--config", n.file}
	if c.opt.Settings != "" {
		args = append(args, "--settings", c.opt.Settings)
	}
	p, err := process.Start(process.Options{Program: c.opt.Program, Args: args, Env: []string{"LOG_LEVEL=" + c.opt.Log},
		Log: filepath.Join(c.opt.Dir, n.Name+".log")})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.cpu += n.process.CPU()
	}
	n.process = p
	return nil
}

// superviseNode starts a node again some time after it has ended.
func (c *Cluster) superviseNode(ctx context.Context, n *Node) {
	for {
		select {
		case <-n.current().Gone():
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, c.opt.RestartAfter) {
			return
		}
		n.mu.Lock()
		again := n.wanted
		if again {
			n.restarts++
		}
		n.mu.Unlock()
		if !again || c.run(n) != nil {
			return
		}
	}
}

// current is the process that was started last; nil if none was.
func (n *Node) current() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Signal sends a signal to a node's process; one that has ended gets none.
func (n *Node) Signal(sig syscall.Signal) error {
	if p := n.current(); p != nil {
		return p.Signal(sig)
	}
	return nil
}

// NodeUsage is what a node has taken.
type NodeUsage struct {
	Node     string  `json:"node"`
	CPUS     float64 `json:"cpu_s"`
	PeakMB   float64 `json:"peak_mb"`
	Restarts int     `json:"restarts"`
}

// Use tells what the nodes have taken.
func (c *Cluster) Use() []NodeUsage {
	var out []NodeUsage
	for _, n := range c.Nodes {
		p := n.current()
		n.mu.Lock()
		u := NodeUsage{Node: n.Name, CPUS: n.cpu.Seconds(), PeakMB: n.peakMB, Restarts: n.restarts}
		n.mu.Unlock()
		if p != nil {
			u.CPUS += p.CPU().Seconds()
		}
		out = append(out, u)
	}
	return out
}

// measure follows how much memory the nodes hold.
func (c *Cluster) measure(ctx context.Context) {
	wait.Every(ctx, 500*time.Millisecond, func() {
		for _, n := range c.Nodes {
			p := n.current()
			if p == nil {
				continue
			}
			resident := p.Measure()
			n.mu.Lock()
			n.peakMB = max(n.peakMB, resident)
			n.mu.Unlock()
		}
	})
}

// Ready tells whether a node takes requests.
func (n *Node) Ready(ctx context.Context, client *http.Client) bool {
	return jobclient.Ready(ctx, client, n.Users.Addr())
}

// AwaitReady waits until every node takes requests.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for _, n := range c.Nodes {
		for !n.Ready(ctx, client) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready, see %s: %w", n.Name, filepath.Join(c.opt.Dir, n.Name+".log"), ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close ends everything and waits for it.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		n.mu.Lock()
		n.wanted = false
		n.mu.Unlock()
	}
	c.stop()
	for _, n := range c.Nodes {
		_ = n.Signal(syscall.SIGCONT) // one that stands still ends no less
		_ = n.Signal(syscall.SIGKILL)
	}
	for _, n := range c.Nodes {
		if p := n.current(); p != nil {
			<-p.Gone()
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, p := range c.proxies {
		p.Close()
	}
	c.Servers.With(func() { // whoever waits for a machine that hangs waits no more
		for name := range c.Servers.Environment.Machines {
			delete(c.Servers.Environment.Machines, name)
		}
	})
	c.wg.Wait()
	if c.disk != nil {
		_ = c.disk.Close()
	}
}
