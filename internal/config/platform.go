package config

// Platform is the platform's file. Fields that it does not name are ignored.
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

// External holds the addresses of the systems that the service depends on.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster is the part of the file that is the same for every node.
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

// Team has a quota: what it is guaranteed, and what it may use at most (Max); 0 means none. Amounts are whole or parts
// of cores and GPUs.
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
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// clockDriftMargin is by how much a worker's clock may be slow against this node's, both drifting by 0.05%.
const clockDriftMargin = 0.001

// LeaseExpiresBeforeCancel reports whether a worker's lease that is not renewed any more is certain to expire within
// the time of a cancellation. If not, a cancellation can't rely on it.
func (w *Workers) LeaseExpiresBeforeCancel() bool { return w.LeaseS*(1+clockDriftMargin) < w.CancelS }

// State holds the quotas and limits of the state service, a second and in KiB, and those that it will have from some
// unannounced moment on (Next); 0 means that a limit stays as it is.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	Next     struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
	} `toml:"next"`
}

func lowerLimit[N int | float64](now, next N) N {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// MaxValueBytes returns the maximum size of a value, the lower of the limits now and later.
func (s *State) MaxValueBytes() int { return int(lowerLimit(s.ValueKB, s.Next.ValueKB) * 1024) }

// MaxTxnOps returns the maximum number of changes in a transaction, the lower of the limits now and later.
func (s *State) MaxTxnOps() int { return lowerLimit(s.TxnOps, s.Next.TxnOps) }

// MinWriteRPS returns the quota of changes per second, the lower of the quotas now and later.
func (s *State) MinWriteRPS() float64 { return lowerLimit(s.WriteRPS, s.Next.WriteRPS) }

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what the node itself may use of its machine.
type Limits struct {
	Cores          float64 `toml:"cores"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// TeamsByName returns the teams by their names.
func (c *Cluster) TeamsByName() map[string]*Team {
	out := make(map[string]*Team, len(c.Teams))
	for i := range c.Teams {
		out[c.Teams[i].Name] = &c.Teams[i]
	}
	return out
}
