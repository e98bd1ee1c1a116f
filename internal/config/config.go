// Package config reads the platform's file and the operators' settings.
package config

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/schema"
)

// Micros is a time or a duration in whole microseconds.
type Micros = int64

// Second is a second in Micros.
const Second Micros = 1_000_000

// Platform is the file that the platform hands over. Fields it does not name
// are ignored.
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

// Team has what it is guaranteed and what it may use at most; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the intervals that the workers keep to.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// clockDriftMargin is by how much a worker's clock may be slow against ours, both drifting.
const clockDriftMargin = 0.001

// LeaseEndsInTime tells whether a worker's lease that is renewed no more is sure to end within
// the time that a cancellation has. If not, silence is no way for a task to end in time.
func (w *Workers) LeaseEndsInTime() bool { return w.LeaseS*(1+clockDriftMargin) < w.CancelS }

// State holds the limits of the state service, and those that it will have from
// some moment on that nobody announces; a limit of 0 stays as it is.
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

// ValueBytes is how large a value may be, now and later.
func (s *State) ValueBytes() int { return int(lowerLimit(s.ValueKB, s.Next.ValueKB) * 1024) }

// Ops is how many changes a transaction may have, now and later.
func (s *State) Ops() int { return lowerLimit(s.TxnOps, s.Next.TxnOps) }

