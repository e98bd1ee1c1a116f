//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"coralhub/wire"
)

// Settings as in the pages of the bureau (kit/more: mst-payroll-ops), with fewer machines.
const bureauSettings = `[cluster]
initial_size = 3
zones = ["trnava-hall", "zilina-hall"]
skew_ms = 25.0

[[cluster.teams]]
name = "mzdy-ops"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[cluster.teams]]
name = "stats-lab-nitra"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[cluster.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 45.0
gang_peer_s = 5.0
cancel_s = 36.0

[cluster.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8

[cluster.cloud]
rps = 8.0
list_lag_s = 8.0

[cluster.machine_limits]
cores = 0.3
memory_mb = 179.0
max_connections = 1800
`

// swarm: while a bureau's services run, a guest submits one array of many tiny tasks.
func swarm(e *Env) (int, error) {
	rec := e.rec
	const (
		machines   = 6
		services   = 12
		swarmTasks = 12_000
		watch      = 50 * time.Second
		maxBody    = 64 << 10
	)
	state := newState(4, 8, 120, 25, 3*time.Millisecond)
	var mu sync.Mutex
	malformed, tooLarge, largest, refused := 0, 0, 0, 0
	state.OnMalformed = func(reason string, size int, puts []string) {
		mu.Lock()
		malformed++
		mu.Unlock()
		rec.Printf("state service answers 400: %s (%d bytes of JSON): %s", reason, size, strings.Join(puts, " "))
	}
	state.OnLeader = func(node string) { go rec.Say("leader key: %q", node) }
	go state.run(e.stop)
	fleet := newFleet(rec, wire.MachineType{Name: "bureau-gpu-64", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 0.4,
		Price: 29.29, SpotPrice: 12.53, BootS: 45, Zones: []string{"trnava-hall", "zilina-hall"}}, 2.5, 16)
	fleet.OnBody = func(kind, machine string, size int) {
		if size <= maxBody {
			return
		}
		mu.Lock()
		tooLarge++
		largest = max(largest, size)
		n := tooLarge
		mu.Unlock()
		if n <= 10 {
			rec.Say("a controller sends %s a body of %d bytes (%s), more than 64 KiB", machine, size, kind)
		}
	}
	fleet.OnRefused = func(machine string, status, size int) {
		mu.Lock()
		refused++
		n := refused
		mu.Unlock()
		if n <= 10 {
			rec.Say("the report of %s (%d bytes of JSON) is answered with %d", machine, size, status)
		}
	}
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
	for _, n := range nodes.all {
		if err := nodes.startNode(n); err != nil {
			return 2, err
		}
		e.closers = append(e.closers, func() { nodes.kill(n) })
		fleet.nodes = append(fleet.nodes, n.client)
		fleet.nodeNames = append(fleet.nodeNames, n.name)
	}
	fleet.loop(e.stop)
	users := newUsers(rec, nodes)
	for _, n := range nodes.all {
		if !waitFor(10*time.Second, func() bool { return n.ready(http.DefaultClient) }) {
			return 2, errors.New(n.name + " is not ready")
		}
	}
	time.Sleep(2 * time.Second)
	rec.Say("controllers are ready, the leader is %s", state.Leader())
	var wg sync.WaitGroup
	serviceIDs := map[string]bool{}
	for i := range services {
		j := &wire.Job{ID: fmt.Sprintf("j-%06d", 100+i), Class: "sheet-reader", Team: "mzdy-ops", Shape: wire.Service,
			Priority: wire.Production, Tasks: 2, CPUs: 5, GPUs: 1, MemoryGB: 19, Image: "img-sheet", ImageGB: 0.4, Spread: true}
		serviceIDs[j.ID] = true
		fleet.upload(j, func(int) float64 { return 0 })
		wg.Go(func() { users.submit(j) })
	}
	wg.Wait()
	if !waitFor(15*time.Second, func() bool {
		for id := range serviceIDs {
			if _, ok := fleet.startedAt(id); !ok {
				return false
			}
		}
		return true
	}) {
		return 2, errors.New("the services have not started")
	}
	time.Sleep(2 * time.Second)
	rec.Say("%d services run", services)
	if e.trouble {
		j := &wire.Job{ID: "j-000900", Class: "microcheck-swarm", Team: "stats-lab-nitra", Shape: wire.Array, Priority: wire.Low,
			Tasks: swarmTasks, CPUs: 0.02, MemoryGB: 0.02, Image: "img-swarm", ImageGB: 0.2, EstimateS: 60}
		fleet.upload(j, func(int) float64 { return 60 })
		if !users.submit(j) {
			return 2, errors.New("the array was not accepted")
		}
		rec.Say("the array of %d tiny tasks is accepted", swarmTasks)
	}
	lostOf := func() (replicas int) {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		for _, t := range fleet.Lost {
			id, _, _ := wire.ParseTaskName(t)
			if serviceIDs[id] {
				replicas++
			}
		}
		return replicas
	}
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(5 * time.Second) {
		users.poll("j-000100")
		if e.trouble {
			users.poll("j-000900")
		}
	}
	gone := 0
	for _, m := range fleet.machines {
		m.mu.Lock()
		if m.gone {
			gone++
		}
		m.mu.Unlock()
	}
	lost := lostOf()
	mu.Lock()
	defer mu.Unlock()
	rec.Say("%d bodies of more than 64 KiB to workers, the largest of %d bytes; %d reports refused", tooLarge, largest, refused)
	rec.Say("%d replicas of other jobs were killed by the end of a lease, %d of %d sound machines were deleted, %d answers of the state service were 400",
		lost, gone, machines, malformed)
	if tooLarge > 0 || refused > 0 && lost > 0 {
		return 1, nil
	}
	return 0, nil
}
