package emulator

import (
	"fmt"
	"maps"
	"slices"

	"coralhub/internal/invariants"
	"coralhub/wire"
)

// Cloud emulates the cloud: it rents machines and lists them.
type Cloud struct {
	Types    []wire.MachineType
	BootTime Micros         // boot time of a machine
	Capacity map[string]int // on-demand machines that can still be rented, by zone
	Machines map[string]*Machine
	// ListingDelay is how long lists omit a new machine, which may have booted by then.
	ListingDelay Micros
	CloudDown    bool // simulates an outage, in which the cloud answers 503
	Rented       int  // number of machines rented so far
	// Model varies boot times and speeds, delays lists, limits spot instances, and has tasks fetch images
	// and save checkpoints. If it is nil, everything takes its specified time.
	Model *Model

	events        *EventSink
	nextMachine   int                 // number in the name of the next machine
	rentals       map[string][]string // names of machines by the name of the request, which may be repeated
	listSnapshots []listSnapshot      // the most recent lists, see Model.list
}

func newCloud(events *EventSink) *Cloud {
	return &Cloud{
		Types: []wire.MachineType{{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 1,
			Price: 4, SpotPrice: 2, BootS: 2, Zones: []string{"a", "b"}}},
		BootTime: 2 * Second,
		Capacity: map[string]int{"a": 8, "b": 8},
		Machines: map[string]*Machine{},
		events:   events,
		rentals:  map[string][]string{},
	}
}

// Rent rents machines and returns their names, which may be fewer than requested, or nil if there is no
// capacity. A repeated request returns the same machines.
func (c *Cloud) Rent(now Micros, r wire.RentalRequest) []string {
	if names, ok := c.rentals[r.Name]; ok {
		return names
	}
	var names []string
	for len(names) < r.Count && c.hasCapacity(r, len(names)) {
		names = append(names, c.rentOne(now, r))
	}
	if len(names) > 0 {
		c.rentals[r.Name] = names
	}
	return names
}

func (c *Cloud) rentOne(now Micros, r wire.RentalRequest) string {
	if !r.Spot {
		c.Capacity[r.Zone]--
	}
	name := fmt.Sprintf("m-%06d", c.nextMachine)
	c.nextMachine++
	c.Rented++
	m := &Machine{
		Machine: wire.Machine{
			Name: name, Addr: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting,
		},
		StartsAt:     now + c.BootTime,
		Incarnation:  1,
		leaseStart:   now + c.BootTime,
		rentedAt:     now,
		Speed:        1,
		imageReadyAt: map[string]Micros{},
	}
	c.Machines[name] = m
	c.Model.rented(now, c, m)
	host := &invariants.Host{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	c.events.emit(invariants.Event{At: now, Kind: invariants.MachineAdded, Machine: name, Host: host})
	return name
}

// List returns the machines in the order of their names. With a model the list is out of date by the
// model's lag.
func (c *Cloud) List(now Micros) []wire.Machine {
	if c.Model != nil {
		return c.Model.list(now, c)
	}
	return c.listNow(now)
}

// listNow returns the current machines, without those that are too new to be listed.
func (c *Cloud) listNow(now Micros) []wire.Machine {
	var out []wire.Machine
	for _, name := range c.MachineNames() {
		m := c.Machines[name]
		if now-m.rentedAt < c.ListingDelay {
			continue
		}
		m.AgeS = float64(now-m.rentedAt) / 1e6
		out = append(out, m.Machine)
	}
	return out
}

// MachineNames returns the names of the machines in sorted order.
func (c *Cloud) MachineNames() []string {
	return slices.Sorted(maps.Keys(c.Machines))
}

// hasCapacity reports whether one more machine can be rented for a request, for which some have been
// rented already. Without a model each request gets one spot instance.
func (c *Cloud) hasCapacity(r wire.RentalRequest, rented int) bool {
	if !r.Spot {
		return c.Capacity[r.Zone] > 0
	}
	if c.Model == nil {
		return rented == 0
	}
	inZone := 0
	for _, m := range c.Machines {
		if m.Spot && m.Zone == r.Zone {
			inZone++
		}
	}
	return inZone < c.Model.SpotCapacity[r.Zone]
}

// gpusOf returns the number of GPUs of a machine, or 0 if its type is unknown.
func (c *Cloud) gpusOf(m *Machine) float64 {
	for i := range c.Types {
		if c.Types[i].Name == m.Type {
			return c.Types[i].GPUs
		}
	}
	return 0
}

// remove deletes a machine, whose tasks must have ended.
func (c *Cloud) remove(now Micros, m *Machine) {
	c.events.emit(invariants.Event{At: now, Kind: invariants.MachineRemoved, Machine: m.Name})
	if !m.Spot {
		c.Capacity[m.Zone]++
	}
	delete(c.Machines, m.Name)
}

// TasksOf lists the tasks of a job that have not exited, with their machines and states. If all is set, it
// includes tasks on machines that hang.
func (c *Cloud) TasksOf(id string, all bool) []string {
	var out []string
	for _, name := range c.MachineNames() {
		m := c.Machines[name]
		if m.Hanging && !all {
			continue
		}
		for _, t := range m.tasks {
			if taskJob, _, _ := wire.ParseTaskName(t.Task); taskJob == id && t.State != wire.Exited {
				out = append(out, fmt.Sprintf("%s.%d %s %s", t.Task, t.Attempt, name, t.State))
			}
		}
	}
	return out
}
