package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"coralhub/internal/core/query"
	"coralhub/internal/history"
)

// server simulates a node. If it is the leader, it has the runs from number first on.
type server struct {
	isLeader func() bool
	runs     func() (first uint64, lines []history.Run)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.isLeader() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(query.Error{Error: "not the leader"})
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	first, lines := s.runs()
	page := query.Runs{Next: first + uint64(len(lines))}
	if from < first {
		page.Missed, from = first-from, first
	}
	if i := from - first; i < uint64(len(lines)) {
		page.Runs = lines[i:]
	}
	_ = json.NewEncoder(w).Encode(page)
}

func lines(prefix string, n int) []history.Run {
	var out []history.Run
	for i := range n {
		out = append(out, history.Run{
			Ref:     fmt.Sprint(prefix, i),
			Class:   "c",
			Started: 1,
			Ended:   2,
			Outcome: history.Done,
		})
	}
	return out
}

// The recorder finds the leader, records each run once and reports the number of missed runs. After a change of the
// leader it continues with the new one.
func TestRecorderFollowsTheLeader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	polls := 0
	first := &server{isLeader: func() bool { return polls < 4 }, runs: func() (uint64, []history.Run) {
		polls++
		// Runs 0 to 2 are no longer available. One run ends before each of the first two polls.
		return 3, lines("a", min(polls, 2))
	}}
	second := &server{isLeader: func() bool { return polls >= 4 }, runs: func() (uint64, []history.Run) {
		if polls++; polls > 7 {
			cancel()
		}
		return 0, lines("b", 1)
	}}
	var nodes []string
	for _, s := range []*server{second, first} {
		h := httptest.NewServer(s)
		defer h.Close()
		nodes = append(nodes, strings.TrimPrefix(h.URL, "http://"))
	}
	var out bytes.Buffer
	var reported []string
	r := &Recorder{Nodes: nodes, Client: http.DefaultClient, OnProblem: func(s string) { reported = append(reported, s) }}
	if err := r.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	got, skipped, err := history.Read(&out, func(history.Problem) {})
	if err != nil || skipped > 0 {
		t.Fatalf("read recorded history: %d runs, %d lines skipped, error %v", len(got), skipped, err)
	}
	var refs []string
	for _, l := range got {
		refs = append(refs, l.Ref)
	}
	if strings.Join(refs, " ") != "a0 a1 b0" || len(reported) == 0 || reported[0] != "3 runs were missed" {
		t.Errorf("recorded %v, want a0 a1 b0; reported %q, want 3 missed runs first", refs, reported)
	}
}
