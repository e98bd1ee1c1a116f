package cluster

import (
	"slices"
	"sync"
	"testing"
)

// pickNodes shuffles the nodes. If none is ready it must shuffle a copy of the cluster's list, which is shared.
func TestPickNodesDoesNotReorderNodes(t *testing.T) {
	cluster := &Cluster{Nodes: []*Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}}
	want := slices.Clone(cluster.Nodes)
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
	if !slices.Equal(cluster.Nodes, want) {
		t.Error("pickNodes reordered the cluster's nodes")
	}
}
