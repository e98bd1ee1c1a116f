package zone

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestCacheForgetsWhatWasUsedLongestAgo(t *testing.T) {
	var c ImageCache
	c.Restore([]string{"noted"})
	c.Update(20, map[string]float64{"a": 8})
	c.Update(20, map[string]float64{"b": 8})
	c.Update(20, map[string]float64{"a": 8})
	if !c.Update(20, map[string]float64{"c": 8}) {
		t.Error("nothing came")
	}
	if got := c.Names(); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("%v: b was used longest ago, and what was only noted before it", got)
	}
	if c.Update(20, map[string]float64{"a": 8, "c": 8}) {
		t.Error("something came or went")
	}
	// What runs there is there, whatever is said of the size.
	c.Update(20, map[string]float64{"d": 15, "e": 15})
	if got := c.Names(); !slices.Equal(got, []string{"d", "e"}) {
		t.Errorf("%v", got)
	}
	c.Update(0, map[string]float64{"f": 500})
	if got := c.Names(); len(got) != 3 {
		t.Errorf("%v of a machine without a limit", got)
	}
}

// Beside what is in use there is never more than fits, and what was used last is there.
func TestCacheKeepsToItsSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ImageCache
		sizes := map[string]float64{}
		for i := range 12 {
			sizes[fmt.Sprint("i", i)] = float64(1 + i*3%11)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			use := map[string]float64{}
			inUse := 0.0
			for range rapid.IntRange(0, 3).Draw(t, "tasks") {
				name := fmt.Sprint("i", rapid.IntRange(0, 11).Draw(t, "image"))
				if _, had := use[name]; !had {
					use[name] = sizes[name]
					inUse += sizes[name]
				}
			}
			c.Update(20, use)
			sum := 0.0
			for _, name := range c.Names() {
				sum += sizes[name]
			}
			if sum > max(20, inUse) {
				t.Fatalf("%v take %v", c.Names(), sum)
			}
			for name := range use {
				if !c.Has(name) {
					t.Fatalf("%s is in use", name)
				}
			}
		}
	})
}
