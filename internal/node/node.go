// Package node runs a controller: a single loop owns the core, and adapters execute its effects and post the
// results.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
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
	// reservedSockets is the share of the maximum number of connections that is reserved for calls to workers,
	// peers, the state service and the cloud.
	reservedSockets = 0.3
	bytesPerMB      = 1 << 20
	// gcPercent trades memory for CPU time: well below the memory limit, the heap may grow to three times the
	// live data.
	gcPercent = 200
	// counterLogInterval is the interval at which the counters are written to the debug log.
	counterLogInterval = 5 * time.Second
	// peerStatusInterval is the interval at which the status of all peers is requested.
	peerStatusInterval = time.Second
	// isolatedAfter is how long the state service must be unreachable for this node, while a peer reaches it,
	// before the node reports that it is not ready.
	isolatedAfter = 1500 * time.Millisecond
)

// adapter executes effects in the background.
type adapter interface {
	// Do starts to execute an effect, which ends with ctx at the latest. It returns false for effects of other
	// adapters. Only the node's loop calls it.
	Do(ctx context.Context, effect msg.Effect) bool
	// Wait waits until everything started by Do has ended. It is called after the context and the loop have
	// ended, so that Do starts nothing meanwhile.
	Wait()
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
	isolated atomic.Bool // the state service is unreachable for this node, but not for some peer
	stopped  atomic.Bool // the stored format is newer than this version
	start    time.Time
	metrics  *metrics.Metrics // nil if metrics are disabled
}

// New returns a node that is not running yet.
func New(cfg *config.Config) *Node {
	n := &Node{
		cfg:    cfg,
		inputs: inbox.New[msg.Input](time.Now),
		core:   core.New(cfg, rand.Uint64()),
		start:  time.Now(),
	}
	post := func(in msg.Input) { n.inputs.Post(inbox.Liveness, in) }
	postByClass := func(in msg.Input) { n.inputs.Post(classOf(in), in) }
	n.store = kvstore.New(cfg, n.clock, post)
	n.peers = peer.New(cfg, postByClass)
	n.api = httpapi.New(n.offer, n.ready, cfg.Settings.Admin)
	if cfg.Settings.Metrics {
		n.metrics = metrics.New(n.api.Gauges, n.store, n.peers.Totals)
		n.api.AddHandler(metrics.Path, n.metrics)
	}
	n.adapters = []adapter{n.store, worker.New(postByClass), cloud.New(cfg, post), n.peers}
	return n
}

// ready reports whether the node can serve requests.
func (n *Node) ready() bool { return n.loaded.Load() && !n.isolated.Load() && !n.stopped.Load() }

// offer adds a request to the inbox. It returns false if the response would be too late.
func (n *Node) offer(in msg.Input) bool { return n.inputs.Offer(classOf(in), in) }

// classOf returns the inbox class of an input from a user, a worker or a peer. Heartbeat batches show which nodes
// are alive, and there are only a few per second, so they don't wait behind heartbeats.
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

// Run serves until ctx ends or a listener fails. The error names the listener.
func (n *Node) Run(ctx context.Context) error {
	n.limitMemory()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	users, err := n.listenForUsers(ctx)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := new(net.ListenConfig).Listen(ctx, "tcp", n.cfg.PeerListen)
	if err != nil {
		_ = users.Close() // ignores the error: no client was served yet
		return fmt.Errorf("peer_listen: %w", err)
	}
	return n.serve(ctx, users, peers)
}

// serve serves on the listeners until parent ends or a listener fails, and returns the error of the failed listener.
// When it returns, the listeners are closed and everything that the node has started has ended.
func (n *Node) serve(parent context.Context, users, peers net.Listener) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	userServer := newUserServer(n.api.Handler())
	peerServer := peer.NewServer(func(in msg.Input) { n.offer(in) }, n.api, n.status)
	var background sync.WaitGroup
	background.Go(func() { cancel(userServer.Serve(users)) })
	background.Go(func() { cancel(peerServer.Serve(peers)) })
	background.Go(func() { n.store.ListAndWatch(ctx) })
	background.Go(func() { n.store.RenewLeases(ctx) })
	background.Go(func() { n.watchPeers(ctx) })
	n.logStart()
	n.loop(ctx)

	// The connections of clients are closed before the API, so that clients don't take the shutdown for an
	// overload. Errors of closing are ignored, since nothing can be done about them.
	_ = userServer.Close()
	_ = peers.Close()
	peerServer.Close()
	n.api.Close()
	n.inputs.Close()
	n.peers.Close()

	// Wait for the background loops before the adapters, since they also start calls of the adapters.
	background.Wait()
	userServer.Wait()
	peerServer.Wait()
	for _, a := range n.adapters {
		a.Wait()
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.Cause(parent)) {
		return cause
	}
	return nil
}

