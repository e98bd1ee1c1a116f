package zone

import (
	"slices"

	"coralhub/wire"
)

// specTolerance absorbs rounding errors when a job's needs are compared with a machine type.
const specTolerance = 1e-9

// Catalog holds the machine types offered by the cloud that are known to a node.
type Catalog struct {
	Types map[string]*wire.MachineType // by name, nil before the first Set
}

// Set replaces the machine types.
func (c *Catalog) Set(catalog *wire.Catalog) {
	c.Types = map[string]*wire.MachineType{}
	for i := range catalog.Types {
		c.Types[catalog.Types[i].Name] = &catalog.Types[i]
	}
}

// Known reports whether the machine types have been set.
func (c *Catalog) Known() bool { return c.Types != nil }

// Allows reports whether a task of a job fits on machines of a type, and whether the job allows the type and one of
// its zones.
func Allows(spec *wire.Job, t *wire.MachineType) bool {
	fits := spec.CPUs <= t.CPUs+specTolerance &&
		spec.GPUs <= t.GPUs+specTolerance &&
		spec.MemoryGB <= t.MemoryGB+specTolerance
	return fits && allowsType(spec, t) && allowsZone(spec, t)
}

// allowsType reports whether a job allows a machine type. A job without a list of types allows any.
func allowsType(spec *wire.Job, t *wire.MachineType) bool {
	return len(spec.Types) == 0 || slices.Contains(spec.Types, t.Name)
}

// allowsZone reports whether a machine type is offered in the job's zone. A job without a zone allows any.
func allowsZone(spec *wire.Job, t *wire.MachineType) bool {
	return spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)
}

// CanRun reports whether a task of a job could run on any machine type.
func (c *Catalog) CanRun(spec *wire.Job) bool {
	for _, t := range c.Types {
		if Allows(spec, t) {
			return true
		}
	}
	return false
}

// ZoneCount returns the number of zones in which a task of a job could run.
func (c *Catalog) ZoneCount(spec *wire.Job) int {
	zones := map[string]bool{}
	for _, t := range c.Types {
		if !Allows(spec, t) {
			continue
		}
		for _, z := range t.Zones {
			if spec.Zone == "" || spec.Zone == z {
				zones[z] = true
			}
		}
	}
	return len(zones)
}

// WithoutUnknownTypes returns a copy of a job without the machine types that the cloud does not offer, which no longer
// have any effect on placement. It returns nil if there are none to remove, or if none would be left.
func (c *Catalog) WithoutUnknownTypes(spec *wire.Job) *wire.Job {
	var known []string
	for _, name := range spec.Types {
		if c.Types[name] != nil {
			known = append(known, name)
		}
	}
	if len(known) == len(spec.Types) || len(known) == 0 {
		return nil
	}
	out := *spec
	out.Types = known
	return &out
}
