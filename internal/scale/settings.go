// Package scale measures the control plane with more workers than there are machines. A run consists of
// real controller processes, hollow workers, and emulators of the state service and the cloud, connected
// by loopback sockets without proxies.
package scale

import (
	_ "embed"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/config"
	"coralhub/internal/schema"
	"coralhub/wire"
)

// Settings are the settings of a run. All counts except Regions are per region.
type Settings struct {
	Regions     int     `toml:"regions" json:"regions"` // independent regions with the same settings
	Workers     int     `toml:"workers" json:"workers"`
	Zones       int     `toml:"zones" json:"zones"`
	Controllers int     `toml:"controllers" json:"controllers"`
	Teams       int     `toml:"teams" json:"teams"`
	StartsPerS  float64 `toml:"starts_per_s" json:"starts_per_s"` // task starts
	// The measurement starts RampS after the start of the load and lasts for DurationS. After it no jobs
	// are submitted, and the run waits up to SettleS until all accepted jobs have ended.
	RampS     float64 `toml:"ramp_s" json:"ramp_s"`
	DurationS float64 `toml:"duration_s" json:"duration_s"`
	SettleS   float64 `toml:"settle_s" json:"settle_s"`
	Seed      uint64  `toml:"seed" json:"seed"`

	Machine  Machine  `toml:"machine" json:"machine"`
	Protocol Protocol `toml:"protocol" json:"protocol"`
	State    State    `toml:"state" json:"state"`
	Cloud    Cloud    `toml:"cloud" json:"cloud"`
	Limits   Limits   `toml:"limits" json:"limits"`
	Failures Failures `toml:"failures" json:"failures"`
	Classes  []Class  `toml:"class" json:"class"`
}

// Machine is the size of each worker's machine.
type Machine struct {
	CPUs     float64 `toml:"cpus" json:"cpus"`
	GPUs     float64 `toml:"gpus" json:"gpus"`
	MemoryGB float64 `toml:"memory_gb" json:"memory_gb"`
}

// Protocol holds the times of the worker protocol, in seconds.
type Protocol struct {
	ReportS   float64 `toml:"report_s" json:"report_s"`
	LeaseS    float64 `toml:"lease_s" json:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s" json:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s" json:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s" json:"cancel_s"`
}

// State holds the limits of a region's state service.
type State struct {
	RPS      float64 `toml:"rps" json:"rps"`
	WriteRPS float64 `toml:"write_rps" json:"write_rps"`
	ValueKB  float64 `toml:"value_kb" json:"value_kb"`
	TxnOps   int     `toml:"txn_ops" json:"txn_ops"`
	DelayMS  float64 `toml:"delay_ms" json:"delay_ms"` // added to each response
}

// Cloud holds the limits and times of a region's cloud.
type Cloud struct {
	RPS      float64 `toml:"rps" json:"rps"`
	ListLagS float64 `toml:"list_lag_s" json:"list_lag_s"`
	BootS    float64 `toml:"boot_s" json:"boot_s"`
}

// Limits holds the limits of a controller process.
type Limits struct {
	MemoryMB       float64 `toml:"memory_mb" json:"memory_mb"`
	MaxConnections int     `toml:"max_connections" json:"max_connections"`
}

// Failures holds the numbers of machines of a region that fail and restart per day. Both are multiplied by
// Multiplier.
type Failures struct {
	FailedPerDay     float64 `toml:"failed_per_day" json:"failed_per_day"`
	RestartedPerDay  float64 `toml:"restarted_per_day" json:"restarted_per_day"`
	Multiplier       float64 `toml:"times" json:"times"`
	RestartDurationS float64 `toml:"away_s" json:"away_s"` // duration of a restart
}

// Class is a class of jobs.
type Class struct {
	Name      string    `toml:"name" json:"name"`
	Shape     string    `toml:"shape" json:"shape"`       // array or gang
	Priority  string    `toml:"priority" json:"priority"` // production, high, normal or low
	Share     float64   `toml:"share" json:"share"`       // of all task starts, relative to the other classes
	Tasks     []int     `toml:"tasks" json:"tasks"`       // numbers of tasks of a job, each with the same probability
	GPUs      float64   `toml:"gpus" json:"gpus"`         // per task
	RunS      []float64 `toml:"run_s" json:"run_s"`       // minimum and maximum run time of a task
	Urgent    bool      `toml:"urgent" json:"urgent"`
	Cancelled float64   `toml:"cancelled" json:"cancelled"` // fraction of the jobs that are cancelled
}

// Defaults returns the settings of one of the five regions of the target. Together, these have 23,000
// workers, 4,200 task starts per second, 1,100 teams and 45 controllers. The limits of the state service
// and of a controller are the largest that are in use.
func Defaults() Settings {
	return Settings{
		Regions: 1, Workers: 4600, Zones: 3, Controllers: 9, Teams: 220, StartsPerS: 840,
		RampS: 30, DurationS: 60, SettleS: 40, Seed: 1,
		Machine:  Machine{CPUs: 64, GPUs: 8, MemoryGB: 512},
		Protocol: Protocol{ReportS: 5, LeaseS: 26.5, GangWaitS: 45, GangPeerS: 5, CancelS: 46.5},
		State:    State{RPS: 400, WriteRPS: 150, ValueKB: 8, TxnOps: 12, DelayMS: 3},
		Cloud:    Cloud{RPS: 8, ListLagS: 8, BootS: 5},
		Limits:   Limits{MemoryMB: 356, MaxConnections: 3744},
		Failures: Failures{FailedPerDay: 62, RestartedPerDay: 1340, Multiplier: 10, RestartDurationS: 3},
		Classes: []Class{
			{Name: "urgent", Shape: "array", Priority: "production", Share: 0.02, Tasks: []int{1}, GPUs: 1,
				RunS: []float64{5, 20}, Urgent: true},
			{Name: "array", Shape: "array", Priority: "normal", Share: 0.88, Tasks: []int{16, 32, 64, 128}, GPUs: 1,
				RunS: []float64{10, 40}, Cancelled: 0.02},
			{Name: "gang", Shape: "gang", Priority: "high", Share: 0.1, Tasks: []int{8, 32, 128, 512}, GPUs: 1,
				RunS: []float64{10, 40}},
		},
	}
}

