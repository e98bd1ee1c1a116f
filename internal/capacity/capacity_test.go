package capacity

import (
	"bytes"
	"math"
	"os"
	"strings"
	"testing"
)

// docs/CAPACITY.md is the page that is generated from slopes.toml.
func TestPageIsUpToDate(t *testing.T) {
	var page bytes.Buffer
	if err := Write(&page); err != nil {
		t.Fatal(err)
	}
	committed, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(committed, page.Bytes()) {
		t.Error("docs/CAPACITY.md is out of date; run coralhub capacity --write docs/CAPACITY.md")
	}
}

const small = `
[[slope]]
id = "a"
unit = "ms"
points = [[1, 12], [2, 14], [3, 16]]
from = "a run"
[[situation]]
name = "peak"
[situation.drivers]
jobs = 9
[[row]]
role = "leader"
what = "time"
unit = "ms"
limit = 20
limit_from = "x"
[[row.term]]
slope = "a"
driver = "jobs"
intercept = true
[[row.term]]
times = 2
[[row.term]]
intercept_of = "a"
driver = "jobs"
times = 0.1
`

func TestTotals(t *testing.T) {
	d, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	f := d.Slopes[0].Fit()
	if math.Abs(f.PerUnit-2) > 1e-9 || math.Abs(f.Intercept-10) > 1e-9 || f.ResidualRMS > 1e-9 || f.MaxAmount != 3 {
		t.Errorf("%+v", f)
	}
	totals := d.Totals(&d.Situations[0])
	if len(totals) != 1 || math.Abs(totals[0].Value-(28+2+9)) > 1e-9 || totals[0].ExtrapolationRatio != 3 ||
		math.Abs(totals[0].LimitRatio()-39.0/20) > 1e-9 {
		t.Errorf("%+v", totals)
	}
	var page bytes.Buffer
	if err := d.WritePage(&page, "first\n"); err != nil || !strings.Contains(page.String(), "**over: x1.95**") ||
		!strings.Contains(page.String(), "x3.00") {
		t.Errorf("%v\n%s", err, page.String())
	}
}

// Invalid data are rejected with an error that names the entry.
func TestInvalidDataIsRejected(t *testing.T) {
	for change, want := range map[string]string{
		`id = "a"|id = ""`:                                        "slope",
		`[[1, 12], [2, 14], [3, 16]]|[[1, 12]]`:                   "at least three points",
		`[[1, 12], [2, 14], [3, 16]]|[[1, 12], [1, 13], [1, 14]]`: "same driver amount",
		`from = "a run"|from = ""`:                                "a source (from)",
		`slope = "a"|slope = "b"`:                                 `no slope "b"`,
		`driver = "jobs"|driver = "days"`:                         `no driver "days"`,
		`limit = 20|only = ["night"]`:                             `no situation "night"`,
		`unit = "ms"|unit = 5`:                                    "capacity",
	} {
		valid, invalid, _ := strings.Cut(change, "|")
		if _, err := Parse([]byte(strings.Replace(small, valid, invalid, 1))); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", change, err)
		}
	}
}

func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1234.4: "1234", 12.34: "12.3", 0.01234: "0.0123", 4600: "4600",
		-2.5: "-2.50"} {
		if got := FormatNumber(v); got != want {
			t.Errorf("%v: %s, want %s", v, got, want)
		}
	}
}
