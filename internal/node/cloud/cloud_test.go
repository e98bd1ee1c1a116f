package cloud

import (
	"context"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/node/nodetest"
)

// Calls that the cloud does not answer end with their context, and those that still wait for the quota too.
func TestCallsEndWithTheirContext(t *testing.T) {
	server := nodetest.NewSilentServer(t)
	cfg := &config.Config{}
	cfg.External.Cloud = server.Address
	cfg.Cluster.Cloud.RPS = 0.5 / quotaShare // one of the effects below is sent at once, the others wait for 2 s each
	posted := make(chan msg.Input, 10)
	c := New(cfg, func(in msg.Input) { posted <- in })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	effects := []msg.Effect{msg.FetchCatalog{}, msg.ListMachines{}, msg.ScaleOut{}, msg.ScaleIn{}}
	for _, e := range effects {
		if !c.Do(ctx, e) {
			t.Fatalf("%T was not carried out", e)
		}
	}
	server.AwaitConnections(1)
	nodetest.EndsWithin(t, callTimeout/8, func() {
		cancel()
		c.Wait()
	})
	if len(posted) != len(effects) {
		t.Errorf("%d results for %d effects", len(posted), len(effects))
	}
}
