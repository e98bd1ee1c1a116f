package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"coralhub/internal/cluster"
	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/faults"
	"coralhub/internal/wait"
)

// injectFault brings a fault about and returns what ends it; nil if nothing does.
func (r *run) injectFault(f *Fault) func() {
	c := r.cluster
	mode := faults.Mode(f.Mode)
	if f.Mode == "" {
		mode = faults.Drop
	}
	cut := func(links ...*faults.Proxy) func() {
		for _, l := range links {
			r.failed(l.Set(mode, faults.Direction(f.Way)))
		}
		return func() {
			for _, l := range links {
				r.failed(l.Set(faults.Pass, faults.Both))
			}
		}
	}
	world := func(set func(w *emulator.Environment, now emulator.Micros)) {
		c.Servers.With(func() { set(c.Servers.Environment, c.Servers.Now()) })
	}
	nodes := r.nodes(f.Target)
	var links []*faults.Proxy
	switch f.Kind {
	case "node_kill":
		for _, n := range nodes {
			r.failed(n.Signal(syscall.SIGKILL))
		}
	case "node_stop":
		for _, n := range nodes {
			r.failed(n.Signal(syscall.SIGSTOP))
		}
		return func() {
			for _, n := range nodes {
				r.failed(n.Signal(syscall.SIGCONT))
			}
		}
	case "node_from_state":
		for _, n := range nodes {
			links = append(links, n.Links["state"])
		}
		return cut(links...)
	case "node_from_peers":
		for _, n := range nodes {
			for _, p := range c.Nodes {
				if p != n {
					links = append(links, n.Links[p.Name], p.Links[n.Name])
				}
			}
		}
		return cut(links...)
	case "node_from_users":
		for _, n := range nodes {
			links = append(links, n.Users)
		}
		return cut(links...)
	case "node_from_workers":
		for _, n := range nodes {
			links = append(links, n.Workers)
		}
		return cut(links...)
	case "zone_cut":
		for _, n := range c.Nodes {
			for _, p := range c.Nodes {
				if n.Zone == f.Target && p.Zone != f.Target {
					links = append(links, n.Links[p.Name], p.Links[n.Name])
				}
			}
			if n.Zone == f.Target {
				links = append(links, n.Links["state"], n.Links["cloud"], n.Users)
			}
		}
		return cut(links...)
	case "state_out":
		c.Servers.With(func() { c.Servers.State.SetDown(c.Servers.Now(), true) })
		return func() { c.Servers.With(func() { c.Servers.State.SetDown(c.Servers.Now(), false) }) }
	case "state_slow":
		c.Servers.Delay(time.Duration(f.Factor * float64(100*time.Millisecond)))
		return func() { c.Servers.Delay(0) }
	case "state_refuses":
		cl := r.deploy()
		c.Servers.SetQuotas(cl.State.RPS*f.Factor, cl.State.WriteRPS*f.Factor, cl.Cloud.RPS)
		return func() { c.Servers.SetQuotas(cl.State.RPS, cl.State.WriteRPS, cl.Cloud.RPS) }
	case "cloud_out":
		world(func(w *emulator.Environment, _ emulator.Micros) { w.CloudOff = true })
		return func() { world(func(w *emulator.Environment, _ emulator.Micros) { w.CloudOff = false }) }
	case "cloud_full":
		had := map[string]int{}
		world(func(w *emulator.Environment, _ emulator.Micros) {
			for z, n := range w.Capacity {
				had[z], w.Capacity[z] = n, 0
			}
		})
		return func() {
			world(func(w *emulator.Environment, _ emulator.Micros) {
				for z, n := range had {
					w.Capacity[z] += n
				}
			})
		}
	case "boots_late":
		world(func(w *emulator.Environment, _ emulator.Micros) { w.Model.BootTimes = f.Factor })
		return func() { world(func(w *emulator.Environment, _ emulator.Micros) { w.Model.BootTimes = 1 }) }
	case "machine_hang":
		return r.affectMachines(f, func(m *emulator.Machine, _ emulator.Micros) { m.Hang = true }, func(m *emulator.Machine) { m.Hang = false })
	case "machine_deaf": // its reports arrive, and nothing reaches it
		deaf := string(mode)
		return r.affectMachines(f, func(m *emulator.Machine, _ emulator.Micros) { m.InboundLost = deaf }, func(m *emulator.Machine) { m.InboundLost = "" })
	case "machine_restart":
		return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
			c.Servers.Environment.Restart(now, 100_000+rand.Int64N(800_000), m, false)
		}, nil)
	case "reports_again": // copies of reports, up to so many leases late, at any node
		c.Servers.Repeat(f.Factor * r.scenario.Deploy.LeaseS)
		return func() { c.Servers.Repeat(0) }
	case "machine_sick":
		return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { c.Servers.Environment.Fails[m.Name] = now },
			func(m *emulator.Machine) { delete(c.Servers.Environment.Fails, m.Name) })
	case "machine_slow":
		return r.affectMachines(f, func(m *emulator.Machine, _ emulator.Micros) { m.Speed /= f.Factor }, func(m *emulator.Machine) { m.Speed *= f.Factor })
	case "machine_die":
		return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now, true) }, nil)
	case "spot_wave":
		return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) {
			if m.Spot {
				m.Recall(now+config.Second*2, rand.IntN(3) == 0)
			}
		}, nil)
	case "drain":
		return r.affectMachines(f, func(m *emulator.Machine, now emulator.Micros) { m.Recall(now+4*config.Second, false) }, nil)
	}
	return nil
}

