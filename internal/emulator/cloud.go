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
	Boot     Micros
	Capacity map[string]int // ordinary machines that can still be rented, by zone
	Machines map[string]*Machine
	// Unlisted is how long a new machine is missing from lists; it may be up before.
	Unlisted Micros
	CloudOff bool // an outage: the cloud answers 503
	Rented   int  // how many machines have been rented
	// Model has machines differ, boot late, fetch images and lose spot instances; with nil everything
	// takes as long as it is specified to.
	Model *Model

	events      *EventSink
	nextMachine int                 // number of the next machine's name
	rentals     map[string][]string // machines by the name of the request, which may be repeated
	listed      []listing           // the lists of the last seconds, see Model.list
}

func newCloud(events *EventSink) *Cloud {
	return &Cloud{
		Types: []wire.MachineType{{Name: "t4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 100, FetchGBs: 1,
			Price: 4, SpotPrice: 2, BootS: 2, Zones: []string{"a", "b"}}},
		Boot:     2 * Second,
		Capacity: map[string]int{"a": 8, "b": 8},
		Machines: map[string]*Machine{},
		events:   events,
		rentals:  map[string][]string{},
	}
}

// Rent rents machines and returns their names, which may be fewer than requested; nil if there is no
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

// rentOne rents a machine and returns its name.
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
		Up:          now + c.Boot,
		Incarnation: 1,
		leaseFrom:   now + c.Boot,
		rentedAt:    now,
		Speed:       1,
		images:      map[string]Micros{},
	}
	c.Machines[name] = m
	c.Model.rented(now, c, m)
	host := &invariants.Host{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	c.events.emit(invariants.Event{At: now, Kind: invariants.MachineAdded, Machine: name, Host: host})
	return name
}

// List lists the machines in the order of their names, as late as the model says.
func (c *Cloud) List(now Micros) []wire.Machine {
	if c.Model != nil {
		return c.Model.list(now, c)
	}
	return c.listNow(now)
}

// listNow lists the machines as they are.
func (c *Cloud) listNow(now Micros) []wire.Machine {
	var out []wire.Machine
	for _, name := range c.Names() {
		m := c.Machines[name]
		if now-m.rentedAt < c.Unlisted {
			continue
		}
		m.AgeS = float64(now-m.rentedAt) / 1e6
		out = append(out, m.Machine)
	}
	return out
}

// Names lists the names of the machines in order.
func (c *Cloud) Names() []string {
	return slices.Sorted(maps.Keys(c.Machines))
}

// hasCapacity reports whether one more machine can be rented, after so many in the same request.
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

// gpusOf is how many GPUs a machine has.
func (c *Cloud) gpusOf(m *Machine) float64 {
	for i := range c.Types {
		if c.Types[i].Name == m.Type {
			return c.Types[i].GPUs
		}
	}
	return 0
}

// remove deletes a machine, on which there are no more tasks.
func (c *Cloud) remove(now Micros, m *Machine) {
	c.events.emit(invariants.Event{At: now, Kind: invariants.MachineGone, Machine: m.Name})
	if !m.Spot {
		c.Capacity[m.Zone]++
	}
	delete(c.Machines, m.Name)
}

// On lists where a job's tasks are and in which state; all includes those on machines that hang.
func (c *Cloud) On(id string, all bool) []string {
	var out []string
	for _, name := range c.Names() {
		m := c.Machines[name]
		if m.Hang && !all {
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