// LeastWriteRPS is the lower of the rates of changes, now and later.
func (s *State) LeastWriteRPS() float64 { return lowerLimit(s.WriteRPS, s.Next.WriteRPS) }

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what the node itself may take of its machine.
type Limits struct {
	Cores          float64 `toml:"cores"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Settings are the operators' own; see settings.schema.json.
type Settings struct {
	AgeWeight          float64 `json:"age_weight"`
	ShareWeight        float64 `json:"share_weight"`
	AgeCapS            float64 `json:"age_cap_s"`
	UsageWindowS       float64 `json:"usage_window_s"`
	ScanPeriodS        float64 `json:"scan_period_s"`
	CycleIntervalMS    float64 `json:"pass_interval_ms"`
	LeaderLeaseMS      float64 `json:"leader_lease_ms"`
	DelegationS        float64 `json:"stand_in_s"`
	IdleScaleInS       float64 `json:"idle_return_s"`
	SilentScaleInS     float64 `json:"silent_release_s"`
	MemoryShare        float64 `json:"memory_share"`
	BootTimeoutFactor  float64 `json:"boot_give_up_times"`
	ScaleOutSurplus    float64 `json:"rent_surplus"`
	DefragMovesPerS    float64 `json:"gather_per_s"`
	StartWithinS       float64 `json:"begin_within_s"`
	StartDeadlineFirst bool    `json:"in_time_first"`
	ReserveFreedS      float64 `json:"drain_s"`
	ShareFetches       bool    `json:"share_fetches"`
	HoldFormat         bool    `json:"hold_format"`
	PlacementPages     bool    `json:"shared_parts"`

	Estimates           bool    `json:"estimates"`
	EstimateGroups      int     `json:"estimate_groups"`
	Admin               bool    `json:"admin"`
	Metrics             bool    `json:"metrics"`
	Rank                string  `json:"rank"`
	VictimsByRemaining  bool    `json:"victims_by_remaining"`
	GangsAvoidSlow      bool    `json:"gangs_avoid_slow"`
	SlowFactor          float64 `json:"slow_times"`
	ScaleOutAgainstBoot bool    `json:"rent_against_boot"`
}

// How jobs of one level are ranked.
const (
	RankCredit   = "credit"
	RankSlack    = "slack"
	RankShortest = "shortest"
)

// Config is everything that a node is told at its start.
type Config struct {
	Platform
	Settings Settings
}

// Defaults are the settings used where the operators give none. A silent
// release time of 0 stands for one by the lease and reports, an idle one of 0 for
// one that goes by the machine's boot time.
func Defaults() Settings {
	return Settings{
		AgeWeight: 1, ShareWeight: 1, AgeCapS: 300, UsageWindowS: 60, ScanPeriodS: 10,
		CycleIntervalMS: 100, LeaderLeaseMS: 3000, DelegationS: 60, IdleScaleInS: 0, SilentScaleInS: 0,
		MemoryShare: 0.6, BootTimeoutFactor: 3, ScaleOutSurplus: 0.5, DefragMovesPerS: 2, StartWithinS: 240, StartDeadlineFirst: true, ReserveFreedS: 60, PlacementPages: true,
		Estimates: true, EstimateGroups: 512, Rank: RankCredit, SlowFactor: 1.3,
	}
}

//go:embed settings.schema.json
var settingsSchema []byte

// Load reads the platform's file and, unless settings is empty, the operators'
// settings. Its errors are one line that names the field.
func Load(platform, settings string) (*Config, error) {
	raw, err := os.ReadFile(platform)
	if err != nil {
		return nil, fmt.Errorf("platform file: %w", err)
	}
	c := &Config{Settings: Defaults()}
	if err := toml.Unmarshal(raw, &c.Platform); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("platform file %s: line %d column %d: field %s: %s",
				platform, row, col, strings.Join(de.Key(), "."), schema.OneLine(de.Error()))
		}
		return nil, fmt.Errorf("platform file %s: %s", platform, schema.OneLine(err.Error()))
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("platform file %s: %w", platform, err)
	}
	if settings == "" {
		return c, nil
	}
	if raw, err = os.ReadFile(settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := readSettings(raw, &c.Settings); err != nil {
		return nil, fmt.Errorf("settings %s: %w", settings, err)
	}
	return c, nil
}

func readSettings(raw []byte, s *Settings) error {
	if err := schema.Check(settingsSchema, raw); err != nil {
		return err
	}
	return json.Unmarshal(raw, s)
}

// check refuses a file that the service can't run with.
func (c *Config) check() error {
	if c.Node == "" {
		return errors.New("field node: missing")
	}
	addrs := []struct{ field, addr string }{
		{"client_listen", c.ClientListen}, {"peer_listen", c.PeerListen},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	}
	names := map[string]bool{c.Node: true}
	for i, p := range c.Peers {
		if p.Node == "" || names[p.Node] {
			return fmt.Errorf("field peers[%d].node: missing or used twice", i)
		}
		names[p.Node] = true
		addrs = append(addrs, struct{ field, addr string }{fmt.Sprintf("peers[%d].address", i), p.Address})
	}
	for _, a := range addrs {
		if a.addr == "" {
			return fmt.Errorf("field %s: missing", a.field)
		}
		if _, port, err := net.SplitHostPort(a.addr); err != nil || port == "" {
			return fmt.Errorf("field %s: %q is not HOST:PORT", a.field, a.addr)
		}
	}
	if len(c.Cluster.Zones) == 0 {
		return errors.New("field cluster.zones: missing")
	}
	teams := map[string]bool{}
	for i, t := range c.Cluster.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("field cluster.teams[%d].name: missing or used twice", i)
		}
		teams[t.Name] = true
		for _, a := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if math.IsNaN(a) || a < 0 {
				return fmt.Errorf("field cluster.teams[%d]: %v is not an amount", i, a)
			}
		}
	}
	cl := &c.Cluster
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"cluster.workers.report_s", cl.Workers.ReportS}, {"cluster.workers.lease_s", cl.Workers.LeaseS},
		{"cluster.workers.gang_wait_s", cl.Workers.GangWaitS}, {"cluster.workers.gang_peer_s", cl.Workers.GangPeerS},
		{"cluster.workers.cancel_s", cl.Workers.CancelS}, {"cluster.state.rps", cl.State.RPS},
		{"cluster.state.write_rps", cl.State.WriteRPS}, {"cluster.state.value_kb", cl.State.ValueKB},
		{"cluster.state.txn_ops", float64(cl.State.TxnOps)}, {"cluster.cloud.rps", cl.Cloud.RPS},
	} {
		if !(f.v > 0) || f.v > 1e9 {
			return fmt.Errorf("field %s: %v is missing or not above 0", f.name, f.v)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"cluster.state.next.rps", cl.State.Next.RPS}, {"cluster.state.next.write_rps", cl.State.Next.WriteRPS},
		{"cluster.state.next.value_kb", cl.State.Next.ValueKB}, {"cluster.state.next.txn_ops", float64(cl.State.Next.TxnOps)},
		{"cluster.skew_ms", cl.SkewMS}, {"cluster.cloud.list_lag_s", cl.Cloud.ListLagS},
		{"cluster.machine_limits.cores", cl.Limits.Cores}, {"cluster.machine_limits.memory_mb", cl.Limits.MemoryMB},
		{"cluster.machine_limits.max_connections", float64(cl.Limits.MaxConnections)},
	} {
		if !(f.v >= 0) || f.v > 1e9 {
			return fmt.Errorf("field %s: %v is out of range", f.name, f.v)
		}
	}
	return nil
}

// FromSeconds converts an amount of seconds.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * 1e6)) }

// FromMillis converts an amount of milliseconds.
func FromMillis(ms float64) Micros { return Micros(math.Round(ms * 1e3)) }

// SilenceLimit is how long a worker may say nothing before its machine is deleted:
// a few reports, and no less than half its lease.
func (c *Config) SilenceLimit() Micros {
	if s := c.Settings.SilentScaleInS; s > 0 {
		return FromSeconds(s)
	}
	w := &c.Cluster.Workers
	return max(FromSeconds(w.LeaseS)/2, FromSeconds(2.5*w.ReportS)+2*Second)
}

// TeamsByName are the teams by their names.
func (c *Cluster) TeamsByName() map[string]*Team {
	out := make(map[string]*Team, len(c.Teams))
	for i := range c.Teams {
		out[c.Teams[i].Name] = &c.Teams[i]
	}
	return out
}
