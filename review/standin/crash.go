//go:build review

package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"coralhub/wire"
)

// shortCheckpoints: a job with a very short interval between checkpoints; with the disruption its tasks fail.
func shortCheckpoints(e *Env) (int, error) {
	rec := e.rec
	const (
		machines = 6
		watch    = 45 * time.Second
	)
	state := newState(4, 8, 120, 25, 3*time.Millisecond)
	state.OnMalformed = func(reason string, size int, puts []string) {
		rec.Printf("state service answers 400: %s (%d bytes of JSON): %s", reason, size, strings.Join(puts, " "))
	}
	state.OnLeader = func(node string) { go rec.Say("leader key: %q", node) }
	go state.run(e.stop)
	fleet := newFleet(rec, wire.MachineType{Name: "bureau-gpu-64", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 0.4,
		Price: 29.29, SpotPrice: 12.53, BootS: 45, Zones: []string{"trnava-hall", "zilina-hall"}}, 2.5, 16)
	for i := range machines {
		if err := fleet.add([]string{"trnava-hall", "zilina-hall"}[i%2], false); err != nil {
			return 2, err
		}
	}
	nodes := &Nodes{rec: rec, program: e.program, dir: e.dir}
	err := nodes.settings([]string{"trnava-hall", "zilina-hall", "trnava-hall"}, e.serve(state), e.serve(fleet.CloudHandler()), bureauSettings)
	if err != nil {
		return 2, err
	}
	var mu sync.Mutex
	ended, closing := 0, false
	users := newUsers(rec, nodes)
	nodes.OnEnd = func(n *Node, _ string) {
		mu.Lock()
		ended++
		again := !closing
		mu.Unlock()
		users.setDown(n.name, true)
		if tail := nodes.lastPanic(n); tail != "" {
			rec.Say("log of %s: %s", n.name, tail)
		}
		if !again {
			return
		}
		go func() { // the platform starts it again
			time.Sleep(8 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			if !closing && nodes.startNode(n) == nil {
				users.setDown(n.name, false)
			}
		}()
	}
	for _, n := range nodes.all {
		if err := nodes.startNode(n); err != nil {
			return 2, err
		}
		fleet.nodes = append(fleet.nodes, n.client)
		fleet.nodeNames = append(fleet.nodeNames, n.name)
	}
	e.closers = append(e.closers, func() {
		mu.Lock()
		closing = true
		mu.Unlock()
		for _, n := range nodes.all {
			nodes.kill(n)
		}
	})
	fleet.loop(e.stop)
	for _, n := range nodes.all {
		if !waitFor(10*time.Second, func() bool { return n.ready(http.DefaultClient) }) {
			return 2, errors.New(n.name + " is not ready")
		}
	}
	time.Sleep(2 * time.Second)
	rec.Say("controllers are ready, the leader is %s", state.Leader())
	j := &wire.Job{ID: "j-000700", Class: "form-model-train", Team: "mzdy-ops", Shape: wire.Array, Priority: wire.High, Tasks: 2,
		CPUs: 6, GPUs: 1, MemoryGB: 24, Image: "img-form", ImageGB: 0.2, EstimateS: 3, CheckpointS: 0.0000002, SaveS: 1}
	fleet.upload(j, func(int) float64 { return 3 })
	fleet.mu.Lock()
	fleet.fails[j.ID] = e.trouble
	fleet.mu.Unlock()
	if !users.submit(j) {
		return 2, errors.New("the job was not accepted")
	}
	rec.Say("the job is accepted; its tasks fail: %v", e.trouble)
	answered, asked := 0, 0
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(time.Second) {
		status, _ := users.pollAny(j.ID)
		asked++
		if status == 200 {
			answered++
		}
	}
	mu.Lock()
	n := ended
	mu.Unlock()
	rec.Say("%d times a controller ended by itself; %d of %d polls were answered", n, answered, asked)
	if n > 0 {
		return 1, nil
	}
	return 0, nil
}
