package zone

import (
	"math"

	"coralhub/wire"
)

// Resources are the resources that a task needs or that a machine has free. The numbers may be fractional.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

const (
	// tolerance absorbs rounding errors of sums of resources.
	tolerance = 1e-6
	// gpuWeight is the number of CPUs that have the weight of one GPU.
	gpuWeight = 64
)

// CapacityOf returns the resources of an empty machine of a type.
func CapacityOf(t *wire.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// Fits reports whether a task that needs r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+tolerance && r.GPUs <= free.GPUs+tolerance && r.MemoryGB <= free.MemoryGB+tolerance
}

// Count returns how many tasks that need r each fit into the free resources, at most math.MaxInt32.
func (r Resources) Count(free Resources) int {
	n := float64(math.MaxInt32)
	quantities := [...]struct{ needed, free float64 }{
		{r.CPUs, free.CPUs},
		{r.GPUs, free.GPUs},
		{r.MemoryGB, free.MemoryGB},
	}
	for _, x := range quantities {
		if x.needed > 0 {
			n = min(n, max(0, (x.free+tolerance)/x.needed)) // infinite or beyond an int if little is needed
		} else if x.free < -tolerance {
			return 0
		}
	}
	return int(n)
}

// Plus returns r with n times b added.
func (r Resources) Plus(b Resources, n float64) Resources {
	return Resources{r.CPUs + float64(n*b.CPUs), r.GPUs + float64(n*b.GPUs), r.MemoryGB + float64(n*b.MemoryGB)}
}

// Weight returns r as one number, in CPUs. Memory has no weight.
func (r Resources) Weight() float64 { return float64(r.GPUs*gpuWeight) + r.CPUs }
