package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
	"coralhub/wire"
)

// goroutineID matches the ID of a goroutine at the start of its stack.
var goroutineID = regexp.MustCompile(`^goroutine (\d+) `)

// goroutines returns the stacks of all goroutines by goroutine ID.
func goroutines() map[string]string {
	buffer := make([]byte, 16<<20)
	buffer = buffer[:runtime.Stack(buffer, true)]
	stacks := map[string]string{}
	for stack := range strings.SplitSeq(string(buffer), "\n\n") {
		if id := goroutineID.FindStringSubmatch(stack); id != nil {
			stacks[id[1]] = stack
		}
	}
	return stacks
}

// isNodeGoroutine reports whether a goroutine that was started during a test belongs to a node or its connections.
func isNodeGoroutine(stack string) bool {
	if strings.Contains(stack, "testing.tRunner(") {
		return false // belongs to the test itself
	}
	for _, owner := range []string{"coralhub/internal/node", "net/http.", "net/rpc."} {
		if strings.Contains(stack, owner) {
			return true
		}
	}
	return false
}

// awaitNewNodeGoroutinesEnd waits until all goroutines of nodes except those in before have ended. Goroutines of
// net/http and net/rpc end a moment after their connections are closed.
func awaitNewNodeGoroutinesEnd(t *testing.T, before map[string]string, limit time.Duration) {
	t.Helper()
	var left []string
	for deadline := time.Now().Add(limit); ; time.Sleep(time.Millisecond) {
		left = nil
		for id, stack := range goroutines() {
			if before[id] == "" && isNodeGoroutine(stack) {
				left = append(left, stack)
			}
		}
		if len(left) == 0 {
			return
		}
		if time.Now().After(deadline) {
			break
		}
	}
	t.Errorf("%d goroutines have not ended within %v:\n%s", len(left), limit, strings.Join(left, "\n\n"))
}

// unresponsiveConfig returns the configuration of a node whose cloud, state service and only peer n2 are all the same
// server.
func unresponsiveConfig(t *testing.T, server *nodetest.UnresponsiveServer) *config.Config {
	t.Helper()
	c := &config.Config{Settings: config.Defaults()}
	c.Settings.Admin, c.Settings.Metrics = true, true
	c.Node, c.Location = "n1", "a"
	c.Cluster.Zones = []string{"a"}
	c.Cluster.Workers = config.Workers{ReportS: 1, LeaseS: 4, GangWaitS: 10, GangPeerS: 2, CancelS: 10}
	c.Cluster.State = config.State{RPS: 2000, WriteRPS: 1000, ValueKB: 4, TxnOps: 8}
	c.Cluster.Cloud = config.Cloud{RPS: 50, ListLagS: 1}
	c.Cluster.Limits = config.Limits{Cores: 1, MemoryMB: 500, MaxConnections: 200}
	c.ClientListen, c.PeerListen = freeAddr(t), freeAddr(t)
	c.External = config.External{Cloud: server.Address, State: server.Address}
	c.Peers = []config.Peer{{Node: "n2", Location: "a", Address: server.Address}}
	return c
}

// A node shuts down at once and leaves no goroutines, even if none of its calls is answered.
func TestShutdownWithUnresponsiveServers(t *testing.T) {
	const limit = 800 * time.Millisecond // all calls time out after one second or more
	server := nodetest.NewUnresponsiveServer(t)
	n := New(unresponsiveConfig(t, server))
	before := goroutines()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, e := range []msg.Effect{
		msg.Commit{ID: 1}, msg.Read{ID: 2}, msg.GrantLease{TTL: 3_000_000}, // the state service
		msg.ListMachines{}, // the cloud
		msg.Command{ID: 1, Machine: "m-1", Addr: server.Address}, // a worker
		msg.HeartbeatBatch{Node: "n2"}, msg.Forward{Node: "n2"},  // a peer
	} {
		n.execute(ctx, e) // before the start of the loop
	}
	server.AwaitConnections(7)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	server.AwaitConnections(1) // for the store's listing

	cancelledAt := time.Now()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(cancelledAt); took > limit {
		t.Errorf("ended after %v, want at most %v", took, limit)
	}
	awaitNewNodeGoroutinesEnd(t, before, limit)
}

// Nodes that have served users, workers and each other leave no goroutines.
func TestNoGoroutineLeak(t *testing.T) {
	before := goroutines()
	t.Run("three nodes", func(t *testing.T) {
		r := newTestCluster(t)
		r.ready()
		r.submit(0, r.job("j-1", wire.Array, 5))
		r.awaitStatus(1, "j-1", wire.Done)
		for _, c := range r.configs {
			res, err := r.get("http://" + c.ClientListen + "/metrics")
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
		}
		t.Cleanup(r.client.CloseIdleConnections)
	})
	http.DefaultClient.CloseIdleConnections()
	awaitNewNodeGoroutinesEnd(t, before, 5*time.Second)
}

// The failure of a listener ends the node with the listener's error.
func TestFailedListener(t *testing.T) {
	for _, failing := range []string{"users", "peers"} {
		t.Run(failing, func(t *testing.T) {
			n := New(unresponsiveConfig(t, nodetest.NewUnresponsiveServer(t)))
			before := goroutines()
			listeners := map[string]net.Listener{}
			for _, name := range []string{"users", "peers"} {
				l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				listeners[name] = l
			}
			_ = listeners[failing].Close()
			if err := n.serve(t.Context(), listeners["users"], listeners["peers"]); !errors.Is(err, net.ErrClosed) {
				t.Errorf("serve returned %v, want %v", err, net.ErrClosed)
			}
			for name, l := range listeners {
				if l.Close() == nil {
					t.Errorf("the listener for %s was left open", name)
				}
			}
			awaitNewNodeGoroutinesEnd(t, before, time.Second)
		})
	}
}
