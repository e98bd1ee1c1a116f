package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"coralhub/internal/hollow"
	"coralhub/internal/invariants"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// rentAll rents all machines that there are, up at once: the measurement is of a running fleet.
func (r *region) rentAll() {
	r.servers.WithLock(func() {
		env := r.servers.Environment
		boot := env.BootTime
		env.BootTime = 0
		for _, zone := range r.settings.zoneNames() {
			env.Rent(r.servers.Now(), wire.RentalRequest{Name: "at-start-" + zone, Type: "m", Zone: zone, Count: env.Capacity[zone]})
		}
		env.BootTime = boot
	})
}

// machineChanged is called by the cloud when a machine was rented or is gone. The cloud's lock is held.
func (r *region) machineChanged(e invariants.Event) {
	e.At = now()
	r.record(e)
	switch e.Kind {
	case invariants.MachineAdded:
		up := time.Duration(r.servers.Environment.Machines[e.Machine].StartsAt-r.servers.Now()) * time.Microsecond
		h := r.assign(e.Machine)
		m := hollow.Machine{Name: e.Machine, Type: e.Host.Type, Zone: e.Host.Zone, Spot: e.Host.Spot, GPUs: r.settings.Machine.GPUs}
		start := func() { h.enqueue(hollow.Command{Start: &m}) }
		if up <= 0 {
			start()
			return
		}
		r.startLater(up, start)
	case invariants.MachineRemoved:
		r.mu.Lock()
		h := r.hostByMachine[e.Machine]
		delete(r.hostByMachine, e.Machine)
		if h != nil {
			h.workers--
		}
		r.mu.Unlock()
		if h != nil {
			h.enqueue(hollow.Command{Remove: e.Machine})
		}
	}
}

// startLater calls f after a machine has booted, unless the region is closed by then.
func (r *region) startLater(boot time.Duration, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.boots = append(r.boots, time.AfterFunc(boot, f))
	}
}

// assign assigns a machine to the process with the fewest workers.
func (r *region) assign(machine string) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := r.hosts[0]
	for _, h := range r.hosts {
		if h.workers < least.workers {
			least = h
		}
	}
	least.workers++
	r.hostByMachine[machine] = least
	return least
}

// machineUp handles that a machine's worker listens: the cloud lists the machine as running.
func (r *region) machineUp(u *hollow.Up) {
	if u.Why != "" {
		r.run.fail(fmt.Errorf("worker of %s: %s", u.Machine, u.Why))
		return
	}
	r.mu.Lock()
	r.listening++
	r.mu.Unlock()
	r.servers.WithLock(func() {
		if m := r.servers.Environment.Machines[u.Machine]; m != nil {
			m.Addr, m.State = u.Address, wire.Running
		}
	})
}

// listenPollInterval is how often the number of listening workers is checked.
const listenPollInterval = 50 * time.Millisecond

// listenTimeout is how long workers may take to listen.
const listenTimeout = 60 * time.Second

// awaitWorkers waits until all workers listen.
func (r *region) awaitWorkers(ctx context.Context) error {
	for deadline := time.Now().Add(listenTimeout); ; {
		r.mu.Lock()
		listening := r.listening
		r.mu.Unlock()
		if listening >= r.settings.Workers {
			return nil
		}
		if err := r.run.failure(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %d of %d workers listen after %v", r.name, listening, r.settings.Workers, listenTimeout)
		}
		if !wait.For(ctx, listenPollInterval) {
			return ctx.Err()
		}
	}
}

// injectFaults has random machines fail and restart until ctx ends.
func (r *region) injectFaults(ctx context.Context, rnd *rand.Rand) {
	f := &r.settings.Failures
	const day = 24 * 3600
	failures := f.FailedPerDay * f.Times / day    // per second
	restarts := f.RestartedPerDay * f.Times / day // per second
	faults := failures + restarts
	if faults <= 0 {
		return
	}
	for wait.For(ctx, time.Duration(rnd.ExpFloat64()/faults*float64(time.Second))) {
		name, err := r.randomMachine(rnd)
		if err != nil {
			continue
		}
		if rnd.Float64()*faults < failures {
			r.failMachine(name)
			continue
		}
		r.mu.Lock()
		h := r.hostByMachine[name]
		r.faults.Restarted++
		r.mu.Unlock()
		if h != nil {
			h.enqueue(hollow.Command{Restart: &hollow.Restart{Machine: name, AwayS: f.AwayS}})
		}
	}
}

// errNoMachine is returned by randomMachine.
var errNoMachine = errors.New("no machine is up")

// randomMachine returns the name of a random machine.
func (r *region) randomMachine(rnd *rand.Rand) (name string, err error) {
	r.servers.WithLock(func() {
		names := r.servers.Environment.MachineNames()
		if len(names) == 0 {
			err = errNoMachine
			return
		}
		name = names[rnd.IntN(len(names))]
	})
	return name, err
}

// failMachine has a machine fail: it stays listed, as failed, until it is deleted.
func (r *region) failMachine(name string) {
	r.servers.WithLock(func() {
		if m := r.servers.Environment.Machines[name]; m != nil {
			m.State = wire.MachineFailed
		}
	})
	r.mu.Lock()
	h := r.hostByMachine[name]
	r.faults.Failed++
	r.mu.Unlock()
	if h != nil {
		h.enqueue(hollow.Command{Remove: name})
	}
}