// limitMemory configures the garbage collector to keep the process below its memory limit.
func (n *Node) limitMemory() {
	limitMB := n.cfg.Cluster.Limits.MemoryMB
	if limitMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(limitMB * n.cfg.Settings.MemoryShare * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

func (n *Node) listenForUsers(ctx context.Context) (net.Listener, error) {
	users, err := new(net.ListenConfig).Listen(ctx, "tcp", n.cfg.ClientListen)
	if err != nil {
		return nil, err
	}
	limit := n.cfg.Cluster.Limits.MaxConnections
	if limit <= 0 {
		return users, nil
	}
	return netutil.LimitListener(users, max(1, int(float64(limit)*(1-reservedSockets)))), nil
}

func (n *Node) logStart() {
	slog.Info("serving",
		"node", n.cfg.Node,
		"location", n.cfg.Location,
		"users", n.cfg.ClientListen,
		"peers", n.cfg.PeerListen)
	if w := &n.cfg.Cluster.Workers; !w.LeaseExpiresBeforeCancel() {
		slog.Warn("cancel_s is not longer than lease_s: cancellations are confirmed only once every task has provably ended",
			"lease_s", w.LeaseS, "cancel_s", w.CancelS)
	}
}

// loop passes inputs and ticks to the core until ctx ends. Its goroutine is the only one that uses the core and
// calls Do of the adapters.
func (n *Node) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	loggedAt := n.start
	for {
		delivery, ok := n.inputs.Next()
		if ctx.Err() != nil {
			return // the input may be the result of a call that failed only because ctx ended
		}
		if ok {
			n.process(ctx, delivery)
			select {
			case <-tick.C:
			default:
				continue
			}
		} else {
			select {
			case <-tick.C:
			case <-n.inputs.Ready():
				continue
			case <-ctx.Done():
				return
			}
		}
		now := time.Now()
		n.step(ctx, msg.Tick{WallClock: now.UnixMicro()})
		if now.Sub(loggedAt) >= counterLogInterval && slog.Default().Enabled(ctx, slog.LevelDebug) {
			loggedAt = now
			n.logCounters()
		}
	}
}

func (n *Node) logCounters() {
	slog.Debug("state service transactions", n.store.Counters()...)
	slog.Debug("state service requests by purpose", n.store.PurposeTotals()...)
	slog.Debug("peer calls", n.peers.Counters()...)
	slog.Debug("inbox", n.inputs.Counters()...)
}

// process passes an input to the core, or sheds it if its sender has waited for too long. Shedding costs next to
// nothing.
func (n *Node) process(ctx context.Context, d inbox.Delivery[msg.Input]) {
	if d.Expired {
		n.api.Shed(d.Input)
		return
	}
	in := d.Input
	if x, ok := in.(msg.LeaseDone); ok {
		x.Age += d.Waited.Microseconds()
		in = x
	}
	n.step(ctx, in)
	if _, ok := in.(msg.Snapshot); ok {
		n.loaded.Store(true)
	}
}

// clock returns the time of the core's monotonic clock, in microseconds.
func (n *Node) clock() msg.Micros { return time.Since(n.start).Microseconds() + 1 }

// step passes an input to the core and executes the resulting effects.
func (n *Node) step(ctx context.Context, in msg.Input) {
	began := time.Now()
	defer func() { n.metrics.ObserveStep(in, time.Since(began)) }()
	for _, e := range n.core.Step(n.clock(), in) {
		n.execute(ctx, e)
	}
}

// execute handles an effect itself or passes it to the adapter that handles it.
func (n *Node) execute(ctx context.Context, e msg.Effect) {
	switch x := e.(type) {
	case msg.Log:
		level := slog.LevelInfo
		if x.Debug {
			level = slog.LevelDebug
		}
		slog.Log(ctx, level, x.Message, x.Args...)
		return
	case msg.StopServing:
		n.stopped.Store(true)
		return
	case msg.Respond:
		n.api.Respond(x)
		return
	}
	for _, a := range n.adapters {
		if a.Do(ctx, e) {
			return
		}
	}
}

// status returns the status that this node reports to its peers.
func (n *Node) status() peer.Status {
	return peer.Status{StateOK: n.store.FailingFor() == 0, Says: true, Accepts: n.store.AdmissionDemand()}
}

// watchPeers requests the status of the other nodes at an interval, which shows whether only this node can't reach the
// state service. If so, the node is not ready. If no peer reaches the state service either, all nodes stay ready
// and answer with status 503 and Retry-After, so that clients don't have to wait for the load balancer once the
// service is back.
func (n *Node) watchPeers(ctx context.Context) {
	wait.Every(ctx, peerStatusInterval, func() {
		peerReachesState := false
		var admissionDemands []float64
		statuses := n.peers.CollectStatus(ctx)
		if ctx.Err() != nil {
			return // peers without an answer may still be reachable
		}
		for node, status := range statuses {
			peerReachesState = peerReachesState || status.StateOK
			if status.Says {
				admissionDemands = append(admissionDemands, status.Accepts)
			}
			n.inputs.Post(inbox.Liveness, msg.PeerAlive{Node: node})
		}
		n.store.SetAdmissionShare(admissionDemands)
		isolated := peerReachesState && n.store.FailingFor() > isolatedAfter
		if isolated != n.isolated.Swap(isolated) {
			slog.Info("state service reachability changed", "lost_by_this_node_alone", isolated)
		}
	})
}
