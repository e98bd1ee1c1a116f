package cluster

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"coralhub/internal/config"
	"coralhub/internal/emulator"
	"coralhub/internal/wait"
	"coralhub/wire"
)

// LoadBalancer is where users come in: a balancer that hands each request to a node that is
// ready. It takes down what they submit, as users upload descriptions for the workers
// to fetch.
type LoadBalancer struct {
	cluster *Cluster
	client  *http.Client
	mu      sync.Mutex
	ready   []*Node
}

// StartLoadBalancer serves users at an address until the cluster closes, and returns the address
// that it got.
func (c *Cluster) StartLoadBalancer(addr string) (string, error) {
	d := &LoadBalancer{cluster: c, client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	addr, err := c.serve(addr, d)
	if err != nil {
		return "", err
	}
	ctx, stop := context.WithCancel(context.Background())
	old := c.stop
	c.stop = func() { stop(); old() }
	c.wg.Go(func() { d.probe(ctx) })
	return addr, nil
}

// probe finds out every second which nodes are ready.
func (d *LoadBalancer) probe(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	look := func() {
		var ready []*Node
		for _, n := range d.cluster.Nodes {
			if n.Ready(ctx, d.client) {
				ready = append(ready, n)
			}
		}
		d.mu.Lock()
		d.ready = ready
		d.mu.Unlock()
	}
	look()
	wait.Every(ctx, time.Second, look)
}

// tries is how many nodes a request is handed to, if they refuse the connection.
const tries = 3

func (d *LoadBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil {
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == wire.PathJobs {
		d.saveUpload(body)
	}
	d.mu.Lock()
	nodes := append([]*Node(nil), d.ready...)
	d.mu.Unlock()
	if len(nodes) == 0 {
		nodes = d.cluster.Nodes
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, n := range nodes[:min(tries, len(nodes))] {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+n.Users.Addr()+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			break
		}
		req.Header = r.Header.Clone()
		res, err := d.client.Do(req)
		if err != nil {
			continue
		}
		defer res.Body.Close()
		for k, v := range res.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(res.StatusCode)
		_, _ = io.Copy(w, res.Body)
		return
	}
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// saveUpload keeps a description for the workers. A task runs as long as its owner thinks,
// give or take a half.
func (d *LoadBalancer) saveUpload(body []byte) {
	j, err := wire.ParseJob(body)
	if err != nil {
		return
	}
	run := config.FromSeconds(max(j.EstimateS, 1) * math.Exp(0.3*rand.NormFloat64()))
	d.cluster.Servers.With(func() {
		w := d.cluster.Servers.Environment
		if w.Jobs[j.ID] == nil {
			w.Jobs[j.ID] = &emulator.SubmittedJob{Job: j, Run: run}
			d.cluster.disk.Upload(w.Jobs[j.ID])
		}
	})
}
