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

// rentAll rents all available machines without boot time, because a running fleet is measured.
func (r *region) rentAll() {
	r.servers.WithLock(func() {
		env := r.servers.Environment
		boot := env.BootTime
		env.BootTime = 0
		for _, zone := range r.settings.zoneNames() {
			env.Rent(r.servers.Now(), wire.RentalRequest{Name: "at-start-" + zone, Type: "m", Zone: zone,
				Count: env.Capacity[zone]})
		}
		env.BootTime = boot
	})
}

// machineChanged is called by the cloud emulator, with its lock held, when a machine was rented or removed.
func (r *region) machineChanged(e invariants.Event) {
	e.At = now()
	r.record(e)
	switch e.Kind {
	case invariants.MachineAdded:
		up := time.Duration(r.servers.Environment.Machines[e.Machine].StartsAt-r.servers.Now()) * time.Microsecond
		h := r.assignHost(e.Machine)
		m := hollow.Machine{Name: e.Machine, Type: e.Host.Type, Zone: e.Host.Zone, Spot: e.Host.Spot,
			GPUs: r.settings.Machine.GPUs}
		start := func() { h.enqueue(hollow.Command{Start: &m}) }
		if up <= 0 {
			start()
			return
		}
		r.startAfterBoot(up, start)
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

// startAfterBoot calls f after the boot time, unless the region is closed by then.
func (r *region) startAfterBoot(boot time.Duration, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.bootTimers = append(r.bootTimers, time.AfterFunc(boot, f))
	}
}

// assignHost assigns a machine to the process with the fewest workers and returns that process.
func (r *region) assignHost(machine string) *host {
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

// handleStartResult makes the cloud list a machine as running once its worker listens. If the worker could
// not be started, it ends the run.
func (r *region) handleStartResult(u *hollow.StartResult) {
	if u.Error != "" {
		r.run.fail(fmt.Errorf("start worker of %s: %s", u.Machine, u.Error))
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

// listenTimeout is the time within which all workers must listen.
const listenTimeout = 60 * time.Second

// waitUntilWorkersListen waits until all workers listen. It fails after listenTimeout or if the run has
// failed.
func (r *region) waitUntilWorkersListen(ctx context.Context) error {
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
			return fmt.Errorf("%s: only %d of %d workers listen after %v", r.name, listening, r.settings.Workers, listenTimeout)
		}
		if !wait.For(ctx, listenPollInterval) {
			return ctx.Err()
		}
	}
}

// injectFaults makes random machines fail and restart, at random times, until ctx ends.
func (r *region) injectFaults(ctx context.Context, rnd *rand.Rand) {
	f := &r.settings.Failures
	const day = 24 * 3600
	failures := f.FailedPerDay * f.Multiplier / day    // per second
	restarts := f.RestartedPerDay * f.Multiplier / day // per second
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
			h.enqueue(hollow.Command{Restart: &hollow.Restart{Machine: name, DowntimeS: f.RestartDurationS}})
		}
	}
}

// errNoMachine is returned by randomMachine if there are no machines.
var errNoMachine = errors.New("no machines to inject faults into")

// randomMachine returns the name of a random machine of the cloud.
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

// failMachine makes a machine fail. The cloud lists it as failed until it is deleted.
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
