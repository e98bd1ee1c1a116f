// Package faulttest plays scripted scenarios on a cluster of real processes and says
// whether they passed.
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

// Scenario is a script: a deployment, load over time, faults at set times, and what is
// expected.
type Scenario struct {
	Name      string   `toml:"name"`
	About     string   `toml:"about"`
	DurationS float64  `toml:"duration_s"`
	SettleS   float64  `toml:"settle_s"` // how long jobs may take to end after that
	Deploy    Deploy   `toml:"deploy"`
	Classes   []Class  `toml:"class"`
	Faults    []Fault  `toml:"fault"`
	Expect    []Expect `toml:"expect"`
}

// Deploy is the deployment.
type Deploy struct {
	Nodes          int      `toml:"nodes"`
	Zones          []string `toml:"zones"`
	Machines       int      `toml:"machines"` // ordinary ones that the cloud has, over all zones
	Spot           int      `toml:"spot"`
	GPUs           float64  `toml:"gpus"` // of a machine
	BootS          float64  `toml:"boot_s"`
	ReportS        float64  `toml:"report_s"`
	LeaseS         float64  `toml:"lease_s"`
	CancelS        float64  `toml:"cancel_s"`
	WriteRPS       float64  `toml:"write_rps"`
	RPS            float64  `toml:"rps"`
	TeamGPUs       float64  `toml:"team_gpus"` // at most, of each team; 0: any number
	Guaranteed     float64  `toml:"guaranteed_gpus"`
	RestartAfterS  float64  `toml:"restart_after_s"`
	ListLagS       float64  `toml:"list_lag_s"`
	SpeedSpread    float64  `toml:"speed_spread"`
	BootNeverShare float64  `toml:"boot_never"`
}

// Class is a kind of jobs, and when they come.
type Class struct {
	Name        string  `toml:"name"`
	Team        string  `toml:"team"`
	Shape       string  `toml:"shape"`
	Priority    string  `toml:"priority"`
	Tasks       [2]int  `toml:"tasks"` // least and most
	GPUs        float64 `toml:"gpus"`
	ImageGB     float64 `toml:"image_gb"`
	Images      int     `toml:"images"`
	RunS        float64 `toml:"run_s"` // median
	RunSpread   float64 `toml:"run_spread"`
	CheckpointS float64 `toml:"checkpoint_s"`
	Spot        bool    `toml:"spot"`
	OneZone     bool    `toml:"one_zone"`
	Spread      bool    `toml:"spread"`
	Initial     int     `toml:"initial"`
	RatePerS    float64 `toml:"rate_per_s"`
	Cancelled   float64 `toml:"cancelled"` // part of the jobs that their users cancel
	DueTimes    float64 `toml:"due_times"` // deadline, in estimates and ten seconds; 0: none
	Needs       string  `toml:"needs"`     // a class: each job needs the last one of it
	Bursts      []Burst `toml:"burst"`
}

// Burst has a class come more often for a while.
type Burst struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Factor float64 `toml:"factor"`
}

// Fault is something that goes wrong.
type Fault struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	EveryS float64 `toml:"every_s"` // again and again, for_s being the time of it all
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"` // leader, other, all, or a zone
	Mode   string  `toml:"mode"`   // of cuts: hold, drop, reset or refuse
	Way    string  `toml:"way"`    // forward or back; both otherwise
	Count  int     `toml:"count"`  // of machines
	Factor float64 `toml:"factor"`
	Class  string  `toml:"class"`
}

// Expect is what has to hold for a scenario to pass. That no rule is broken is
// expected always.
type Expect struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

//go:embed scenario.schema.json
var schemaText []byte

//go:embed scenarios/*.toml
var embedded embed.FS

// Names lists the scenarios that come with the program.
func Names() []string {
	files, err := fs.Glob(embedded, "scenarios/*.toml")
	if err != nil {
		panic(err) // the pattern is sound
	}
	for i := range files {
		files[i] = strings.TrimSuffix(path.Base(files[i]), ".toml")
	}
	return files
}

// Load reads a scenario by its name, or from a file.
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

