package config

// Platform is the content of the platform file. Fields of the file that it does not have are ignored.
type Platform struct {
	Node         string   `toml:"node"`
	Location     string   `toml:"location"`
	ClientListen string   `toml:"client_listen"`
	PeerListen   string   `toml:"peer_listen"`
	Peers        []Peer   `toml:"peers"`
	External     External `toml:"external"`
	Cluster      Cluster  `toml:"cluster"`
}

// Peer is another controller node.
type Peer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`
	Address  string `toml:"address"`
}

// External holds the addresses of the services that a node depends on, as HOST:PORT.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster is the part of the platform file that is the same on every node.
type Cluster struct {
	Size       int         `toml:"initial_size"`
	Zones      []string    `toml:"zones"`
	SkewMS     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"machine_limits"`
}

// Team is a team with its quota: the guarantee (CPUs, GPUs) and the limit (CPUsMax, GPUsMax). 0 means that there is no
// guarantee or no limit. Amounts are numbers of cores and GPUs, which may be fractional.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the intervals of the protocol with workers, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"` // time between heartbeats
	LeaseS    float64 `toml:"lease_s"`  // time without a renewal after which a worker ends its tasks
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"` // time within which a cancellation must take effect
}

// clockDriftMargin is the fraction by which a worker's clock may run slower than this node's: each may drift by 0.05%.
const clockDriftMargin = 0.001

// LeaseExpiresBeforeCancel reports whether a worker's lease that is no longer renewed is certain to expire within the
// time allowed for a cancellation. If not, a cancellation can't rely on the expiry of leases.
func (w *Workers) LeaseExpiresBeforeCancel() bool { return w.LeaseS*(1+clockDriftMargin) < w.CancelS }

// State holds the quotas and limits of the state service, the key-value store in which the records are stored. Next
// holds those that will apply from a time that is not announced; a 0 in Next means that the limit will not change.
type State struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // changes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value in KiB
	TxnOps   int     `toml:"txn_ops"`   // changes in a transaction
	Next     struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
	} `toml:"next"`
}

// lowerLimit returns the lower of a limit and the next one, which is ignored if it is 0.
func lowerLimit[N int | float64](now, next N) N {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// MaxValueBytes returns the maximum size of a value: the lower of the current and the next limit.
func (s *State) MaxValueBytes() int { return int(lowerLimit(s.ValueKB, s.Next.ValueKB) * 1024) }

// MaxTxnOps returns the maximum number of changes in a transaction: the lower of the current and the next limit.
func (s *State) MaxTxnOps() int { return lowerLimit(s.TxnOps, s.Next.TxnOps) }

// MinWriteRPS returns the quota of changes per second: the lower of the current and the next quota.
func (s *State) MinWriteRPS() float64 { return lowerLimit(s.WriteRPS, s.Next.WriteRPS) }

// Cloud holds the limits of the cloud's API.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // how old the cloud's lists of machines may be, in seconds
}

// Limits holds the resources of its machine that a node may use; 0 means that there is no limit.
type Limits struct {
	Cores          float64 `toml:"cores"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// TeamsByName returns the teams by name. The values point into c.Teams.
func (c *Cluster) TeamsByName() map[string]*Team {
	out := make(map[string]*Team, len(c.Teams))
	for i := range c.Teams {
		out[c.Teams[i].Name] = &c.Teams[i]
	}
	return out
}
