package faulttest

import (
	"flag"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

// A variant is better or worse only by a difference that is neither small nor due to chance.
func TestVerdicts(t *testing.T) {
	first := []float64{10, 12, 11, 13, 10, 12}
	times := func(by float64) []float64 {
		var out []float64
		for _, v := range first {
			out = append(out, v*by)
		}
		return out
	}
	for _, c := range []struct {
		values []float64
		more   bool
		want   string
	}{
		{times(0.8), false, Better}, {times(1.3), false, Worse}, {times(1.3), true, Better}, {times(0.99), false, Noise},
		{[]float64{8, 14, 9, 15, 8, 14}, false, Noise}, {first, false, Noise},
	} {
		x := Comparison{Values: c.values}
		if compare(&x, first, c.more); x.Verdict != c.want {
			t.Errorf("%v: %s, want %s", c.values, x.Verdict, c.want)
		}
	}
}

// A variant that differs by noise alone is called different with a probability of a tenth at most, and
// the sign test returns a probability.
func TestSignTest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "pairs")
		sum := 0.0
		for above := range n + 1 {
			p := signTest(above, n-above)
			if p < 0 || p > 1 {
				t.Fatalf("probability %v", p)
			}
			way := math.Exp(lgamma(n) - lgamma(above) - lgamma(n-above) - float64(n)*math.Ln2)
			if p <= 0.1 {
				sum += way
			}
		}
		if sum > 0.1+1e-9 {
			t.Fatalf("%d pairs: called different in %v of cases", n, sum)
		}
	})
}

func lgamma(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}

// An experiment that can't be played is refused with an error that names the reason.
func TestBadExperiments(t *testing.T) {
	const sound = "name = \"x\"\nscenario = \"surge\"\nseeds = [1]\nmeasures = [\"cpu\"]\n[[variant]]\nname = \"a\"\n[[variant]]\nname = \"b\"\n"
	for _, c := range []struct{ text, want string }{
		{sound, ""}, {strings.Replace(sound, "cpu", "luck", 1), "no measure"}, {strings.Replace(sound, "surge", "no-such", 1), "no scenario"},
		{strings.Replace(sound, "\"b\"", "\"a\"", 1), "twice"}, {strings.Replace(sound, "[1]", "[]", 1), "a seed"}, {"name = [", "line 1"},
	} {
		path := filepath.Join(t.TempDir(), "e.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadExperiment(path)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}
