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

// Every run tests the same cases. The flag -rapid.seed selects others.
var _ = flag.Set("rapid.seed", "1")

// The verdict is better or worse only if the difference is neither small nor plausible by chance.
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
			t.Errorf("verdict on %v: %s, want %s", c.values, x.Verdict, c.want)
		}
	}
}

// If both signs are equally likely, the sign test returns at most 0.1 with a probability of at most 0.1, so
// that differences by noise alone rarely get another verdict than Noise. The result is always a
// probability.
func TestSignTest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "pairs")
		sum := 0.0
		for above := range n + 1 {
			p := signTest(above, n-above)
			if p < 0 || p > 1 {
				t.Fatalf("sign test of %d above and %d below: %v, want a probability", above, n-above, p)
			}
			way := math.Exp(lgamma(n) - lgamma(above) - lgamma(n-above) - float64(n)*math.Ln2)
			if p <= 0.1 {
				sum += way
			}
		}
		if sum > 0.1+1e-9 {
			t.Fatalf("%d pairs: probability of a result of at most 0.1 is %v, want at most 0.1", n, sum)
		}
	})
}

func lgamma(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}

// LoadExperiment rejects an invalid experiment with an error that names the reason.
func TestInvalidExperiments(t *testing.T) {
	const valid = "name = \"x\"\nscenario = \"surge\"\nseeds = [1]\nmeasures = [\"cpu\"]\n" +
		"[[variant]]\nname = \"a\"\n[[variant]]\nname = \"b\"\n"
	for _, c := range []struct{ text, want string }{
		{valid, ""},
		{strings.Replace(valid, "cpu", "luck", 1), "no measure"},
		{strings.Replace(valid, "surge", "no-such", 1), "no scenario"},
		{strings.Replace(valid, "\"b\"", "\"a\"", 1), "twice"},
		{strings.Replace(valid, "[1]", "[]", 1), "a seed"},
		{"name = [", "line 1"},
	} {
		path := filepath.Join(t.TempDir(), "e.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadExperiment(path)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("load %q: error %v, want %q", c.text, err, c.want)
		}
	}
}
