package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/hollow"
	"coralhub/internal/invariants"
	"coralhub/internal/process"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// region is a region's controllers, workers, state service and cloud.
type region struct {
	settings *Settings
	run      *run
	name     string
	number   int
	dir      string

	servers      *emulator.Servers
	listeners    []*http.Server
	stateAddress string
	cloudAddress string
	controllers  []*controller
	hosts        []*host
	gangs        gangs

	ctx        context.Context // ends when the region is closed
	stop       context.CancelFunc
	background sync.WaitGroup // all goroutines that the region has started

	mu            sync.Mutex
	events        []invariants.Event
	hostByMachine map[string]*host // by machine
	listening     int              // number of machines whose workers listen
	faults        faultCounts
	boots         []*time.Timer // of machines that were rented
	closed        bool          // no more timers may be added
}

// faultCounts counts the injected faults of machines.
type faultCounts struct {
	Failed    int `json:"failed"`
	Restarted int `json:"restarted"`
}

func newRegion(ctx context.Context, s *Settings, opt *run, number int) *region {
	name := "region-" + strconv.Itoa(number)
	ctx, stop := context.WithCancel(ctx)
	return &region{
		ctx:           ctx,
		stop:          stop,
		settings:      s,
		run:           opt,
		name:          name,
		number:        number,
		dir:           filepath.Join(opt.Dir, name),
		servers:       emulator.NewServers(),
		gangs:         newGangs(),
		hostByMachine: map[string]*host{},
	}
}

// start starts everything and returns when all controllers are ready and all workers listen.
func (r *region) start(ctx context.Context) error {
	if err := r.startServers(); err != nil {
		return err
	}
	if err := r.startControllers(ctx); err != nil {
		return err
	}
	if err := r.startHosts(); err != nil {
		return err
	}
	r.rentAll()
	return r.awaitWorkers(ctx)
}

// keptRevisions is how many revisions the state service keeps for watches.
const keptRevisions = 10_000

// startServers starts the emulators of the state service and the cloud.
func (r *region) startServers() error {
	s := r.settings
	r.servers.State.MinHistory = keptRevisions
	r.servers.State.ValueBytes = int(s.State.ValueKB * 1024)
	r.servers.State.TxnOps = s.State.TxnOps
	r.servers.SetQuotas(s.State.RPS, s.State.WriteRPS, s.Cloud.RPS)
	r.servers.SetStateDelay(time.Duration(s.State.DelayMS * float64(time.Millisecond)))
	env := r.servers.Environment
	env.Types = []wire.MachineType{s.machineType()}
	env.Capacity = emulator.CapacityByZone(s.Workers, s.zoneNames())
	env.BootTime = config.FromSeconds(s.Cloud.BootS)
	env.OnEvent = r.machineChanged
	var err error
	if r.stateAddress, err = r.serve(r.servers.StateHandler()); err != nil {
		return err
	}
	if r.cloudAddress, err = r.serve(r.servers.CloudHandler()); err != nil {
		return err
	}
	r.background.Go(func() { wait.Every(r.ctx, expireInterval, r.servers.Expire) })
	return nil
}

// expireInterval is how often the state service checks its leases.
const expireInterval = 50 * time.Millisecond

// serve starts an HTTP server on a loopback port and returns its address.
func (r *region) serve(h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(r.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	r.listeners = append(r.listeners, server)
	r.background.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.run.fail(fmt.Errorf("%s: a server has ended: %w", r.name, err))
		}
	})
	return l.Addr().String(), nil
}

// firstNetwork is the network of the first process of hollow workers: 127.1 and on.
const firstNetwork = 1

// startHosts starts the processes of hollow workers.
func (r *region) startHosts() error {
	p := &r.settings.Protocol
	c := hollow.Config{ReportS: p.ReportS, LeaseS: p.LeaseS, GangWaitS: p.GangWaitS, GangPeerS: p.GangPeerS}
	for _, n := range r.controllers {
		c.Nodes = append(c.Nodes, hollow.Node{Name: n.name, Address: n.listen})
	}
	for i := range r.run.hostsPerRegion {
		c.Network = firstNetwork + r.number*r.run.hostsPerRegion + i
		read, write := io.Pipe()
		p, err := process.Start(process.Options{
			Program: r.run.Program,
			Args:    r.run.HollowArgs,
			Output:  write,
			Log:     filepath.Join(r.dir, fmt.Sprintf("hollow-%d.log", i)),
		})
		if err != nil {
			return err
		}
		h := newHost(p)
		r.hosts = append(r.hosts, h)
		r.background.Go(func() { r.readEvents(h, read) })
		r.background.Go(func() {
			<-p.Done()
			_ = write.Close() // always nil, see io.PipeWriter
		})
		if err := json.NewEncoder(p.Input()).Encode(&c); err != nil {
			return fmt.Errorf("hollow workers: %w", err)
		}
		r.background.Go(func() { h.send(p.Input()) })
	}
	return nil
}

// enqueueAll enqueues a command to all processes of hollow workers.
func (r *region) enqueueAll(c hollow.Command) {
	for _, h := range r.hosts {
		h.enqueue(c)
	}
}

// readEvents handles the events of a process of hollow workers until it ends. That a process has ended
// before the run has is noticed when it is measured.
func (r *region) readEvents(h *host, from *io.PipeReader) {
	events := json.NewDecoder(from)
	for {
		var e hollow.Event
		if err := events.Decode(&e); err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				r.run.fail(fmt.Errorf("%s: events of hollow workers: %w", r.name, err))
			}
			_ = from.CloseWithError(err) // always nil; the process must not block on its output
			return
		}
		switch {
		case e.Up != nil:
			r.machineUp(e.Up)
		case e.Task != nil:
			r.taskChanged(e.At, e.Task)
		case e.Usage != nil:
			select {
			case h.usage <- *e.Usage:
			case <-r.ctx.Done():
			}
		}
	}
}

// taskEvents are the recorded events by the kinds of task events of hollow workers.
var taskEvents = map[string]invariants.Kind{
	hollow.TaskOn:   invariants.TaskStarted,
	hollow.TaskOff:  invariants.TaskStopped,
	hollow.TaskDone: invariants.TaskDone,
}

// taskChanged records an event of a task, and has gangs run or break.
func (r *region) taskChanged(at int64, t *hollow.Task) {
	r.record(invariants.Event{At: at, Kind: taskEvents[t.Kind], Job: t.Job, Task: t.Task, Attempt: t.Attempt, Machine: t.Machine})
	attempt := hollow.Attempt{Job: t.Job, Attempt: t.Attempt}
	switch r.gangs.taskChanged(t) {
	case gangComplete:
		r.enqueueAll(hollow.Command{Run: &attempt})
	case gangBroken:
		r.enqueueAll(hollow.Command{Break: &attempt})
	}
}

// record appends an event to the history that the invariants are checked on.
func (r *region) record(e invariants.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// now returns the Unix time in microseconds, the clock of all processes of a run.
func now() int64 { return time.Now().UnixMicro() }

// close kills all processes, and waits for their end and that of all goroutines of the region.
func (r *region) close() {
	r.stop()
	for _, c := range r.controllers {
		c.kill()
	}
	for _, h := range r.hosts {
		kill(h.Process)
	}
	for _, s := range r.listeners {
		if err := s.Close(); err != nil {
			r.run.logf("%s: a server was not closed: %v", r.name, err)
		}
	}
	r.stopBoots()
	r.background.Wait()
}

// stopBoots has no more machines boot.
func (r *region) stopBoots() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, t := range r.boots {
		t.Stop()
	}
}
