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

// region holds the controllers, hollow workers, state service and cloud of a region.
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
	background sync.WaitGroup // all goroutines that the region starts

	mu            sync.Mutex
	events        []invariants.Event
	hostByMachine map[string]*host
	listening     int // number of workers that listen
	faults        faultCounts
	bootTimers    []*time.Timer // of rented machines
	closed        bool          // true once bootTimers must not grow
}

// faultCounts holds the numbers of injected machine faults.
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

// start starts the emulators, controllers and workers. It returns when all controllers are ready and all
// workers listen.
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
	return r.waitUntilWorkersListen(ctx)
}

// keptRevisions is the number of revisions that the state service keeps for watches.
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

// expireInterval is how often the state service expires leases.
const expireInterval = 50 * time.Millisecond

// serve starts an HTTP server on a free loopback port and returns its address.
func (r *region) serve(h http.Handler) (string, error) {
	l, err := new(net.ListenConfig).Listen(r.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	r.listeners = append(r.listeners, server)
	r.background.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.run.fail(fmt.Errorf("%s: emulator server ended: %w", r.name, err))
		}
	})
	return l.Addr().String(), nil
}

// firstNetwork is the second octet of the loopback addresses of the first process of hollow workers
// (127.1.x.y). Each further process uses the next one.
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
			_ = write.Close() // never fails, see io.PipeWriter
		})
		if err := json.NewEncoder(p.Input()).Encode(&c); err != nil {
			return fmt.Errorf("%s: send configuration to hollow workers: %w", r.name, err)
		}
		r.background.Go(func() { h.send(p.Input()) })
	}
	return nil
}

// enqueueAll queues a command for all processes of hollow workers.
func (r *region) enqueueAll(c hollow.Command) {
	for _, h := range r.hosts {
		h.enqueue(c)
	}
}

// readEvents handles the events of a process of hollow workers until the process exits. It does not report
// an early exit: region.sample does.
func (r *region) readEvents(h *host, from *io.PipeReader) {
	events := json.NewDecoder(from)
	for {
		var e hollow.Event
		if err := events.Decode(&e); err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				r.run.fail(fmt.Errorf("%s: read events of hollow workers: %w", r.name, err))
			}
			_ = from.CloseWithError(err) // never fails; keeps the process from blocking on its output
			return
		}
		switch {
		case e.StartResult != nil:
			r.handleStartResult(e.StartResult)
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

// taskEvents maps the kinds of task events of hollow workers to kinds of recorded events.
var taskEvents = map[string]invariants.Kind{
	hollow.TaskPlaced:  invariants.TaskStarted,
	hollow.TaskRemoved: invariants.TaskStopped,
	hollow.TaskDone:    invariants.TaskDone,
}

// taskChanged records a task event. If the event completes or breaks a gang, it sends all hollow workers the
// command to run or stop that gang.
func (r *region) taskChanged(at int64, t *hollow.TaskEvent) {
	r.record(invariants.Event{At: at, Kind: taskEvents[t.Kind], Job: t.Job, Task: t.Task, Attempt: t.Attempt,
		Machine: t.Machine})
	attempt := hollow.Attempt{Job: t.Job, Attempt: t.Attempt}
	switch r.gangs.taskChanged(t) {
	case gangComplete:
		r.enqueueAll(hollow.Command{Run: &attempt})
	case gangBroken:
		r.enqueueAll(hollow.Command{Break: &attempt})
	}
}

// record appends an event to the history against which the invariants are checked.
func (r *region) record(e invariants.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// now returns the Unix time in microseconds. All processes of a run use this clock.
func now() int64 { return time.Now().UnixMicro() }

// close kills all processes and waits until they and all goroutines of the region have ended.
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
			r.run.logf("%s: close emulator server: %v", r.name, err)
		}
	}
	r.stopBootTimers()
	r.background.Wait()
}

// stopBootTimers stops the timers of booting machines and prevents new ones.
func (r *region) stopBootTimers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, t := range r.bootTimers {
		t.Stop()
	}
}
