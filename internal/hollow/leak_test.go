package hollow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coralhub/internal/leaktest"
)

// No goroutine of a worker outlives Run, also if the worker was waiting for a response, restarting, or
// already removed when the input ended.
func TestRunWaitsForItsWorkers(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done() // never responds
	}))
	defer node.Close()
	var input bytes.Buffer
	lines := json.NewEncoder(&input)
	write := func(v any) {
		t.Helper()
		if err := lines.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	write(Config{Nodes: []Node{{Name: "a", Address: strings.TrimPrefix(node.URL, "http://")}}, ReportS: 0.01, LeaseS: 60})
	const workers = 200
	for i := range workers {
		name := fmt.Sprintf("m-%d", i)
		write(Command{Start: &Machine{Name: name, GPUs: 1}})
		switch i % 3 {
		case 0:
			write(Command{Restart: &Restart{Machine: name, DowntimeS: 60}})
		case 1:
			write(Command{Remove: name})
		}
	}
	startedAt := time.Now()
	if err := Run(t.Context(), &input, io.Discard); err != nil {
		t.Error(err)
	}
	leaktest.Check(t, "hollow.(*worker)", "hollow.(*Host)")
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("Run took %v, want 5 s or less", took)
	}
}
