package leader

import (
	"math"

	"coralhub/internal/config"
	"coralhub/internal/core/zone"
	"coralhub/wire"
)

const (
	// maxEstimateS bounds the estimates that are added up and the resulting drain time, in seconds.
	maxEstimateS = 1e6
	// maxWork bounds the work of a job and the sum of all jobs' work, so that neither overflows. It exceeds what
	// the machines of any cluster do in maxEstimateS.
	maxWork = 1 << 60
)

// pendingWork is the resource time that waiting jobs need by their users' estimates, in thousandths
// of a resource times seconds. Sums of integers don't depend on the order.
type pendingWork struct {
	cpus, gpus, memory int64
	spot               bool // some of it may use spot instances
}

// add adds the work of a job.
func (pw *pendingWork) add(spec *wire.Job) {
	pw.spot = pw.spot || spec.Spot
	if spec.Shape == wire.Service {
		return // its run time is unknown
	}
	taskSeconds := int64(spec.Tasks) * int64(min(math.Ceil(spec.EstimateS), maxEstimateS))
	pw.cpus = addWork(pw.cpus, spec.CPUs, taskSeconds)
	pw.gpus = addWork(pw.gpus, spec.GPUs, taskSeconds)
	pw.memory = addWork(pw.memory, spec.MemoryGB, taskSeconds)
}

// addWork returns a sum of work with that of a job added, at most maxWork: an amount of a resource for the given time.
func addWork(sum int64, amount float64, taskSeconds int64) int64 {
	thousandths := int64(amount * 1000)
	if float64(thousandths)*float64(taskSeconds) >= maxWork {
		return maxWork
	}
	return min(maxWork, sum+thousandths*taskSeconds)
}

// drainTime returns how long the work takes if a capacity is used for nothing else.
func (pw *pendingWork) drainTime(capacity zone.Resources) Micros {
	longest := 0.0
	for _, resource := range [...]struct {
		work     int64
		capacity float64
	}{{pw.cpus, capacity.CPUs}, {pw.gpus, capacity.GPUs}, {pw.memory, capacity.MemoryGB}} {
		if resource.capacity > 0 {
			longest = max(longest, float64(resource.work)/1000/resource.capacity)
		}
	}
	return config.FromSeconds(min(longest, maxEstimateS))
}
