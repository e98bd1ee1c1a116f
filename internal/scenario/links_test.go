package scenario

import (
	"coralhub/internal/emulator"
)

// Links that are cut: between nodes, and between nodes and machines.

// cutZone partitions a zone: its nodes reach neither the state service nor the cloud, and its nodes
// and machines reach no nodes and machines in other zones.
func (s *Sim) cutZone(name, mode string) {
	s.isolatedZone = name
	for _, n := range s.nodes {
		if location(n.name) == name {
			n.cutLinks["state"], n.cutLinks["cloud"] = mode, mode
		}
	}
}

// healLinks heals all links of nodes, zones and machines.
func (s *Sim) healLinks() {
	for _, n := range s.nodes {
		n.cutLinks = map[string]string{}
	}
	clear(s.reachableOnlyBy)
	s.isolatedZone = ""
}

// peerCutMode returns the mode of the cut between two nodes, "" if their link works.
func (s *Sim) peerCutMode(n, to *node) (mode string) {
	switch {
	case n.cutLinks["peers"] != "":
		return n.cutLinks["peers"]
	case to.cutLinks["peers"] != "":
		return to.cutLinks["peers"]
	case s.isolatedZone != "" && (location(n.name) == s.isolatedZone) != (location(to.name) == s.isolatedZone):
		return "drop"
	}
	return ""
}

// reaches reports whether the link between a node and a machine works.
func (s *Sim) reaches(n *node, m *emulator.Machine) bool {
	if s.isolatedZone != "" && (location(n.name) == s.isolatedZone) != (m.Zone == s.isolatedZone) {
		return false
	}
	only := s.reachableOnlyBy[m.Name]
	return only == nil || only == n
}
