package chart

import (
	"bytes"
	"image/png"
	"strings"
	"testing"

	"coralhub/internal/history"
)

// testResult returns the result of a replay with a class that has a chart and a class that has none.
func testResult() *history.Result {
	points := []history.Point{
		{Ended: 10, RunTime: 5, Median: 4, Low: 2, High: 8},
		{Ended: 20, RunTime: 3, Median: 4, Low: 2, High: 8},
	}
	return &history.Result{Skipped: 7, Classes: []history.ClassResult{
		{Class: "train", Jobs: 31, WithSimilar: 2, UserLogError: 0.25, Points: points},
		{Class: "rare", Jobs: 1},
	}}
}

// The page has a row for each class, and a chart for each class with points.
func TestHTML(t *testing.T) {
	var page bytes.Buffer
	if err := HTML(&page, testResult()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"7 lines skipped", "<td>train<td>31<td>2<td>", "<td>0.25<td>", "<td>rare<td>1<td>0<td>",
	} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("%q is missing in\n%s", want, page.String())
		}
	}
	if charts := strings.Count(page.String(), "<figure>"); charts != 1 {
		t.Errorf("page has %d charts, want 1", charts)
	}
}

// The height of the image is that of the charts of the classes with points.
func TestPNG(t *testing.T) {
	var raw bytes.Buffer
	if err := PNG(&raw, testResult()); err != nil {
		t.Fatal(err)
	}
	img, err := png.Decode(&raw)
	if err != nil {
		t.Fatal(err)
	}
	if size := img.Bounds().Size(); size.X != width || size.Y != height {
		t.Errorf("size of the image is %v, want (%d,%d)", size, width, height)
	}
}
