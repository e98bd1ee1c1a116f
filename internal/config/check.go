package config

import (
	"fmt"
	"math"
	"net"
)

// maxNumber is the upper limit of the numbers that checkNumbers checks.
const maxNumber = 1e9

// FieldError is the error for a field of the platform file that is missing or has an invalid value.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Reason) }

// namedNumber is a number with the name of its field.
type namedNumber struct {
	field string
	value float64
}

// check returns a *FieldError for the first field that is missing or invalid, or nil if there is none.
func (p *Platform) check() error {
	if p.Node == "" {
		return &FieldError{"node", "missing"}
	}
	if err := p.checkPeers(); err != nil {
		return err
	}
	if err := p.checkAddresses(); err != nil {
		return err
	}
	if len(p.Cluster.Zones) == 0 {
		return &FieldError{"cluster.zones", "missing"}
	}
	if err := checkTeams(p.Cluster.Teams); err != nil {
		return err
	}
	return p.Cluster.checkNumbers()
}

func (p *Platform) checkPeers() error {
	names := map[string]bool{p.Node: true}
	for i, peer := range p.Peers {
		if peer.Node == "" || names[peer.Node] {
			return &FieldError{fmt.Sprintf("peers[%d].node", i), "missing or not unique"}
		}
		names[peer.Node] = true
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"client_listen", p.ClientListen},
		{"peer_listen", p.PeerListen},
		{"external.cloud", p.External.Cloud},
		{"external.state", p.External.State},
	}
	for i, peer := range p.Peers {
		addresses = append(addresses, address{fmt.Sprintf("peers[%d].address", i), peer.Address})
	}
	for _, a := range addresses {
		if a.value == "" {
			return &FieldError{a.field, "missing"}
		}
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return &FieldError{a.field, fmt.Sprintf("expected HOST:PORT, found %q", a.value)}
		}
	}
	return nil
}

func checkTeams(teams []Team) error {
	names := map[string]bool{}
	for i, t := range teams {
		if t.Name == "" || names[t.Name] {
			return &FieldError{fmt.Sprintf("cluster.teams[%d].name", i), "missing or not unique"}
		}
		names[t.Name] = true
		for _, amount := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if math.IsNaN(amount) || amount < 0 {
				return &FieldError{fmt.Sprintf("cluster.teams[%d]", i),
					fmt.Sprintf("expected amounts of 0 or more, found %v", amount)}
			}
		}
	}
	return nil
}

func (c *Cluster) checkNumbers() error {
	positive := []namedNumber{
		{"cluster.workers.report_s", c.Workers.ReportS},
		{"cluster.workers.lease_s", c.Workers.LeaseS},
		{"cluster.workers.gang_wait_s", c.Workers.GangWaitS},
		{"cluster.workers.gang_peer_s", c.Workers.GangPeerS},
		{"cluster.workers.cancel_s", c.Workers.CancelS},
		{"cluster.state.rps", c.State.RPS},
		{"cluster.state.write_rps", c.State.WriteRPS},
		{"cluster.state.value_kb", c.State.ValueKB},
		{"cluster.state.txn_ops", float64(c.State.TxnOps)},
		{"cluster.cloud.rps", c.Cloud.RPS},
	}
	for _, n := range positive {
		if math.IsNaN(n.value) || n.value <= 0 || n.value > maxNumber {
			return &FieldError{n.field, fmt.Sprintf("missing, or %v is not above 0 and at most %g", n.value, maxNumber)}
		}
	}
	optional := []namedNumber{
		{"cluster.state.next.rps", c.State.Next.RPS},
		{"cluster.state.next.write_rps", c.State.Next.WriteRPS},
		{"cluster.state.next.value_kb", c.State.Next.ValueKB},
		{"cluster.state.next.txn_ops", float64(c.State.Next.TxnOps)},
		{"cluster.skew_ms", c.SkewMS},
		{"cluster.cloud.list_lag_s", c.Cloud.ListLagS},
		{"cluster.machine_limits.cores", c.Limits.Cores},
		{"cluster.machine_limits.memory_mb", c.Limits.MemoryMB},
		{"cluster.machine_limits.max_connections", float64(c.Limits.MaxConnections)},
	}
	for _, n := range optional {
		if math.IsNaN(n.value) || n.value < 0 || n.value > maxNumber {
			return &FieldError{n.field, fmt.Sprintf("expected a number from 0 to %g, found %v", maxNumber, n.value)}
		}
	}
	return nil
}
