package faulttest

import (
	"fmt"
	"slices"
)

// check finds the errors of a scenario that a schema can't express.
func (s *Scenario) check() error {
	known, err := s.checkClasses()
	if err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	for i, e := range s.Expect {
		if e.Class != "" && !known[e.Class] {
			return fmt.Errorf("expectation %d: no class %q", i, e.Class)
		}
	}
	return nil
}

// checkClasses checks the classes and returns their names.
func (s *Scenario) checkClasses() (known map[string]bool, err error) {
	known = map[string]bool{}
	for _, c := range s.Classes {
		if c.Needs != "" && !known[c.Needs] {
			return nil, fmt.Errorf("class %s needs %q, which is not a class before it", c.Name, c.Needs)
		}
		if known[c.Name] {
			return nil, fmt.Errorf("class %s is there twice", c.Name)
		}
		if c.Tasks[0] > c.Tasks[1] {
			return nil, fmt.Errorf("class %s: tasks %v", c.Name, c.Tasks)
		}
		known[c.Name] = true
	}
	return known, nil
}

func (s *Scenario) checkFault(i int) error {
	f := &s.Faults[i]
	if f.AtS+f.ForS > s.DurationS+s.SettleS {
		return fmt.Errorf("fault %d (%s) lasts beyond the end", i, f.Kind)
	}
	isZone := slices.Contains(s.Deploy.Zones, f.Target)
	isNodes := f.Target == "" || slices.Contains([]string{targetLeader, targetOther, targetAll}, f.Target)
	if !isNodes && !isZone {
		return fmt.Errorf("fault %d (%s): target %q is no zone", i, f.Kind, f.Target)
	}
	if f.Kind == faultZoneCut && !isZone {
		return fmt.Errorf("fault %d (%s): target %q is no zone", i, faultZoneCut, f.Target)
	}
	return nil
}
