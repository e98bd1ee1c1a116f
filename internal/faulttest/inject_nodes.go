package faulttest

import (
	"slices"
	"syscall"

	"coralhub/internal/cluster"
	"coralhub/internal/faults"
)

// The targets of a fault other than a zone, as scenario files name them in Fault.Target.
const (
	targetLeader = "leader"
	targetOther  = "other"
	targetAll    = "all"
)

func (r *run) killNodes(f *Fault) func() {
	r.signalNodes(r.targetNodes(f.Target), syscall.SIGKILL)
	return nil
}

func (r *run) stopNodes(f *Fault) func() {
	nodes := r.targetNodes(f.Target)
	r.signalNodes(nodes, syscall.SIGSTOP)
	return func() { r.signalNodes(nodes, syscall.SIGCONT) }
}

func (r *run) signalNodes(nodes []*cluster.Node, sig syscall.Signal) {
	for _, n := range nodes {
		r.harnessFailed(n.Signal(sig))
	}
}

func (r *run) cutNodesFromState(f *Fault) func() {
	var links []*faults.Proxy
	for _, n := range r.targetNodes(f.Target) {
		links = append(links, n.Links[cluster.LinkState])
	}
	return r.cut(f, links)
}

func (r *run) cutNodesFromPeers(f *Fault) func() {
	var links []*faults.Proxy
	for _, n := range r.targetNodes(f.Target) {
		for _, peer := range r.cluster.Nodes {
			if peer != n {
				links = append(links, n.Links[peer.Name], peer.Links[n.Name])
			}
		}
	}
	return r.cut(f, links)
}

func (r *run) cutNodesFromUsers(f *Fault) func() {
	var links []*faults.Proxy
	for _, n := range r.targetNodes(f.Target) {
		links = append(links, n.Users)
	}
	return r.cut(f, links)
}

func (r *run) cutNodesFromWorkers(f *Fault) func() {
	var links []*faults.Proxy
	for _, n := range r.targetNodes(f.Target) {
		links = append(links, n.Workers)
	}
	return r.cut(f, links)
}

// cutZone cuts the nodes of a zone off from those of the others, the state service, the cloud
// and users.
func (r *run) cutZone(f *Fault) func() {
	var links []*faults.Proxy
	for _, n := range r.cluster.Nodes {
		if n.Zone != f.Target {
			continue
		}
		for _, peer := range r.cluster.Nodes {
			if peer.Zone != f.Target {
				links = append(links, n.Links[peer.Name], peer.Links[n.Name])
			}
		}
		links = append(links, n.Links[cluster.LinkState], n.Links[cluster.LinkCloud], n.Users)
	}
	return r.cut(f, links)
}

// cut disturbs links in the mode and the direction that a fault gives, and returns the function
// that restores them.
func (r *run) cut(f *Fault, links []*faults.Proxy) func() {
	mode := f.proxyMode()
	for _, l := range links {
		r.harnessFailed(l.Set(mode, faults.Direction(f.Way)))
	}
	return func() {
		for _, l := range links {
			r.harnessFailed(l.Set(faults.Pass, faults.Both))
		}
	}
}

// proxyMode is the mode of a fault that cuts links; one that gives none drops data.
func (f *Fault) proxyMode() faults.Mode {
	if f.Mode == "" {
		return faults.Drop
	}
	return faults.Mode(f.Mode)
}

// targetNodes resolves a target: the leader (also if there is no target), the node after it, all
// nodes, or those of a zone. Without a leader the first node counts as it.
func (r *run) targetNodes(target string) []*cluster.Node {
	nodes := r.cluster.Nodes
	leader := r.leader()
	i := max(slices.IndexFunc(nodes, func(n *cluster.Node) bool { return n.Name == leader }), 0)
	switch target {
	case "", targetLeader:
		return nodes[i : i+1]
	case targetOther:
		next := (i + 1) % len(nodes)
		return nodes[next : next+1]
	case targetAll:
		return nodes
	}
	var inZone []*cluster.Node
	for _, n := range nodes {
		if n.Zone == target {
			inZone = append(inZone, n)
		}
	}
	return inZone
}
