// Package peer is what nodes say to each other, by net/rpc. It is a fast path:
// the records are the truth, and nothing depends on a peer being heard.
package peer

import (
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/count"
	"coralhub/wire"
)

const (
	callTimeout = time.Second
	maxCalls    = 64 // at a time
)

// Event is a key that a peer has just written.
type Event struct {
	Key     string
	Value   []byte
	Version uint64
}

// Report is a worker's report that its home hands to the leader.
type Report struct{ Body []byte }

// ReportAnswer is the leader's answer; Body is empty unless it was a 200. Busy: the leader
// had no time for it.
type ReportAnswer struct {
	Body []byte
	Busy bool
}

// Beat tells of workers that the caller has answered for the leader.
type Beat struct {
	Node     string
	Revision uint64
	Heard    []msg.Heard
}

// BeatAnswer is what the leader says to a Beat: the workers whose next report it wants, and
// for how long the caller may stand in for it.
type BeatAnswer struct {
	Wanted  []string
	StandIn int64
}

// Status is how a peer is doing, and how many jobs a second it is asked to accept. One that
// doesn't know of that says nothing of it.
type Status struct {
	StateOK bool
	Says    bool // it says how many
	Accepts float64
}

// Service is what a node offers its peers.
type Service struct {
	post   func(msg.Input)
	answer Answerer
	status func() Status
}

// Answerer has the core answer what peers ask.
type Answerer interface {
	Report(wire.Report) msg.Answer
	Beat(msg.BeatIn) msg.Answer
}

// Report has the node answer a worker's report as the leader.
func (s *Service) Report(q *Report, a *ReportAnswer) error {
	var r wire.Report
	if err := wire.Unmarshal(q.Body, &r); err != nil {
		return err
	}
	x := s.answer.Report(r)
	if x.Status != http.StatusOK {
		a.Busy = x.Busy
		return nil
	}
	var err error
	a.Body, err = wire.Marshal(x.Body)
	return err
}

// Beat takes word of workers that the caller has answered for this node.
func (s *Service) Beat(q *Beat, a *BeatAnswer) error {
	if said, ok := s.answer.Beat(msg.BeatIn{Node: q.Node, Revision: q.Revision, Heard: q.Heard}).Body.(msg.BeatAnswer); ok {
		a.Wanted, a.StandIn = said.Wanted, said.StandIn
	}
	return nil
}

// Tell takes a copy of a key that the caller has written.
func (s *Service) Tell(e *Event, _ *struct{}) error {
	s.post(msg.Hint{Event: wire.Change{Put: e.Key, Value: e.Value, Version: e.Version}})
	return nil
}

// Status tells how this node is doing.
func (s *Service) Status(_ *struct{}, st *Status) error {
	*st = s.status()
	return nil
}

// line is one of two to each node. What tells that nodes are alive, and for how long homes
// may stand in, has one of its own: reports by the hundred don't hold it up.
type line struct {
	node  string
	alive bool
}

// conn is a connection and when an answer last came by it.
type conn struct {
	*rpc.Client
	answered atomic.Int64 // nanoseconds since the peers began
}

var errSlow = errors.New("no answer in time, though others came")

// Peers holds the connections to the other nodes.
type Peers struct {
	self  string
	post  func(msg.Input)
	mu    sync.Mutex
	addrs map[string]string
	conns map[line]*conn
	sem   chan struct{}

	began time.Time

	handed, lost, busy, full, closed count.Counter
}

// Totals tells how many reports were handed on and lost since the process began.
func (p *Peers) Totals() map[string]float64 {
	return map[string]float64{"handed": p.handed.Total(), "lost": p.lost.Total()}
}

// Counters tells, since it was last asked, how many reports the leader has
// answered, how many it has not, or had no time for, how many messages found too many
// others on their way, and how often a connection was given up. It is for the debug log.
func (p *Peers) Counters() []any {
	return []any{"handed", p.handed.Since(), "lost", p.lost.Since(), "busy", p.busy.Since(), "full", p.full.Since(), "closed", p.closed.Since()}
}

// New returns the peers of a node.
func New(cfg *config.Config, post func(msg.Input)) *Peers {
	p := &Peers{self: cfg.Node, post: post, addrs: map[string]string{}, conns: map[line]*conn{}, sem: make(chan struct{}, maxCalls), began: time.Now()}
	for _, n := range cfg.Peers {
		p.addrs[n.Node] = n.Address
	}
	return p
}

