package cloud

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
	"coralhub/wire"
)

// Calls that the cloud does not answer end when their context ends, and so do calls that wait for the quota.
func TestCallsEndOnContextCancellation(t *testing.T) {
	server := nodetest.NewUnresponsiveServer(t)
	cfg := &config.Config{}
	cfg.External.Cloud = server.Address
	cfg.Cluster.Cloud.RPS = 0.5 / quotaShare // one request is sent at once, each further one 2 s later
	posted := make(chan msg.Input, 10)
	c := New(cfg, func(in msg.Input) { posted <- in })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	effects := []msg.Effect{msg.FetchCatalog{}, msg.ListMachines{}, msg.ScaleOut{}, msg.ScaleIn{}}
	for _, e := range effects {
		if !c.Do(ctx, e) {
			t.Fatalf("Do(%T) returned false", e)
		}
	}
	server.AwaitConnections(1)
	nodetest.AssertReturnsWithin(t, callTimeout/8, func() {
		cancel()
		c.Wait()
	})
	if len(posted) != len(effects) {
		t.Errorf("%d results posted, want one for each of %d effects", len(posted), len(effects))
	}
}

// Only a call that may have been executed has an unknown outcome.
func TestOutcomes(t *testing.T) {
	encode := func(message any) []byte {
		raw, err := wire.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for _, tt := range []struct {
		name   string
		status int
		body   []byte
		want   msg.Outcome
	}{
		{"done", http.StatusOK, encode(wire.MachineNames{Machines: []string{"m-1"}}), msg.OK},
		{"done, unreadable", http.StatusOK, []byte{0xc1}, msg.Unknown},
		{"no capacity", http.StatusServiceUnavailable, encode(wire.Error{Error: noCapacity}), msg.Conflict},
		{"another reason", http.StatusServiceUnavailable, encode(wire.Error{Error: "down"}), msg.Refused},
		{"no reason", http.StatusServiceUnavailable, []byte{0xc1}, msg.Refused},
		{"quota", http.StatusTooManyRequests, encode(wire.Error{Error: "quota"}), msg.Refused},
		{"invalid", http.StatusBadRequest, encode(wire.Error{Error: "bad"}), msg.Refused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write(tt.body)
			}))
			defer server.Close()
			cfg := &config.Config{}
			cfg.External.Cloud = strings.TrimPrefix(server.URL, "http://")
			cfg.Cluster.Cloud.RPS = 100
			posted := make(chan msg.Input, 1)
			c := New(cfg, func(in msg.Input) { posted <- in })
			c.Do(t.Context(), msg.ScaleOut{Request: wire.RentalRequest{Name: "r-1"}})
			done, ok := (<-posted).(msg.ScaleOutDone)
			if !ok || done.Name != "r-1" || done.Outcome != tt.want {
				t.Errorf("posted %+v, want a ScaleOutDone for r-1 with outcome %v", done, tt.want)
			}
			c.Wait()
		})
	}
}
