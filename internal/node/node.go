// Package node runs the core: one loop owns it, and adapters carry its effects
// out and post what comes of them.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"coralhub/internal/config"
	"coralhub/internal/core"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/cloud"
	"coralhub/internal/node/httpapi"
	"coralhub/internal/node/inbox"
	"coralhub/internal/node/kvstore"
	"coralhub/internal/node/metrics"
	"coralhub/internal/node/peer"
	"coralhub/internal/node/worker"
	"coralhub/internal/wait"
)

const (
	tickInterval = 100 * time.Millisecond
	// reservedSockets are kept back for workers' direct calls, peers and the
	// outside systems.
	reservedSockets = 0.3
	// counterLogInterval is how often the debug log tells what the adapters were busy with.
	counterLogInterval = 5 * time.Second
)

// adapter carries out the effects that are its own.
type adapter interface {
	Do(msg.Effect) bool
}

// Node is a running controller.
type Node struct {
	cfg      *config.Config
	inputs   *inbox.Inbox[msg.Input]
	core     *core.Core
	adapters []adapter
	store    *kvstore.Store
	peers    *peer.Peers
	api      *httpapi.API
	loaded   atomic.Bool
	isolated atomic.Bool // the state service is out of reach for this node alone
	retired  atomic.Bool // the records are of a later version
	start    time.Time
	metrics  *metrics.Metrics // nil: nobody asks
}

// New returns a node that is not running yet.
func New(cfg *config.Config) *Node {
	n := &Node{cfg: cfg, inputs: inbox.New[msg.Input](time.Now), core: core.New(cfg, rand.Uint64()), start: time.Now()}
	post := func(in msg.Input) { n.inputs.Post(inbox.Liveness, in) }
	fromWorkers := func(in msg.Input) { n.inputs.Post(classOf(in), in) }
	n.store = kvstore.New(cfg, n.clock, post)
	n.peers = peer.New(cfg, fromWorkers)
	n.api = httpapi.New(n.offer, func() bool { return n.loaded.Load() && !n.isolated.Load() && !n.retired.Load() }, cfg.Settings.Admin)
	if cfg.Settings.Metrics {
		n.metrics = metrics.New(n.api.Gauges, n.store, n.peers.Totals)
		n.api.Serve(metrics.Path, n.metrics)
	}
	n.adapters = []adapter{n.api, n.store, worker.New(fromWorkers), cloud.New(cfg, post), n.peers}
	return n
}

// offer posts an input unless its lane is so long that its answer would come
// too late anyway.
func (n *Node) offer(in msg.Input) bool { return n.inputs.Offer(classOf(in), in) }

// classOf tells where an input waits that somebody else has sent. Beats tell who is alive: they
// are some a second, and don't wait behind reports.
func classOf(in msg.Input) inbox.Class {
	switch in.(type) {
	case msg.HeartbeatBatchIn, msg.HeartbeatBatchDone, msg.PeerAlive:
		return inbox.Liveness
	case msg.PollIn, msg.CancelIn, msg.AdminIn:
		return inbox.Users
	case msg.SubmitIn, msg.PeerUpdate:
		return inbox.Submissions
	}
	return inbox.Workers
}

