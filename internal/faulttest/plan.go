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
	// initialWithinS is the time from the beginning of the run over which the initial jobs of a class are
	// submitted, in seconds.
	initialWithinS = 2
	// estimateSpread is the standard deviation of the logarithm of the ratio of estimate to run time.
	estimateSpread = 0.4
	// deadlineSlackS is added to each deadline, in seconds.
	deadlineSlackS = 10
	// minCancelDelayS and cancelDelayRangeS bound the time from the acceptance of a job to its planned
	// cancellation, in seconds: at least minCancelDelayS, and less than the sum of both.
	minCancelDelayS   = 1
	cancelDelayRangeS = 10
)

// plannedJob is a job with the time of its submission.
type plannedJob struct {
	at          time.Duration // time since the run began
	class       *Class
	job         wire.Job
	taskRunTime emulator.Micros // run time of each task
	cancelDelay time.Duration   // from acceptance to cancellation; 0 if it isn't cancelled
}

// planner generates the jobs of a scenario.
type planner struct {
	scenario *Scenario
	jobs     []plannedJob
}

// plan generates the jobs of a scenario in order of submission time. The same seed gives the same jobs.
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

// planInitial generates the initial jobs of a class.
func (p *planner) planInitial(c *Class, random *rand.Rand) {
	for range c.Initial {
		at := initialWithinS * random.Float64()
		p.add(c, random, at)
	}
}

// planArrivals generates the arrivals of a class: an inhomogeneous Poisson process, by thinning.
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

// rateAt returns the submission rate, including bursts, at a time in seconds since the run began.
func (c *Class) rateAt(at float64) float64 {
	rate := c.RatePerS
	for _, b := range c.Bursts {
		if at >= b.AtS && at < b.AtS+b.ForS {
			rate *= b.Factor
		}
	}
	return rate
}

// highestRate returns an upper bound of the submission rate, provided that bursts don't overlap.
func (c *Class) highestRate() float64 {
	highest := c.RatePerS
	for _, b := range c.Bursts {
		highest = max(highest, c.RatePerS*b.Factor)
	}
	return highest
}

// add generates a job of a class to be submitted at a time in seconds. The order of the calls of random
// must not change, so that a seed gives the same jobs in every version.
func (p *planner) add(c *Class, random *rand.Rand, at float64) {
	runS := c.RunS * math.Exp(c.RunSpread*random.NormFloat64())
	tasks := c.Tasks[0] + random.IntN(c.Tasks[1]-c.Tasks[0]+1)
	image := random.IntN(max(c.Images, 1))
	planned := plannedJob{at: wait.Seconds(at), class: c, taskRunTime: config.FromSeconds(runS)}
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
	if c.DeadlineFactor > 0 {
		deadline := deadlineSlackS + c.DeadlineFactor*planned.job.EstimateS
		planned.job.DeadlineS = &deadline
	}
	if random.Float64() < c.Cancelled {
		planned.cancelDelay = wait.Seconds(minCancelDelayS + cancelDelayRangeS*random.Float64())
	}
	p.jobs = append(p.jobs, planned)
}

// linkDependencies makes each job of a class that needs another class depend on the preceding job of that
// class, if there is one.
func linkDependencies(jobs []plannedJob) {
	last := map[string]string{} // job ID by class
	for i := range jobs {
		p := &jobs[i]
		if needs := p.class.Needs; needs != "" && last[needs] != "" {
			p.job.Dependencies = []string{last[needs]}
		}
		last[p.class.Name] = p.job.ID
	}
}
