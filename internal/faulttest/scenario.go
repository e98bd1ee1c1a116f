// Package faulttest runs scripted scenarios, with load and injected faults, on a cluster of real processes,
// and evaluates whether they passed.
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

// Scenario describes a fault test: a deployment, load over time, faults at set times, and expectations.
// Times are in seconds since the run began, and durations in seconds.
type Scenario struct {
	Name         string        `toml:"name"`
	Description  string        `toml:"about"`
	DurationS    float64       `toml:"duration_s"`
	SettleS      float64       `toml:"settle_s"` // maximum time after DurationS for jobs to end
	Deploy       Deploy        `toml:"deploy"`
	Classes      []Class       `toml:"class"`
	Faults       []Fault       `toml:"fault"`
	Expectations []Expectation `toml:"expect"`
}

// Deploy describes the deployment and the emulated services that it uses.
type Deploy struct {
	Nodes          int      `toml:"nodes"`
	Zones          []string `toml:"zones"`
	Machines       int      `toml:"machines"`        // on-demand machines in the cloud, all zones together
	Spot           int      `toml:"spot"`            // spot instances in the cloud, all zones together
	GPUs           float64  `toml:"gpus"`            // per machine
	BootS          float64  `toml:"boot_s"`          // boot time of a machine
	ReportS        float64  `toml:"report_s"`        // heartbeat interval of the workers
	LeaseS         float64  `toml:"lease_s"`         // lease of the workers
	CancelS        float64  `toml:"cancel_s"`        // how long tasks may run after a cancellation is answered
	WriteRPS       float64  `toml:"write_rps"`       // quota of the state service, in changes per second
	RPS            float64  `toml:"rps"`             // quota of the state service, in requests per second
	TeamGPUs       float64  `toml:"team_gpus"`       // quota of each team; 0 for unlimited
	Guaranteed     float64  `toml:"guaranteed_gpus"` // guaranteed GPUs of each team
	RestartAfterS  float64  `toml:"restart_after_s"` // time from the end of a node to its restart
	ListLagS       float64  `toml:"list_lag_s"`      // age of the cloud's lists of machines
	SpeedSpread    float64  `toml:"speed_spread"`    // maximum relative deviation of the speed of a machine
	BootNeverShare float64  `toml:"boot_never"`      // share of the machines that never finish booting
}

// Class describes jobs of one kind and the times of their submission.
type Class struct {
	Name           string  `toml:"name"`
	Team           string  `toml:"team"`
	Shape          string  `toml:"shape"`
	Priority       string  `toml:"priority"`
	Tasks          [2]int  `toml:"tasks"` // minimum and maximum number of tasks of a job
	GPUs           float64 `toml:"gpus"`
	ImageGB        float64 `toml:"image_gb"`
	Images         int     `toml:"images"`     // number of distinct images
	RunS           float64 `toml:"run_s"`      // median run time of a task
	RunSpread      float64 `toml:"run_spread"` // standard deviation of the logarithm of the run time
	CheckpointS    float64 `toml:"checkpoint_s"`
	Spot           bool    `toml:"spot"`
	OneZone        bool    `toml:"one_zone"`
	Spread         bool    `toml:"spread"`
	Initial        int     `toml:"initial"`    // number of jobs submitted at the beginning of the run
	RatePerS       float64 `toml:"rate_per_s"` // jobs submitted per second
	Cancelled      float64 `toml:"cancelled"`  // share of the jobs that are cancelled by their users
	DeadlineFactor float64 `toml:"due_times"`  // deadline = factor * estimate + deadlineSlackS; 0 for none
	Needs          string  `toml:"needs"`      // earlier class; a job depends on the latest job of it
	Bursts         []Burst `toml:"burst"`
}

// Burst multiplies the submission rate of a class by Factor from AtS for ForS.
type Burst struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Factor float64 `toml:"factor"`
}

// Fault describes a fault to inject; see injectors.
type Fault struct {
	AtS       float64 `toml:"at_s"`
	ForS      float64 `toml:"for_s"`
	EveryS    float64 `toml:"every_s"` // interval of repetition over ForS; if 0, the fault lasts for ForS
	Kind      string  `toml:"kind"`
	Target    string  `toml:"target"` // leader, other, all, or a zone; see targetNodes
	Mode      string  `toml:"mode"`   // of link faults: hold, drop (the default), reset or refuse
	Direction string  `toml:"way"`    // of link faults: forward or back; both if empty
	Count     int     `toml:"count"`  // number of machines; all of the target if 0
	Factor    float64 `toml:"factor"`
	Class     string  `toml:"class"`
}

// Expectation is a condition for a scenario to pass: at least the given share of the jobs that it applies
// to must meet it. In addition, every scenario requires that no invariant is violated.
type Expectation struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // no time limit if 0
	Share   float64 `toml:"share"`    // between 0 and 1
}

// The shapes of jobs that the package distinguishes: values of Class.Shape in scenario files.
const (
	shapeGang    = "gang"
	shapeService = "service"
)

// isService reports whether the jobs of the class are services, which run until they are cancelled.
func (c *Class) isService() bool { return c.Shape == shapeService }

//go:embed scenario.schema.json
var schemaText []byte

//go:embed scenarios/*.toml
var embedded embed.FS

// Names returns the names of the embedded scenarios.
func Names() []string {
	files, err := fs.Glob(embedded, "scenarios/*.toml")
	if err != nil {
		panic(err) // malformed pattern, a programming error
	}
	for i := range files {
		files[i] = strings.TrimSuffix(path.Base(files[i]), ".toml")
	}
	return files
}

// Load returns the embedded scenario of the given name. If there is none, it reads a scenario from the file
// of that path.
func Load(name string) (*Scenario, error) {
	raw, err := embedded.ReadFile("scenarios/" + name + ".toml")
	if errors.Is(err, fs.ErrNotExist) {
		raw, err = os.ReadFile(name)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no scenario or file named %q; scenarios are %s", name, strings.Join(Names(), ", "))
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

// defaultScenario returns the defaults of the fields that a scenario leaves out.
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

// defaultTeam is the team of a class without a team.
const defaultTeam = "team"

// Parse parses and validates a scenario in TOML. The text of an error is a single line.
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

// lastFaultEndS returns the time at which the last fault ends, in seconds since the run began.
func (s *Scenario) lastFaultEndS() float64 {
	last := 0.0
	for i := range s.Faults {
		last = max(last, s.Faults[i].AtS+s.Faults[i].ForS)
	}
	return last
}

// Scaled returns a copy of the scenario with machines, team quotas, load and machine counts of faults
// multiplied by times. The quotas of the state service are multiplied by times/4, and at least by 1.
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

// SpedUp returns a copy of the scenario that compresses the work of a longer period into the same duration:
// the submission rates are multiplied by times; run times, image sizes, checkpoint intervals and boot times
// are divided by it. The times of the protocol stay the same, and so do the expectations and the faults,
// since faults must outlast leases.
func (s *Scenario) SpedUp(times float64) *Scenario {
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
