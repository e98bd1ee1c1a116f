package cluster

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// LoadBalancer forwards each request of a user to a node that is ready. It also passes submitted jobs to the
// emulated workers, in place of the descriptions that users upload for the workers to fetch.
type LoadBalancer struct {
	cluster *Cluster
	client  *http.Client
	mu      sync.Mutex
	ready   []*Node // as of the last probe
}

const (
	// probeInterval is how often the load balancer checks which nodes are ready.
	probeInterval = time.Second
	// forwardTimeout is how long a node may take to answer a forwarded request.
	forwardTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections kept to each node.
	maxIdleConns = 256
	// maxAttempts is the number of nodes that are tried for a request if forwarding it fails.
	maxAttempts = 3
	// retryAfterS is the value of Retry-After, in seconds, if no node could be reached.
	retryAfterS = "1"
	// runSpread is the standard deviation of the logarithm of the ratio of run time to estimate.
	runSpread = 0.3
)

// StartLoadBalancer serves users at an address until the cluster is closed, and returns the address that it
// listens on. If the port is in use, the error wraps syscall.EADDRINUSE.
func (c *Cluster) StartLoadBalancer(addr string) (string, error) {
	client := &http.Client{Timeout: forwardTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	b := &LoadBalancer{cluster: c, client: client}
	addr, err := c.serve(addr, b)
	if err != nil {
		return "", err
	}
	ctx, stop := context.WithCancel(context.Background())
	stopCluster := c.stop
	c.stop = func() {
		stop()
		stopCluster()
	}
	c.wg.Go(func() { b.probe(ctx) })
	return addr, nil
}

// probe updates the list of ready nodes until ctx ends.
func (b *LoadBalancer) probe(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	probeAll := func() {
		var ready []*Node
		for _, n := range b.cluster.Nodes {
			if n.Ready(ctx, b.client) {
				ready = append(ready, n)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
	}
	probeAll()
	wait.Every(ctx, probeInterval, probeAll)
}

// ServeHTTP forwards a request to a ready node chosen at random, and to another one if that fails.
func (b *LoadBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes+1))
	if err != nil {
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == wire.PathJobs {
		b.saveUpload(body)
	}
	for _, n := range b.pickNodes() {
		req, err := http.NewRequestWithContext(r.Context(), r.Method,
			"http://"+n.Users.Addr()+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			break
		}
		req.Header = r.Header.Clone()
		res, err := b.client.Do(req)
		if err != nil {
			continue
		}
		copyResponse(w, res)
		return
	}
	w.Header().Set("Retry-After", retryAfterS)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// pickNodes returns up to maxAttempts nodes to try, in random order: ready nodes, or any if none is ready.
func (b *LoadBalancer) pickNodes() []*Node {
	b.mu.Lock()
	nodes := slices.Clone(b.ready)
	b.mu.Unlock()
	if len(nodes) == 0 {
		nodes = slices.Clone(b.cluster.Nodes)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(maxAttempts, len(nodes))]
}

// copyResponse answers with a node's response and closes its body.
func copyResponse(w http.ResponseWriter, res *http.Response) {
	defer res.Body.Close()
	maps.Copy(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	_, _ = io.Copy(w, res.Body)
}

// saveUpload adds a submitted job to those known to the workers, if it is valid and new. The run time of
// its tasks is drawn from a log-normal distribution around the user's estimate, which counts as at least 1 s.
func (b *LoadBalancer) saveUpload(body []byte) {
	j, err := wire.ParseJob(body)
	if err != nil {
		return
	}
	run := config.FromSeconds(max(j.EstimateS, 1) * math.Exp(runSpread*rand.NormFloat64()))
	b.cluster.Servers.WithLock(func() {
		e := b.cluster.Servers.Environment
		if e.Jobs[j.ID] == nil {
			e.Jobs[j.ID] = &emulator.SubmittedJob{Job: j, RunTime: run}
			b.cluster.disk.SaveUpload(e.Jobs[j.ID])
		}
	})
}