// affectMachines does something to as many busy machines as a fault says, all if it gives
// no number, and undoes it.
func (r *run) affectMachines(f *Fault, do func(*emulator.Machine, emulator.Micros), undo func(*emulator.Machine)) func() {
	var hit []string
	s := r.cluster.Servers
	s.With(func() {
		for _, name := range s.Environment.Names() {
			m := s.Environment.Machines[name]
			if (f.Count == 0 || len(hit) < f.Count) && (f.Target == "" || f.Target == m.Zone) && s.Now() >= m.Up && (m.Tasks() > 0 || f.Count == 0) {
				hit = append(hit, name)
				do(m, s.Now())
			}
		}
	})
	r.say("%s: %d machines", f.Kind, len(hit))
	if undo == nil {
		return nil
	}
	return func() {
		s.With(func() {
			for _, name := range hit {
				if m := s.Environment.Machines[name]; m != nil {
					undo(m)
				}
			}
		})
	}
}

// nodes resolves a target: the node that holds the claim, another, all of them, or
// those of a zone.
func (r *run) nodes(target string) []*cluster.Node {
	leader := r.leader()
	i := slices.IndexFunc(r.cluster.Nodes, func(n *cluster.Node) bool { return n.Name == leader })
	switch target {
	case "", "leader":
		return r.cluster.Nodes[max(i, 0) : max(i, 0)+1]
	case "other":
		k := (max(i, 0) + 1) % len(r.cluster.Nodes)
		return r.cluster.Nodes[k : k+1]
	case "all":
		return r.cluster.Nodes
	}
	var out []*cluster.Node
	for _, n := range r.cluster.Nodes {
		if n.Zone == target {
			out = append(out, n)
		}
	}
	return out
}

// injectDegradation brings the faults of the scenario about at their times.
func (r *run) injectDegradation(ctx context.Context, began time.Time) {
	type moment struct {
		at time.Duration
		do func()
	}
	var all []moment
	seconds := func(s float64) time.Duration { return time.Duration(s * 1e9) }
	for i := range r.scenario.Faults {
		f := &r.scenario.Faults[i]
		strike := func(at, last float64) {
			var end func()
			all = append(all, moment{seconds(at), func() { r.mark(f, "begins"); end = r.injectFault(f) }})
			if last > 0 {
				all = append(all, moment{seconds(at + last), func() {
					if end != nil {
						r.mark(f, "ends")
						end()
					}
				}})
			}
		}
		if f.EveryS > 0 {
			for at := f.AtS; at <= f.AtS+f.ForS; at += f.EveryS {
				strike(at, 0)
			}
			continue
		}
		strike(f.AtS, f.ForS)
	}
	slices.SortStableFunc(all, func(a, b moment) int { return int(a.at - b.at) })
	for _, m := range all {
		if !wait.For(ctx, time.Until(began.Add(m.at))) {
			return
		}
		m.do()
	}
}

func (r *run) mark(f *Fault, what string) {
	text := f.Kind
	if f.Target != "" {
		text += " " + f.Target
	}
	r.say("%s %s", text, what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, Mark{At: float64(r.now()) / 1e6, What: fmt.Sprint(text, " ", what)})
}