//go:embed settings.schema.json
var schemaText []byte

// Load returns the defaults overridden by the settings of a file, or the defaults if file is empty. The
// text of its errors is one line that names the file and, if the content is invalid, what is wrong in it.
func Load(file string) (Settings, error) {
	s := Defaults()
	if file == "" {
		return s, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if s, err = Parse(raw); err != nil {
		return s, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// Parse returns the defaults overridden by the settings in raw (TOML). Classes replace all default classes.
func Parse(raw []byte) (Settings, error) {
	s := Defaults()
	var doc any
	if err := toml.Unmarshal(raw, &doc); err != nil {
		return s, schema.NewTOMLError(err)
	}
	if err := schema.CheckValue(schemaText, doc); err != nil {
		return s, err
	}
	classes := s.Classes
	s.Classes = nil
	if err := toml.Unmarshal(raw, &s); err != nil {
		return s, schema.NewTOMLError(err)
	}
	if len(s.Classes) == 0 {
		s.Classes = classes
	}
	return s, s.Check()
}

// Check returns an error if the settings are out of range or contradict each other, which is possible even
// if they match the schema.
func (s *Settings) Check() error {
	switch {
	case s.Regions < 1 || s.Workers < 1 || s.Zones < 1 || s.Controllers < 1 || s.Teams < 1:
		return errors.New("regions, workers, zones, controllers and teams must be 1 or more")
	case s.StartsPerS < 0 || s.DurationS <= 0:
		return errors.New("starts_per_s must not be below 0, and duration_s must be above 0")
	case s.Controllers < s.Zones:
		return fmt.Errorf("%d controllers for %d zones: each zone needs one", s.Controllers, s.Zones)
	}
	total := 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		total += c.Share
		if c.GPUs > s.Machine.GPUs {
			return fmt.Errorf("class %s: a task takes %g GPUs and a machine has %g", c.Name, c.GPUs, s.Machine.GPUs)
		}
		for _, n := range c.Tasks {
			if c.Shape == "gang" && float64(n)*c.GPUs > s.teamLimit() {
				return fmt.Errorf("class %s: a gang of %d tasks needs %g GPUs and a team may use %g", c.Name, n, float64(n)*c.GPUs,
					s.teamLimit())
			}
		}
	}
	if total <= 0 && s.StartsPerS > 0 {
		return errors.New("no class has a share of the starts")
	}
	return nil
}

const (
	teamLimitFactor  = 4
	minTeamLimitGPUs = 640
)

// teamGuarantee returns the guaranteed GPUs of each team, which is an equal part of all GPUs of a region.
func (s *Settings) teamGuarantee() float64 {
	return float64(s.Workers) * s.Machine.GPUs / float64(s.Teams)
}

// teamLimit returns the maximum number of GPUs of each team: four times its guarantee, but at least
// minTeamLimitGPUs, which is enough for a gang of 512 tasks of one GPU, and at most all GPUs of the region.
func (s *Settings) teamLimit() float64 {
	all := float64(s.Workers) * s.Machine.GPUs
	return min(all, max(teamLimitFactor*s.teamGuarantee(), minTeamLimitGPUs))
}

// zoneNames returns the names of a region's zones.
func (s *Settings) zoneNames() []string {
	names := make([]string, s.Zones)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%d", i)
	}
	return names
}

// cluster returns the cluster section of the configuration of a region's controllers.
func (s *Settings) cluster() config.Cluster {
	c := config.Cluster{Size: s.Controllers, Zones: s.zoneNames(), SkewMS: 25,
		Workers: config.Workers{ReportS: s.Protocol.ReportS, LeaseS: s.Protocol.LeaseS, GangWaitS: s.Protocol.GangWaitS,
			GangPeerS: s.Protocol.GangPeerS, CancelS: s.Protocol.CancelS},
		State:  config.State{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueKB: s.State.ValueKB, TxnOps: s.State.TxnOps},
		Cloud:  config.Cloud{RPS: s.Cloud.RPS, ListLagS: s.Cloud.ListLagS},
		Limits: config.Limits{Cores: 1, MemoryMB: s.Limits.MemoryMB, MaxConnections: s.Limits.MaxConnections},
	}
	for i := range s.Teams {
		c.Teams = append(c.Teams, config.Team{Name: teamName(i), GPUs: s.teamGuarantee(), GPUsMax: s.teamLimit()})
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// machineType returns the only machine type that the cloud offers.
func (s *Settings) machineType() wire.MachineType {
	return wire.MachineType{Name: "m", CPUs: s.Machine.CPUs, GPUs: s.Machine.GPUs, MemoryGB: s.Machine.MemoryGB,
		CacheGB: 1000, FetchGBPerS: 1, Price: 4, SpotPrice: 2, BootS: s.Cloud.BootS, Zones: s.zoneNames()}
}

// meanTasks returns the mean number of tasks per job.
func (c *Class) meanTasks() float64 {
	sum := 0
	for _, n := range c.Tasks {
		sum += n
	}
	return float64(sum) / float64(len(c.Tasks))
}
