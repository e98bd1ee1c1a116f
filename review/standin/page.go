//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"coralhub/wire"
)

// Settings as in the pages of the consortium (kit/more/fleet, kit/more/hunt: qpac-catchup), with fewer machines.
const clusterSettings = `[cluster]
initial_size = 3
zones = ["a", "b"]
skew_ms = 25.0

[[cluster.teams]]
name = "newsroom-north"
cpus = 0.0
cpus_max = 0.0
gpus = 2500.0
gpus_max = 25000.0

[[cluster.teams]]
name = "archive-desk"
cpus = 0.0
cpus_max = 0.0
gpus = 2500.0
gpus_max = 18000.0

[[cluster.teams]]
name = "harbor-college-lab"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[cluster.workers]
report_s = 5.0
lease_s = 26.5
gang_wait_s = 45.0
gang_peer_s = 5.0
cancel_s = 56.5

[cluster.state]
rps = 400.0
write_rps = 150.0
value_kb = 8.0
txn_ops = 12

[cluster.cloud]
rps = 8.0
list_lag_s = 8.0

[cluster.machine_limits]
cores = 0.18
memory_mb = 356.0
max_connections = 3695
`

// outgrownPage: the leader is killed. Until another leads, arrays of three tiny tasks are accepted, which its successor places
// together. Two tasks of each end after seconds, the third takes long. Then wide arrays run, whose tasks end one by one.
func outgrownPage(e *Env) (int, error) {
	rec := e.rec
	const (
		machines   = 108 // eight of them in zone b, cheap ones
		tinyJobs   = 92
		tinyTasks  = 32
		arrays     = 14
		arrayTasks = 160
		limit      = 90 * time.Second // a job may wait that long while a machine that fits has room
		firstProbe = 21 * time.Second
		lastProbe  = 25 * time.Second
	)
	state := newState(8, 12, 400, 150, 3*time.Millisecond)
	var mu sync.Mutex
	malformed := 0
	state.OnMalformed = func(reason string, size int, puts []string) {
		mu.Lock()
		malformed++
		n := malformed
		mu.Unlock()
		if n <= 20 {
			rec.Say("state service answers 400: %s (%d bytes of JSON): %s", reason, size, strings.Join(puts, " "))
		}
	}
	state.OnLeader = func(node string) { go rec.Say("leader key: %q", node) }
	go state.run(e.stop)
	fleet := newFleet(rec, wire.MachineType{Name: "studio-gpu-24", CPUs: 24, GPUs: 4, MemoryGB: 192, CacheGB: 150, FetchGBPerS: 0.4,
		Price: 8.77, SpotPrice: 3.76, BootS: 50, Zones: []string{"a", "b"}}, 5, 26.5)
	for i := range machines {
		if err := fleet.add([]string{"b", "a"}[min(i/8, 1)], i < 8); err != nil {
			return 2, err
		}
	}
	nodes := &Nodes{rec: rec, program: e.program, dir: e.dir}
	err := nodes.settings([]string{"a", "b", "a"}, e.serve(state), e.serve(fleet.CloudHandler()), clusterSettings)
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
	go func() {
		for {
			select {
			case <-e.stop:
				return
			case <-time.After(time.Second):
				rec.Printf("stored: pages of placements %v bytes, pages of the completion log %v bytes", state.Sizes("ch/placed/"), state.Sizes("ch/ended/"))
			}
		}
	}()
	users := newUsers(rec, nodes)
	for _, n := range nodes.all {
		if !waitFor(10*time.Second, func() bool { return n.ready(http.DefaultClient) }) {
			return 2, errors.New(n.name + " is not ready")
		}
	}
	time.Sleep(1500 * time.Millisecond) // until the format is raised and the workers have reported
	rec.Say("controllers are ready, the leader is %s", state.Leader())

	next := 400
	job := func(class, team, rank string, tasks int, pull, expect float64) *wire.Job {
		next++
		return &wire.Job{ID: fmt.Sprintf("j-%06d", next), Class: class, Team: team, Shape: wire.Array, Priority: rank, Tasks: tasks,
			CPUs: 1, MemoryGB: 6.4, Image: "img-" + class, ImageGB: pull, EstimateS: expect}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, 24)
	submit := func(j *wire.Job) {
		slots <- struct{}{}
		wg.Go(func() {
			users.submit(j)
			<-slots
		})
	}
	leader := nodes.byName(state.Leader())
	if leader == nil {
		return 2, errors.New("nobody leads")
	}
	if e.trouble {
		users.setDown(leader.name, true)
		nodes.kill(leader)
		go func() {
			time.Sleep(8 * time.Second)
			if nodes.startNode(leader) == nil && waitFor(10*time.Second, func() bool { return leader.ready(http.DefaultClient) }) {
				users.setDown(leader.name, false)
			}
		}()
	}
	var tiny []string
	for range tinyJobs {
		j := job("snippet-probes", "harbor-college-lab", wire.Low, tinyTasks, 0.5, 8)
		j.CPUs, j.MemoryGB, j.Zone, j.Spot = 0.06, 0.2, "b", true
		fleet.upload(j, func(task int) float64 {
			if task%32 >= 24 {
				return 400
			}
			return 2 + rand.Float64()
		})
		tiny = append(tiny, j.ID)
		submit(j)
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	rec.Say("%d arrays of %d tiny tasks are accepted", tinyJobs, tinyTasks)
	if !waitFor(20*time.Second, func() bool {
		for _, id := range tiny {
			if _, ok := fleet.startedAt(id); !ok {
				return false
			}
		}
		return true
	}) {
		return 2, errors.New("the arrays of tiny tasks have not started")
	}
	rec.Say("they have started")
	for range arrays {
		j := job("clip-slicer", "archive-desk", wire.Low, arrayTasks, 0.5, 6)
		fleet.upload(j, func(task int) float64 {
			if task == 0 {
				return 400
			}
			return 1.5 + 4*rand.Float64()
		})
		submit(j)
	}
	wg.Wait()
	rec.Say("%d arrays of %d tasks are accepted", arrays, arrayTasks)
	time.Sleep(firstProbe - time.Since(rec.start))

	// Since when some machine has had room for a probe without a break.
	var room sync.Mutex
	roomSince := time.Now()
	go func() {
		for {
			select {
			case <-e.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if cores, _ := fleet.freeCores(); cores < 1 {
				room.Lock()
				roomSince = time.Now()
				room.Unlock()
			}
		}
	}()

	// Probes: small jobs that any machine could run.
	type probe struct {
		job        *wire.Job
		acceptedAt time.Time
	}
	var probes []*probe
	for time.Since(rec.start) < lastProbe {
		j := job("voice-model-train", "newsroom-north", wire.High, 1, 0.5, 1)
		fleet.upload(j, func(int) float64 { return 1 })
		if users.submit(j) {
			probes = append(probes, &probe{j, time.Now()})
		}
		time.Sleep(time.Second)
	}
	for {
		waiting := 0
		cores, name := fleet.freeCores()
		for _, p := range probes {
			if _, ok := fleet.startedAt(p.job.ID); ok {
				continue
			}
			waiting++
			room.Lock()
			short := time.Since(p.acceptedAt) < limit || time.Since(roomSince) < limit
			room.Unlock()
			if short {
				continue
			}
			status, s := users.poll(p.job.ID)
			rec.Say("%s was accepted %.1f s ago and has not started; a poll says %d %s; %s has %.0f free cores, and some machine had room all the time",
				p.job.ID, time.Since(p.acceptedAt).Seconds(), status, s.Status, name, cores)
			rec.Say("%d of the state service's answers were 400", malformed)
			return 1, nil
		}
		if waiting == 0 {
			rec.Say("all %d probes have started; %d of the state service's answers were 400", len(probes), malformed)
			return 0, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
}