// Run serves until ctx ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	limits := &n.cfg.Cluster.Limits
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * n.cfg.Settings.MemoryShare * (1 << 20)))
		debug.SetGCPercent(200)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	users, err := new(net.ListenConfig).Listen(ctx, "tcp", n.cfg.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	defer func() { _ = users.Close() }()
	if limits.MaxConnections > 0 {
		users = netutil.LimitListener(users, max(1, int(float64(limits.MaxConnections)*(1-reservedSockets))))
	}
	peers, err := new(net.ListenConfig).Listen(ctx, "tcp", n.cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	defer func() { _ = peers.Close() }()
	failed := make(chan error, 2)
	server := &http.Server{Handler: n.api.Handler(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
	defer func() { _ = server.Close() }()
	go func() { failed <- server.Serve(users) }()
	go func() {
		failed <- peer.Serve(peers, func(in msg.Input) { n.offer(in) }, n.api, n.status)
	}()
	go n.store.Follow(ctx)
	go n.store.RenewLeases(ctx)
	go n.watchPeers(ctx)
	slog.Info("serving", "node", n.cfg.Node, "location", n.cfg.Location, "users", n.cfg.ClientListen, "peers", n.cfg.PeerListen)
	if w := &n.cfg.Cluster.Workers; !w.LeaseEndsInTime() {
		slog.Warn("cancel_s is not longer than lease_s: cancellations are confirmed only once every task is proven gone",
			"lease_s", w.LeaseS, "cancel_s", w.CancelS)
	}
	n.loop(ctx, failed)
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
	default:
	}
	return nil
}

func (n *Node) loop(ctx context.Context, failed chan error) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	counted := n.start
	for {
		taken, ok := n.inputs.Next()
		if ok {
			n.process(taken)
			select {
			case <-tick.C:
			case err := <-failed:
				failed <- err
				return
			case <-ctx.Done():
				return
			default:
				continue
			}
		} else {
			select {
			case <-tick.C:
			case <-n.inputs.Ready():
				continue
			case err := <-failed:
				failed <- err
				return
			case <-ctx.Done():
				return
			}
		}
		now := time.Now()
		n.step(msg.Tick{WallClock: now.UnixMicro()})
		if now.Sub(counted) >= counterLogInterval && slog.Default().Enabled(ctx, slog.LevelDebug) {
			counted = now
			slog.Debug("state service transactions", n.store.Counters()...)
			slog.Debug("state service requests by purpose", n.store.PurposeTotals()...)
			slog.Debug("peer calls", n.peers.Counters()...)
			slog.Debug("inbox", n.inputs.Counters()...)
		}
	}
}

// process hands an input to the core, unless whoever sent it has waited for too long: then it
// is refused, which costs next to nothing.
func (n *Node) process(t inbox.Delivery[msg.Input]) {
	if t.Late {
		n.api.Shed(t.Input)
		return
	}
	in := t.Input
	if x, ok := in.(msg.LeaseDone); ok {
		x.Age += t.Waited.Microseconds()
		in = x
	}
	n.step(in)
	if _, ok := in.(msg.Snapshot); ok {
		n.loaded.Store(true)
	}
}

// clock is the steady clock that the core goes by.
func (n *Node) clock() msg.Micros { return time.Since(n.start).Microseconds() + 1 }

func (n *Node) step(in msg.Input) {
	began := time.Now()
	defer func() { n.metrics.Stepped(in, time.Since(began)) }()
	for _, e := range n.core.Step(n.clock(), in) {
		if l, ok := e.(msg.Log); ok {
			level := slog.LevelInfo
			if l.Debug {
				level = slog.LevelDebug
			}
			slog.Log(context.Background(), level, l.Message, l.Args...)
			continue
		}
		if _, ok := e.(msg.StopServing); ok {
			n.retired.Store(true)
			continue
		}
		for _, a := range n.adapters {
			if a.Do(e) {
				break
			}
		}
	}
}

// status is what this node tells its peers.
func (n *Node) status() peer.Status {
	return peer.Status{StateOK: n.store.FailingFor() == 0, Says: true, Accepts: n.store.AdmissionDemand()}
}

// watchPeers keeps in touch with the other nodes. It also finds out whether this node alone has lost the state service: it
// then says that it is not ready. If no peer has it either, all stay ready and
// answer 503 with Retry-After, so that nobody waits for the balancer afterwards.
func (n *Node) watchPeers(ctx context.Context) {
	wait.Every(ctx, time.Second, func() {
		anyOK := false
		var accepts []float64
		for node, st := range n.peers.CollectStatus() {
			anyOK = anyOK || st.StateOK
			if st.Says {
				accepts = append(accepts, st.Accepts)
			}
			n.inputs.Post(inbox.Liveness, msg.PeerAlive{Node: node})
		}
		n.store.SetAdmissionShare(accepts)
		alone := anyOK && n.store.FailingFor() > 1500*time.Millisecond
		if alone != n.isolated.Swap(alone) {
			slog.Info("state service reachability", "lost_by_this_node_alone", alone)
		}
	})
}
