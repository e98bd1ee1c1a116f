// Package faulttest is a fault-testing kit: it plays scripted scenarios, with load and injected
// faults, on a cluster of real processes, and evaluates whether they passed.
package faulttest

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"coralhub/internal/schema"
)

// Scenario is a script: a deployment, load over time, faults at set times, and expectations.
// Times are in seconds.
type Scenario struct {
	Name      string   `toml:"name"`
	About     string   `toml:"about"`
	DurationS float64  `toml:"duration_s"`
	SettleS   float64  `toml:"settle_s"` // how long jobs may take to end after the duration
	Deploy    Deploy   `toml:"deploy"`
	Classes   []Class  `toml:"class"`
	Faults    []Fault  `toml:"fault"`
	Expect    []Expect `toml:"expect"`
}

// Deploy describes the deployment and the emulated services that it runs on.
type Deploy struct {
	Nodes          int      `toml:"nodes"`
	Zones          []string `toml:"zones"`
	Machines       int      `toml:"machines"`        // ordinary ones that the cloud can rent out, over all zones
	Spot           int      `toml:"spot"`            // spot instances that it can rent out
	GPUs           float64  `toml:"gpus"`            // of a machine
	BootS          float64  `toml:"boot_s"`          // how long a machine takes to boot
	ReportS        float64  `toml:"report_s"`        // heartbeat interval of the workers
	LeaseS         float64  `toml:"lease_s"`         // lease of the workers
	CancelS        float64  `toml:"cancel_s"`        // how long tasks may remain after a cancellation is answered
	WriteRPS       float64  `toml:"write_rps"`       // quota of the state service, in changes a second
	RPS            float64  `toml:"rps"`             // quota of the state service, in requests a second
	TeamGPUs       float64  `toml:"team_gpus"`       // the quota of each team; 0: unlimited
	Guaranteed     float64  `toml:"guaranteed_gpus"` // of each team
	RestartAfterS  float64  `toml:"restart_after_s"` // how long a node that has ended stays down
	ListLagS       float64  `toml:"list_lag_s"`      // how old the cloud's lists of machines are
	SpeedSpread    float64  `toml:"speed_spread"`    // machines are faster or slower by up to this share
	BootNeverShare float64  `toml:"boot_never"`      // share of the machines that never start
}

// Class describes jobs of one kind, and when they are submitted.
type Class struct {
	Name        string  `toml:"name"`
	Team        string  `toml:"team"`
	Shape       string  `toml:"shape"`
	Priority    string  `toml:"priority"`
	Tasks       [2]int  `toml:"tasks"` // the least and the most of a job
	GPUs        float64 `toml:"gpus"`
	ImageGB     float64 `toml:"image_gb"`
	Images      int     `toml:"images"`     // number of different images
	RunS        float64 `toml:"run_s"`      // median of a task
	RunSpread   float64 `toml:"run_spread"` // standard deviation of its logarithm
	CheckpointS float64 `toml:"checkpoint_s"`
	Spot        bool    `toml:"spot"`
	OneZone     bool    `toml:"one_zone"`
	Spread      bool    `toml:"spread"`
	Initial     int     `toml:"initial"`    // jobs that are submitted at the beginning
	RatePerS    float64 `toml:"rate_per_s"` // jobs submitted a second
	Cancelled   float64 `toml:"cancelled"`  // share of the jobs that their users cancel
	DueTimes    float64 `toml:"due_times"`  // the deadline is so many times the estimate, and ten seconds; 0: none
	Needs       string  `toml:"needs"`      // the name of a class: each job depends on the last job of it
	Bursts      []Burst `toml:"burst"`
}

// Burst multiplies the submission rate of a class by a factor for a while.
type Burst struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Factor float64 `toml:"factor"`
}

// Fault is a fault to inject, see injectors.
type Fault struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	EveryS float64 `toml:"every_s"` // repeats the fault for ForS; 0: it begins once and lasts for ForS
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"` // leader, other, all, or a zone; see targetNodes
	Mode   string  `toml:"mode"`   // of cuts: hold, drop (the default), reset or refuse
	Way    string  `toml:"way"`    // of cuts: forward or back; both if empty
	Count  int     `toml:"count"`  // of machines; 0: all of the target
	Factor float64 `toml:"factor"`
	Class  string  `toml:"class"`
}

