// Package node runs a controller: one loop owns the core, and adapters carry out its effects and post the
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
	// reservedSockets is the share of connections that is kept for direct calls to workers, peers and
	// the outside systems.
	reservedSockets = 0.3
	bytesPerMB      = 1 << 20
	// gcPercent trades memory for time: well below the memory limit, the heap may grow to three times what is
	// in use.
	gcPercent = 200
	// counterLogInterval is the time between two lines of each adapter in the debug log.
	counterLogInterval = 5 * time.Second
	// peerStatusInterval is how often peers are asked for their status.
	peerStatusInterval = time.Second
	// isolatedAfter is how long the state service has to be out of reach for this node, while a peer
	// reaches it, for the node to be not ready.
	isolatedAfter = 1500 * time.Millisecond
)

// adapter carries out effects in the background.
type adapter interface {
	// Do starts to carry out an effect, until ctx ends at the latest; it returns false for effects of other
	// adapters. Only the node's loop calls it.
	Do(ctx context.Context, effect msg.Effect) bool
	// Wait returns once all that Do has started has ended. It is called after the end of the context and of the
	// loop, so that Do starts nothing meanwhile.
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
	isolated atomic.Bool // the state service is out of reach for this node alone
	stopped  atomic.Bool // the stored format is newer than this version
	start    time.Time
	metrics  *metrics.Metrics // nil if metrics are off
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
	fromWorkers := func(in msg.Input) { n.inputs.Post(classOf(in), in) }
	n.store = kvstore.New(cfg, n.clock, post)
	n.peers = peer.New(cfg, fromWorkers)
	n.api = httpapi.New(n.offer, n.ready, cfg.Settings.Admin)
	if cfg.Settings.Metrics {
		n.metrics = metrics.New(n.api.Gauges, n.store, n.peers.Totals)
		n.api.Serve(metrics.Path, n.metrics)
	}
	n.adapters = []adapter{n.store, worker.New(fromWorkers), cloud.New(cfg, post), n.peers}
	return n
}

// ready reports whether the node can take requests.
func (n *Node) ready() bool { return n.loaded.Load() && !n.isolated.Load() && !n.stopped.Load() }

// offer adds an input to the inbox unless its answer would come too late anyway.
func (n *Node) offer(in msg.Input) bool { return n.inputs.Offer(classOf(in), in) }

// classOf returns the inbox class of an input that somebody else has sent. Heartbeat batches show who is
// alive: they are a few a second, and don't wait behind heartbeats.
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
		_ = users.Close() // nobody was served yet
		return fmt.Errorf("peer_listen: %w", err)
	}
	return n.serve(ctx, users, peers)
}

// serve serves on the listeners until parent ends or one of them fails, and returns the latter's error. By then it
// has closed them, and all that the node has started has ended.
func (n *Node) serve(parent context.Context, users, peers net.Listener) error {
	ctx, end := context.WithCancelCause(parent)
	defer end(nil)
	userServer := newUserServer(n.api.Handler())
	peerServer := peer.NewServer(func(in msg.Input) { n.offer(in) }, n.api, n.status)
	var background sync.WaitGroup
	background.Go(func() { end(userServer.Serve(users)) })
	background.Go(func() { end(peerServer.Serve(peers)) })
	background.Go(func() { n.store.Follow(ctx) })
	background.Go(func() { n.store.RenewLeases(ctx) })
	background.Go(func() { n.watchPeers(ctx) })
	n.logStart()
	n.loop(ctx)

	// Clients are cut off before the API is closed: the end of this node is not to be taken for a busy one. Errors
	// of closing are of no use to anybody here.
	_ = userServer.Close()
	_ = peers.Close()
	peerServer.Close()
	n.api.Close()
	n.inputs.Close()
	n.peers.Close()

	// The loops go first: they start calls of the adapters too.
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

// limitMemory has the garbage collector keep the process below its memory limit.
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
	if w := &n.cfg.Cluster.Workers; !w.LeaseEndsInTime() {
		slog.Warn("cancel_s is not longer than lease_s: cancellations are confirmed only once every task is proven gone",
			"lease_s", w.LeaseS, "cancel_s", w.CancelS)
	}
}

// loop hands inputs and ticks to the core until ctx ends. It is the only goroutine that uses the core, and that
// calls the adapters' Do.
func (n *Node) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	loggedAt := n.start
	for {
		delivery, ok := n.inputs.Next()
		if ctx.Err() != nil {
			return // the input may be of a call that has failed for nothing but the end of ctx
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

// process hands an input to the core, unless its sender has waited for too long: shedding it costs next to
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

// clock is the monotonic clock that the core goes by, in microseconds.
func (n *Node) clock() msg.Micros { return time.Since(n.start).Microseconds() + 1 }

// step hands an input to the core and carries out the effects.
func (n *Node) step(ctx context.Context, in msg.Input) {
	began := time.Now()
	defer func() { n.metrics.ObserveStep(in, time.Since(began)) }()
	for _, e := range n.core.Step(n.clock(), in) {
		n.carryOut(ctx, e)
	}
}

// carryOut carries out an effect itself, or hands it to the adapter that does.
func (n *Node) carryOut(ctx context.Context, e msg.Effect) {
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

// status is what this node reports to its peers.
func (n *Node) status() peer.Status {
	return peer.Status{StateOK: n.store.FailingFor() == 0, Says: true, Accepts: n.store.AdmissionDemand()}
}

// watchPeers asks the other nodes for their status. It shows whether this node alone has lost the state
// service: then the node is not ready. If no peer reaches it either, all stay ready and answer 503 with
// Retry-After, so that nobody waits for the load balancer afterwards.
func (n *Node) watchPeers(ctx context.Context) {
	wait.Every(ctx, peerStatusInterval, func() {
		anyReaches := false
		var admissionDemands []float64
		statuses := n.peers.CollectStatus(ctx)
		if ctx.Err() != nil {
			return // those that have not answered may be in reach
		}
		for node, status := range statuses {
			anyReaches = anyReaches || status.StateOK
			if status.Says {
				admissionDemands = append(admissionDemands, status.Accepts)
			}
			n.inputs.Post(inbox.Liveness, msg.PeerAlive{Node: node})
		}
		n.store.SetAdmissionShare(admissionDemands)
		alone := anyReaches && n.store.FailingFor() > isolatedAfter
		if alone != n.isolated.Swap(alone) {
			slog.Info("state service reachability", "lost_by_this_node_alone", alone)
		}
	})
}
