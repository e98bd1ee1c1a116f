package cluster

import (
	"context"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"coralhub/internal/faults"
	"coralhub/internal/jobclient"
	"coralhub/internal/process"
	"coralhub/internal/wait"
)

// Node is a controller process and the links to and from it.
type Node struct {
	Name, Zone string
	Users      *faults.Proxy            // the link from users
	Workers    *faults.Proxy            // the link from workers
	Links      map[string]*faults.Proxy // links from the node: LinkState, LinkCloud, and to its peers by their names

	listen, peerListen string // addresses
	configFile         string
	mu                 sync.Mutex
	process            *process.Process // the process started last
	restarts           int
	keepRunning        bool          // whether the process is restarted when it ends
	previousCPU        time.Duration // CPU time of all processes before the current one
	peakMB             float64       // peak resident memory of all processes, in MB of 2^20 bytes
}

// startProcess starts the process of a node. The process exits when its standard input is closed, so that
// none outlives this process, even if this process is killed.
func (c *Cluster) startProcess(n *Node) error {
	args := []string{"serve", "--with-parent", "--config", n.configFile}
	if c.opt.Settings != "" {
		args = append(args, "--settings", c.opt.Settings)
	}
	p, err := process.Start(process.Options{
		Program: c.opt.Program,
		Args:    args,
		Env:     []string{"LOG_LEVEL=" + c.opt.LogLevel},
		Log:     c.logFile(n),
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.previousCPU += n.process.CPU()
	}
	n.process = p
	return nil
}

func (c *Cluster) logFile(n *Node) string { return filepath.Join(c.opt.Dir, n.Name+".log") }

// superviseNode restarts a node whenever its process has ended, after a delay of Options.RestartAfter,
// until ctx ends.
func (c *Cluster) superviseNode(ctx context.Context, n *Node) {
	for {
		select {
		case <-n.current().Done():
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, c.opt.RestartAfter) {
			return
		}
		if !n.beginRestart() || c.startProcess(n) != nil {
			return
		}
	}
}

// beginRestart reports whether the node is to be restarted, and if so counts the restart.
func (n *Node) beginRestart() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.keepRunning {
		n.restarts++
	}
	return n.keepRunning
}

// current returns the process that was started last, or nil if none was started.
func (n *Node) current() *process.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Signal sends a signal to the node's process. It does nothing if the process has ended.
func (n *Node) Signal(sig syscall.Signal) error {
	if p := n.current(); p != nil {
		return p.Signal(sig)
	}
	return nil
}

// Ready reports whether the node accepts requests of users.
func (n *Node) Ready(ctx context.Context, client *http.Client) bool {
	return jobclient.Ready(ctx, client, n.Users.Addr())
}

// NodeUsage is the resource usage of a node, over all its processes.
type NodeUsage struct {
	Node     string  `json:"node"`
	CPUS     float64 `json:"cpu_s"`   // CPU time, in seconds
	PeakMB   float64 `json:"peak_mb"` // peak resident memory, in MB of 2^20 bytes
	Restarts int     `json:"restarts"`
}

// Usage returns the resource usage of each node, in the order of Nodes.
func (c *Cluster) Usage() []NodeUsage {
	var out []NodeUsage
	for _, n := range c.Nodes {
		p := n.current()
		n.mu.Lock()
		u := NodeUsage{Node: n.Name, CPUS: n.previousCPU.Seconds(), PeakMB: n.peakMB, Restarts: n.restarts}
		n.mu.Unlock()
		if p != nil {
			u.CPUS += p.CPU().Seconds()
		}
		out = append(out, u)
	}
	return out
}

// measureInterval is how often the memory of the nodes is measured.
const measureInterval = 500 * time.Millisecond

// measureMemory updates the peak memory of the nodes until ctx ends.
func (c *Cluster) measureMemory(ctx context.Context) {
	wait.Every(ctx, measureInterval, func() {
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
