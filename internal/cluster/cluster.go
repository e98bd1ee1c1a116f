// Package cluster runs a whole cluster on one machine: controller processes of this program, and emulators
// of the state service, the cloud and the workers. All of them communicate over loopback sockets, with a
// proxy on every link that can inject faults.
package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/faults"
	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Options describes the cluster to start.
type Options struct {
	Program   string // path of the executable that the nodes run
	Dir       string // directory for the logs and the configurations of the nodes
	StateFile string // file that stores the state; "" keeps it in memory
	Nodes     int
	Settings  string // file of the operators' settings; "" if there is none
	LogLevel  string // LOG_LEVEL of the nodes
	Cluster   config.Cluster
	Types     []wire.MachineType
	Capacity  map[string]int // number of on-demand machines, by zone
	Model     *emulator.Model
	BootTime  emulator.Micros
	OnEvent   func(invariants.Event) // called with each event on a machine; may be nil
	// OnFailure is called with the error of each connection that this process failed to accept or make, and of
	// each heartbeat request that failed, from several goroutines; it may be nil.
	OnFailure func(error)
	// RestartAfter is the time from the end of a node's process to its restart.
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

const (
	// anyPort is a listen address with a port chosen by the system.
	anyPort = "127.0.0.1:0"
	// watchHistory is the minimum number of past changes that watches of the state service can receive.
	watchHistory = 10_000
	// headerTimeout is how long a client of an emulator may take to send its headers.
	headerTimeout = 10 * time.Second
	// readyPollInterval is how often AwaitReady checks whether a node is ready.
	readyPollInterval = 20 * time.Millisecond
)

// Start starts a cluster. It returns once the processes are running, which may be before they accept
// requests; see AwaitReady. The caller must close the cluster.
func Start(opt Options) (_ *Cluster, err error) {
	c := &Cluster{Servers: emulator.NewServers(), opt: opt}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if err := c.loadState(); err != nil {
		return nil, err
	}
	c.configureServers()
	workersAddr, err := c.startServers()
	if err != nil {
		return nil, err
	}
	if err := c.startNodes(ctx); err != nil {
		return nil, err
	}
	c.wg.Go(func() { c.Servers.Run(ctx, workersAddr) })
	c.wg.Go(func() { c.measureMemory(ctx) })
	return c, nil
}

// loadState loads the state and the uploaded jobs from the state file, if there is one.
func (c *Cluster) loadState() (err error) {
	if c.opt.StateFile == "" {
		return nil
	}
	if c.disk, err = emulator.OpenDisk(c.opt.StateFile); err != nil {
		return err
	}
	if c.Servers.State, err = c.disk.Load(); err != nil {
		return err
	}
	c.Servers.Environment.Jobs, err = c.disk.LoadUploads()
	return err
}

// configureServers sets the limits and the timing parameters of the emulators.
func (c *Cluster) configureServers() {
	s := c.Servers
	limits := &c.opt.Cluster
	s.OnFailure = c.opt.OnFailure
	s.State.MinHistory = watchHistory
	s.State.ValueBytes = int(limits.State.ValueKB * 1024)
	s.State.TxnOps = limits.State.TxnOps
	s.SetQuotas(limits.State.RPS, limits.State.WriteRPS, limits.Cloud.RPS)
	e := s.Environment
	e.Types = c.opt.Types
	e.Capacity = c.opt.Capacity
	e.Model = c.opt.Model
	e.BootTime = c.opt.BootTime
	e.OnEvent = c.opt.OnEvent
	e.Lease = config.FromSeconds(limits.Workers.LeaseS)
	e.GangWait = config.FromSeconds(limits.Workers.GangWaitS)
	e.CancelTimeout = config.FromSeconds(limits.Workers.CancelS)
	e.HeartbeatInterval = config.FromSeconds(limits.Workers.ReportS)
}

// startServers starts the servers of the emulators, creates the nodes with their links to them, and writes
// the nodes' configurations. It returns the address of the workers.
func (c *Cluster) startServers() (workersAddr string, err error) {
	stateAddr, err := c.serve(anyPort, c.Servers.StateHandler())
	if err != nil {
		return "", err
	}
	cloudAddr, err := c.serve(anyPort, c.Servers.CloudHandler())
	if err != nil {
		return "", err
	}
	workersAddr, err = c.serve(anyPort, c.Servers.WorkerHandler())
	if err != nil {
		return "", err
	}
	if err := c.createNodes(stateAddr, cloudAddr); err != nil {
		return "", err
	}
	for _, n := range c.Nodes {
		if err := c.writeConfig(n); err != nil {
			return "", err
		}
		c.Servers.NodeAddrs = append(c.Servers.NodeAddrs, n.Workers.Addr())
		c.Servers.NodeNames = append(c.Servers.NodeNames, n.Name)
	}
	return workersAddr, nil
}

// startNodes starts the process of each node, and supervises it until ctx ends.
func (c *Cluster) startNodes(ctx context.Context) error {
	for _, n := range c.Nodes {
		n.keepRunning = true
		if err := c.startProcess(n); err != nil {
			return err
		}
		c.wg.Go(func() { c.superviseNode(ctx, n) })
	}
	return nil
}

// serve serves a handler until the cluster is closed, and returns the address that it listens on. If the
// port is in use, the error wraps syscall.EADDRINUSE.
func (c *Cluster) serve(addr string, h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, server)
	c.wg.Go(func() { _ = server.Serve(l) }) // returns when the server is closed
	return l.Addr().String(), nil
}

// AwaitReady waits until every node accepts requests. If ctx ends before that, the error names a node that
// is not ready and its log file.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for _, n := range c.Nodes {
		for !n.Ready(ctx, client) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready (log: %s): %w", n.Name, c.logFile(n), ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Close ends all processes, servers and links, and waits until they have ended.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		n.mu.Lock()
		n.keepRunning = false
		n.mu.Unlock()
	}
	c.stop()
	c.killNodes()
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, p := range c.proxies {
		p.Close()
	}
	c.Servers.WithLock(func() { // a request to a machine that hangs ends when the machine is deleted
		for name := range c.Servers.Environment.Machines {
			delete(c.Servers.Environment.Machines, name)
		}
	})
	c.wg.Wait()
	if c.disk != nil {
		_ = c.disk.Close()
	}
}

// killNodes kills the processes of all nodes and waits for their end.
func (c *Cluster) killNodes() {
	for _, n := range c.Nodes {
		_ = n.Signal(syscall.SIGCONT) // a stopped process must end as well
		_ = n.Signal(syscall.SIGKILL)
	}
	for _, n := range c.Nodes {
		if p := n.current(); p != nil {
			<-p.Done()
		}
	}
}
