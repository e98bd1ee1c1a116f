package cluster

import (
	"slices"
	"sync"
	"testing"
)

// Requests that come while no node is ready don't reorder the nodes that the cluster shares.
func TestPickNodesKeepsTheClustersOrder(t *testing.T) {
	cluster := &Cluster{Nodes: []*Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}}
	order := slices.Clone(cluster.Nodes)
	b := &LoadBalancer{cluster: cluster}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				b.pickNodes()
			}
		})
	}
	wg.Wait()
	if !slices.Equal(cluster.Nodes, order) {
		t.Error("the cluster's nodes were reordered")
	}
}
