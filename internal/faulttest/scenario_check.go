package faulttest

import (
	"fmt"
	"slices"
)

// check validates what the JSON schema can't express.
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
	for i, e := range s.Expectations {
		if e.Class != "" && !known[e.Class] {
			return fmt.Errorf("expectation %d: no class named %q", i, e.Class)
		}
	}
	return nil
}

// checkClasses validates the classes and returns the set of their names.
func (s *Scenario) checkClasses() (known map[string]bool, err error) {
	known = map[string]bool{}
	for _, c := range s.Classes {
		if c.Needs != "" && !known[c.Needs] {
			return nil, fmt.Errorf("class %s: needs %q, which is not a class before it", c.Name, c.Needs)
		}
		if known[c.Name] {
			return nil, fmt.Errorf("class %s: defined twice", c.Name)
		}
		if c.Tasks[0] > c.Tasks[1] {
			return nil, fmt.Errorf("class %s: tasks from %d to %d: minimum above maximum", c.Name, c.Tasks[0], c.Tasks[1])
		}
		known[c.Name] = true
	}
	return known, nil
}

func (s *Scenario) checkFault(i int) error {
	f := &s.Faults[i]
	if f.AtS+f.ForS > s.DurationS+s.SettleS {
		return fmt.Errorf("fault %d (%s): ends at %g s, beyond the end of the run at %g s",
			i, f.Kind, f.AtS+f.ForS, s.DurationS+s.SettleS)
	}
	isZone := slices.Contains(s.Deploy.Zones, f.Target)
	isNodes := f.Target == "" || slices.Contains([]string{targetLeader, targetOther, targetAll}, f.Target)
	if !isNodes && !isZone {
		return fmt.Errorf("fault %d (%s): no zone or group of nodes is named %q", i, f.Kind, f.Target)
	}
	if f.Kind == faultZoneCut && !isZone {
		return fmt.Errorf("fault %d (%s): no zone is named %q", i, faultZoneCut, f.Target)
	}
	return nil
}
