package zone

import "coralhub/wire"

// Catalog is what types of machines there are, as far as a node knows.
type Catalog struct {
	Types map[string]*wire.MachineType // nil: not known yet
}

// Set replaces what is known.
func (c *Catalog) Set(cat *wire.Catalog) {
	c.Types = map[string]*wire.MachineType{}
	for i := range cat.Types {
		c.Types[cat.Types[i].Name] = &cat.Types[i]
	}
}

// Known tells whether anything is.
func (c *Catalog) Known() bool { return c.Types != nil }

// Allows tells whether a task of a job may run on machines of a type and fits them.
func Allows(s *wire.Job, t *wire.MachineType) bool {
	return s.CPUs <= t.CPUs+1e-9 && s.GPUs <= t.GPUs+1e-9 && s.MemoryGB <= t.MemoryGB+1e-9 && allowed(s, t)
}

func allowed(s *wire.Job, t *wire.MachineType) bool {
	ok := len(s.Types) == 0
	for _, name := range s.Types {
		ok = ok || name == t.Name
	}
	if !ok || s.Zone == "" {
		return ok
	}
	for _, z := range t.Zones {
		if z == s.Zone {
			return true
		}
	}
	return false
}

// Runs tells whether a task of a job could run anywhere.
func (c *Catalog) Runs(s *wire.Job) bool {
	for _, t := range c.Types {
		if Allows(s, t) {
			return true
		}
	}
	return false
}

// Zones counts the zones in which a task of a job could run.
func (c *Catalog) Zones(s *wire.Job) int {
	zones := map[string]bool{}
	for _, t := range c.Types {
		if !Allows(s, t) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == "" || s.Zone == z {
				zones[z] = true
			}
		}
	}
	return len(zones)
}

// Slim returns a description without what no longer decides anything: machine types
// that there are none of. It returns nil if that is nothing.
func (c *Catalog) Slim(s *wire.Job) *wire.Job {
	var known []string
	for _, name := range s.Types {
		if c.Types[name] != nil {
			known = append(known, name)
		}
	}
	if len(known) == len(s.Types) || len(known) == 0 {
		return nil
	}
	out := *s
	out.Types = known
	return &out
}
