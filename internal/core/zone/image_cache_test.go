package zone

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var c ImageCache
	c.Restore([]string{"restored"})
	c.Update(20, map[string]float64{"a": 8})
	c.Update(20, map[string]float64{"b": 8})
	c.Update(20, map[string]float64{"a": 8})
	if !c.Update(20, map[string]float64{"c": 8}) {
		t.Error("Update() = false, want true: c was added")
	}
	if got := c.Names(); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("cached %v, want [a c]: the restored image and b are the least recently used ones", got)
	}
	if c.Update(20, map[string]float64{"a": 8, "c": 8}) {
		t.Error("Update() = true, want false: all images are cached already")
	}
	// Images in use are cached, regardless of their size.
	c.Update(20, map[string]float64{"d": 15, "e": 15})
	if got := c.Names(); !slices.Equal(got, []string{"d", "e"}) {
		t.Errorf("cached %v, want [d e]", got)
	}
	c.Update(0, map[string]float64{"f": 500})
	if got := c.Names(); len(got) != 3 {
		t.Errorf("cached %v without a limit, want 3 images", got)
	}
}

// The images fit into the cache, unless those in use alone exceed its size. Images in use are always cached.
func TestCacheRespectsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ImageCache
		sizes := map[string]float64{}
		for i := range 12 {
			sizes[fmt.Sprint("i", i)] = float64(1 + i*3%11)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			inUse := map[string]float64{}
			inUseGB := 0.0
			for range rapid.IntRange(0, 3).Draw(t, "tasks") {
				name := fmt.Sprint("i", rapid.IntRange(0, 11).Draw(t, "image"))
				if _, had := inUse[name]; !had {
					inUse[name] = sizes[name]
					inUseGB += sizes[name]
				}
			}
			c.Update(20, inUse)
			sum := 0.0
			for _, name := range c.Names() {
				sum += sizes[name]
			}
			if sum > max(20, inUseGB) {
				t.Fatalf("images %v take %v GB, want at most %v GB", c.Names(), sum, max(20, inUseGB))
			}
			for name := range inUse {
				if !c.Has(name) {
					t.Fatalf("image %s is in use but not cached", name)
				}
			}
		}
	})
}