// Serve answers peers on l.
func Serve(l net.Listener, post func(msg.Input), answer Answerer, status func() Status) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Service{post, answer, status}); err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}

// Do carries out an effect; it returns false for effects of other adapters.
func (p *Peers) Do(e msg.Effect) bool {
	switch x := e.(type) {
	case msg.Tell:
		p.limited(func() {
			ev := Event{x.Event.Put, x.Event.Value, x.Event.Version}
			_ = p.call(x.Node, "Peer.Tell", &ev, &struct{}{}) // the leader's watch tells it too
		}, func() {})
	case msg.Forward:
		done := msg.ForwardDone{Req: x.Req, Report: x.Report}
		p.limited(func() {
			switch done.Answer, done.Busy = p.forward(x); {
			case done.Answer != nil:
				p.handed.Add()
			case done.Busy:
				p.busy.Add()
			default:
				p.lost.Add()
			}
			p.post(done)
		}, func() {
			done.Busy = true // as far as is known: whoever is out of reach is told apart by beats
			go p.post(done)
		})
	case msg.Beat:
		go func() { // some are on their way at most: they are sent at a pace, and given up after a second
			var out BeatAnswer
			if p.callOn(line{x.Node, true}, "Peer.Beat", &Beat{p.self, x.Revision, x.Heard}, &out) == nil {
				p.post(msg.BeatDone{Beat: x, BeatAnswer: msg.BeatAnswer{Wanted: out.Wanted, StandIn: out.StandIn}})
			}
		}()
	default:
		return false
	}
	return true
}

// limited runs f in the background, or instead if too much is going on.
func (p *Peers) limited(f, instead func()) {
	select {
	case p.sem <- struct{}{}:
		go func() {
			defer func() { <-p.sem }()
			f()
		}()
	default:
		p.full.Add()
		instead()
	}
}

func (p *Peers) forward(x msg.Forward) (answer *wire.ReportAnswer, busy bool) {
	body, err := wire.Marshal(&x.Report)
	if err != nil {
		return nil, false
	}
	var out ReportAnswer
	if err := p.call(x.Node, "Peer.Report", &Report{body}, &out); err != nil {
		return nil, errors.Is(err, errSlow) // what comes later may still be written to out
	}
	var a wire.ReportAnswer
	if len(out.Body) == 0 || wire.Unmarshal(out.Body, &a) != nil {
		return nil, out.Busy
	}
	return &a, false
}

// Ask asks every peer for its status, all at once; a peer that doesn't answer
// is left out.
func (p *Peers) Ask() map[string]Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]Status, len(p.addrs))
	for node := range p.addrs {
		wg.Go(func() {
			var st Status
			if p.callOn(line{node, true}, "Peer.Status", &struct{}{}, &st) == nil {
				mu.Lock()
				out[node] = st
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

func (p *Peers) client(l line) (*conn, error) {
	p.mu.Lock()
	c := p.conns[l]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	to, err := net.DialTimeout("tcp", p.addrs[l.node], callTimeout)
	if err != nil {
		return nil, err
	}
	c = &conn{Client: rpc.NewClient(to)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[l]; other != nil {
		_ = c.Close()
		return other, nil
	}
	p.conns[l] = c
	return c, nil
}

func (p *Peers) call(node, method string, in, out any) error {
	return p.callOn(line{node, false}, method, in, out)
}

// callOn makes a call. One without an answer in time doesn't end the connection if other
// answers have come by it meanwhile: with it, all other calls that were on it were lost, which
// made a slow leader look like one out of reach.
func (p *Peers) callOn(l line, method string, in, out any) error {
	c, err := p.client(l)
	if err != nil {
		return err
	}
	sent := int64(time.Since(p.began))
	call := c.Go(method, in, out, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		if c.answered.Load() > sent {
			return errSlow
		}
		err = rpc.ErrShutdown
	}
	if err != nil {
		p.mu.Lock()
		if p.conns[l] == c {
			delete(p.conns, l)
			p.closed.Add()
		}
		p.mu.Unlock()
		_ = c.Close()
		return err
	}
	c.answered.Store(int64(time.Since(p.began)))
	return nil
}