// Parse reads and checks a scenario.
func Parse(raw []byte) (*Scenario, error) {
	var doc any
	if err := toml.Unmarshal(raw, &doc); err != nil {
		return nil, place(err)
	}
	if err := schema.CheckValue(schemaText, doc); err != nil {
		return nil, err
	}
	s := &Scenario{SettleS: 60, Deploy: Deploy{Nodes: 3, Zones: []string{"a", "b"}, Machines: 40, GPUs: 4, BootS: 3, ReportS: 1, LeaseS: 8, CancelS: 16,
		WriteRPS: 100, RPS: 300, RestartAfterS: 2, ListLagS: 2, SpeedSpread: 0.1}}
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, place(err)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Team == "" {
			c.Team = "team"
		}
		if c.Tasks == [2]int{} {
			c.Tasks = [2]int{1, 1}
		}
	}
	return s, s.check()
}

func place(err error) error {
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return fmt.Errorf("line %d column %d: %s", row, col, de.Error())
	}
	return err
}

// check finds what a schema can't.
func (s *Scenario) check() error {
	known := map[string]bool{}
	for _, c := range s.Classes {
		if c.Needs != "" && !known[c.Needs] {
			return fmt.Errorf("class %s needs %q, which is not a class before it", c.Name, c.Needs)
		}
		if known[c.Name] {
			return fmt.Errorf("class %s is there twice", c.Name)
		}
		if c.Tasks[0] > c.Tasks[1] {
			return fmt.Errorf("class %s: tasks %v", c.Name, c.Tasks)
		}
		known[c.Name] = true
	}
	for i, f := range s.Faults {
		if f.AtS+f.ForS > s.DurationS+s.SettleS {
			return fmt.Errorf("fault %d (%s) lasts beyond the end", i, f.Kind)
		}
		if f.Target != "" && !slices.Contains([]string{"leader", "other", "all"}, f.Target) && !slices.Contains(s.Deploy.Zones, f.Target) {
			return fmt.Errorf("fault %d (%s): target %q is no zone", i, f.Kind, f.Target)
		}
		if f.Kind == "zone_cut" && !slices.Contains(s.Deploy.Zones, f.Target) {
			return fmt.Errorf("fault %d (zone_cut): target %q is no zone", i, f.Target)
		}
	}
	for i, e := range s.Expect {
		if e.Class != "" && !known[e.Class] {
			return fmt.Errorf("expectation %d: no class %q", i, e.Class)
		}
	}
	return nil
}

// settled is when the last trouble ends, in seconds from the beginning.
func (s *Scenario) settled() float64 {
	last := 0.0
	for i := range s.Faults {
		last = max(last, s.Faults[i].AtS+s.Faults[i].ForS)
	}
	return last
}

// Scaled returns the scenario with so many times the machines and the load.
func (s *Scenario) Scaled(times float64) *Scenario {
	out := *s
	grow := func(n int) int { return int(float64(n)*times + 0.5) }
	d := &out.Deploy
	d.Machines, d.Spot, d.WriteRPS, d.RPS = grow(d.Machines), grow(d.Spot), d.WriteRPS*max(1, times/4), d.RPS*max(1, times/4)
	d.TeamGPUs, d.Guaranteed = d.TeamGPUs*times, d.Guaranteed*times
	out.Classes = slices.Clone(s.Classes)
	for i := range out.Classes {
		c := &out.Classes[i]
		c.Initial, c.RatePerS = grow(c.Initial), c.RatePerS*times
	}
	out.Faults = slices.Clone(s.Faults)
	for i := range out.Faults {
		out.Faults[i].Count = grow(out.Faults[i].Count)
	}
	return &out
}

// Sped returns the scenario with the work of a so many times longer day: as many times
// the jobs, each with as much shorter runs, fetches, saves and boots. What the protocol sets
// in seconds stays, and with it the faults, which are to outlast leases, and what is
// expected.
func (s *Scenario) Sped(times float64) *Scenario {
	out := *s
	out.Deploy.BootS /= times
	out.Classes = slices.Clone(s.Classes)
	for i := range out.Classes {
		c := &out.Classes[i]
		c.RunS, c.ImageGB, c.CheckpointS, c.RatePerS = c.RunS/times, c.ImageGB/times, c.CheckpointS/times, c.RatePerS*times
	}
	return &out
}
