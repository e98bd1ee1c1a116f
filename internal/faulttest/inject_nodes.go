package faulttest

import (
	"slices"
	"syscall"

	"coralhub/internal/cluster"
	"coralhub/internal/faults"
)

// Values of Fault.Target in scenario files, besides the names of zones.
const (
	targetLeader = "leader"
	targetOther  = "other"
	targetAll    = "all"
)

// nodeFaults applies the faults of nodes and of their network links.
type nodeFaults struct {
	cluster *cluster.Cluster
	harness *harness
}

func (nf *nodeFaults) killNodes(f *Fault) undoFault {
	nf.signalNodes(nf.targetNodes(f.Target), syscall.SIGKILL)
	return nil
}

func (nf *nodeFaults) stopNodes(f *Fault) undoFault {
	nodes := nf.targetNodes(f.Target)
	nf.signalNodes(nodes, syscall.SIGSTOP)
	return func() { nf.signalNodes(nodes, syscall.SIGCONT) }
}

func (nf *nodeFaults) signalNodes(nodes []*cluster.Node, sig syscall.Signal) {
	for _, node := range nodes {
		nf.harness.recordError(node.Signal(sig))
	}
}

func (nf *nodeFaults) cutNodesFromState(f *Fault) undoFault {
	var links []*faults.Proxy
	for _, node := range nf.targetNodes(f.Target) {
		links = append(links, node.Links[cluster.LinkState])
	}
	return nf.cut(f, links)
}

func (nf *nodeFaults) cutNodesFromPeers(f *Fault) undoFault {
	var links []*faults.Proxy
	for _, node := range nf.targetNodes(f.Target) {
		for _, peer := range nf.cluster.Nodes {
			if peer != node {
				links = append(links, node.Links[peer.Name], peer.Links[node.Name])
			}
		}
	}
	return nf.cut(f, links)
}

func (nf *nodeFaults) cutNodesFromUsers(f *Fault) undoFault {
	var links []*faults.Proxy
	for _, node := range nf.targetNodes(f.Target) {
		links = append(links, node.Users)
	}
	return nf.cut(f, links)
}

func (nf *nodeFaults) cutNodesFromWorkers(f *Fault) undoFault {
	var links []*faults.Proxy
	for _, node := range nf.targetNodes(f.Target) {
		links = append(links, node.Workers)
	}
	return nf.cut(f, links)
}

// cutZone cuts the nodes of a zone off from the nodes of other zones, the state service, the cloud and the
// users.
func (nf *nodeFaults) cutZone(f *Fault) undoFault {
	var links []*faults.Proxy
	for _, node := range nf.cluster.Nodes {
		if node.Zone != f.Target {
			continue
		}
		for _, peer := range nf.cluster.Nodes {
			if peer.Zone != f.Target {
				links = append(links, node.Links[peer.Name], peer.Links[node.Name])
			}
		}
		links = append(links, node.Links[cluster.LinkState], node.Links[cluster.LinkCloud], node.Users)
	}
	return nf.cut(f, links)
}

// cut sets links to the mode and the direction of a fault, and returns the function that restores them.
func (nf *nodeFaults) cut(f *Fault, links []*faults.Proxy) undoFault {
	mode := f.proxyMode()
	for _, l := range links {
		nf.harness.recordError(l.Set(mode, faults.Direction(f.Direction)))
	}
	return func() {
		for _, l := range links {
			nf.harness.recordError(l.Set(faults.Pass, faults.Both))
		}
	}
}

// proxyMode returns the mode of a fault that cuts links. The default is faults.Drop.
func (f *Fault) proxyMode() faults.Mode {
	if f.Mode == "" {
		return faults.Drop
	}
	return faults.Mode(f.Mode)
}

// targetNodes returns the nodes of a target: the leader (also if the target is empty), the node after it,
// all nodes, or those of a zone. If there is no leader, the first node is used instead.
func (nf *nodeFaults) targetNodes(target string) []*cluster.Node {
	nodes := nf.cluster.Nodes
	leader := leaderOf(nf.cluster.Servers)
	i := max(slices.IndexFunc(nodes, func(node *cluster.Node) bool { return node.Name == leader }), 0)
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
	for _, node := range nodes {
		if node.Zone == target {
			inZone = append(inZone, node)
		}
	}
	return inZone
}
