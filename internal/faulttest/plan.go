package faulttest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	// initialWithinS is when the initial jobs of a class have been submitted, in seconds.
	initialWithinS = 2
	// estimateSpread is the standard deviation of the logarithm of estimate to run time.
	estimateSpread = 0.4
	// deadlineSlackS is added to each deadline, in seconds.
	deadlineSlackS = 10
	// A user who cancels does so within these bounds after the acceptance, in seconds.
	cancelAfterLeastS  = 1
	cancelAfterSpreadS = 10
)

// plannedJob is a job that is to be submitted at a set time.
type plannedJob struct {
	at       time.Duration // since the run began
	class    *Class
	job      wire.Job
	run      emulator.Micros // how long a task runs
	cancelIn time.Duration   // after its acceptance; 0: never
}

// planner draws the jobs of a scenario.
type planner struct {
	scenario *Scenario
	jobs     []plannedJob
}

// plan draws the jobs of a scenario in the order of their times. The same seed draws the same jobs.
func (s *Scenario) plan(seed uint64) []plannedJob {
	p := &planner{scenario: s}
	for i := range s.Classes {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		p.planInitial(&s.Classes[i], random)
		p.planArrivals(&s.Classes[i], random)
	}
	slices.SortStableFunc(p.jobs, func(a, b plannedJob) int { return int(a.at - b.at) })
	linkDependencies(p.jobs)
	return p.jobs
}

// planInitial draws the jobs that a class begins with.
func (p *planner) planInitial(c *Class, random *rand.Rand) {
	for range c.Initial {
		at := initialWithinS * random.Float64()
		p.add(c, random, at)
	}
}

// planArrivals draws the arrivals of a class: a Poisson process of a varying rate, by thinning.
func (p *planner) planArrivals(c *Class, random *rand.Rand) {
	highest := c.highestRate()
	if highest <= 0 {
		return
	}
	at := 0.0
	for {
		at += random.ExpFloat64() / highest
		if at >= p.scenario.DurationS {
			return
		}
		if random.Float64()*highest < c.rateAt(at) {
			p.add(c, random, at)
		}
	}
}

// rateAt is the submission rate at a time, with its bursts.
func (c *Class) rateAt(at float64) float64 {
	rate := c.RatePerS
	for _, b := range c.Bursts {
		if at >= b.AtS && at < b.AtS+b.ForS {
			rate *= b.Factor
		}
	}
	return rate
}

// highestRate bounds the submission rate, given that bursts don't overlap.
func (c *Class) highestRate() float64 {
	highest := c.RatePerS
	for _, b := range c.Bursts {
		highest = max(highest, c.RatePerS*b.Factor)
	}
	return highest
}

// add draws a job of a class for a time in seconds. The order of the draws must not change: a seed
// gives the same jobs in every version.
func (p *planner) add(c *Class, random *rand.Rand, at float64) {
	runS := c.RunS * math.Exp(c.RunSpread*random.NormFloat64())
	tasks := c.Tasks[0] + random.IntN(c.Tasks[1]-c.Tasks[0]+1)
	image := random.IntN(max(c.Images, 1))
	planned := plannedJob{at: wait.Seconds(at), class: c, run: config.FromSeconds(runS)}
	planned.job = wire.Job{
		ID:          fmt.Sprintf("j-%06d", len(p.jobs)+1),
		Class:       c.Name,
		Team:        c.Team,
		Shape:       wire.ShapeOrArray(c.Shape),
		Priority:    wire.PriorityOrNormal(c.Priority),
		Tasks:       tasks,
		CPUs:        1,
		GPUs:        c.GPUs,
		MemoryGB:    4,
		Image:       fmt.Sprintf("%s-%d", c.Name, image),
		ImageGB:     c.ImageGB,
		OneZone:     c.OneZone,
		Spread:      c.Spread,
		Spot:        c.Spot,
		CheckpointS: c.CheckpointS,
		SaveS:       min(c.CheckpointS, 1),
	}
	if !c.isService() {
		planned.job.EstimateS = runS * math.Exp(estimateSpread*random.NormFloat64())
	}
	if c.DueTimes > 0 {
		deadline := deadlineSlackS + c.DueTimes*planned.job.EstimateS
		planned.job.DeadlineS = &deadline
	}
	if random.Float64() < c.Cancelled {
		planned.cancelIn = wait.Seconds(cancelAfterLeastS + cancelAfterSpreadS*random.Float64())
	}
	p.jobs = append(p.jobs, planned)
}

// linkDependencies has each job of a class that needs another depend on the last job of that one
// before it.
func linkDependencies(jobs []plannedJob) {
	last := map[string]string{} // job by class
	for i := range jobs {
		p := &jobs[i]
		if needs := p.class.Needs; needs != "" && last[needs] != "" {
			p.job.Needs = []string{last[needs]}
		}
		last[p.class.Name] = p.job.ID
	}
}