// Expect is a condition for a scenario to pass: at least this share of the jobs that count meets
// it. That no invariant is violated is a condition of every scenario.
type Expect struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // 0: at any time
	Share   float64 `toml:"share"`    // between 0 and 1
}

// The shapes of jobs, as scenario files name them in Class.Shape.
const (
	shapeGang    = "gang"
	shapeService = "service"
)

// isService reports whether the jobs of the class are services, which don't end by themselves.
func (c *Class) isService() bool { return c.Shape == shapeService }

//go:embed scenario.schema.json
var schemaText []byte

//go:embed scenarios/*.toml
var embedded embed.FS

// Names lists the scenarios that are embedded in the program.
func Names() []string {
	files, err := fs.Glob(embedded, "scenarios/*.toml")
	if err != nil {
		panic(err) // the pattern is malformed
	}
	for i := range files {
		files[i] = strings.TrimSuffix(path.Base(files[i]), ".toml")
	}
	return files
}

// Load reads an embedded scenario by its name, or a scenario from a file.
func Load(name string) (*Scenario, error) {
	raw, err := embedded.ReadFile("scenarios/" + name + ".toml")
	if errors.Is(err, fs.ErrNotExist) {
		raw, err = os.ReadFile(name)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no scenario or file %q; there are %s", name, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, err
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return s, nil
}

// defaultScenario holds the values of what a scenario leaves out.
func defaultScenario() *Scenario {
	return &Scenario{
		SettleS: 60,
		Deploy: Deploy{
			Nodes:         3,
			Zones:         []string{"a", "b"},
			Machines:      40,
			GPUs:          4,
			BootS:         3,
			ReportS:       1,
			LeaseS:        8,
			CancelS:       16,
			WriteRPS:      100,
			RPS:           300,
			RestartAfterS: 2,
			ListLagS:      2,
			SpeedSpread:   0.1,
		},
	}
}

// defaultTeam is the team of a class that names none.
const defaultTeam = "team"

// Parse reads and checks a scenario in TOML. Its errors are one line each.
func Parse(raw []byte) (*Scenario, error) {
	var doc any
	if err := toml.Unmarshal(raw, &doc); err != nil {
		return nil, schema.NewTOMLError(err)
	}
	if err := schema.CheckValue(schemaText, doc); err != nil {
		return nil, err
	}
	s := defaultScenario()
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, schema.NewTOMLError(err)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Team == "" {
			c.Team = defaultTeam
		}
		if c.Tasks == [2]int{} {
			c.Tasks = [2]int{1, 1}
		}
	}
	return s, s.check()
}

// settled is when the last fault ends, in seconds since the run began.
func (s *Scenario) settled() float64 {
	last := 0.0
	for i := range s.Faults {
		last = max(last, s.Faults[i].AtS+s.Faults[i].ForS)
	}
	return last
}

// Scaled returns the scenario with so many times the machines and the load. The quotas of the
// state service grow to a quarter of that, and never shrink.
func (s *Scenario) Scaled(times float64) *Scenario {
	scaled := *s
	scale := func(n int) int { return int(float64(n)*times + 0.5) }
	d := &scaled.Deploy
	d.Machines = scale(d.Machines)
	d.Spot = scale(d.Spot)
	d.WriteRPS *= max(1, times/4)
	d.RPS *= max(1, times/4)
	d.TeamGPUs *= times
	d.Guaranteed *= times
	scaled.Classes = slices.Clone(s.Classes)
	for i := range scaled.Classes {
		c := &scaled.Classes[i]
		c.Initial = scale(c.Initial)
		c.RatePerS *= times
	}
	scaled.Faults = slices.Clone(s.Faults)
	for i := range scaled.Faults {
		scaled.Faults[i].Count = scale(scaled.Faults[i].Count)
	}
	return &scaled
}

// Sped returns the scenario with the work of a so many times longer day: so many times the jobs,
// with runs, fetches, checkpoint intervals and boots shorter by that factor. What the protocol sets
// in seconds stays the same, and so do the faults, which must outlast leases, and the expectations.
func (s *Scenario) Sped(times float64) *Scenario {
	sped := *s
	sped.Deploy.BootS /= times
	sped.Classes = slices.Clone(s.Classes)
	for i := range sped.Classes {
		c := &sped.Classes[i]
		c.RunS /= times
		c.ImageGB /= times
		c.CheckpointS /= times
		c.RatePerS *= times
	}
	return &sped
}
