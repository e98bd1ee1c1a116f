package main

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"time"

	"coralhub/wire"
)

// catchup is the deployment "Shared Catch-Up Platform" of the brief, with machines that boot at once.
func catchup() settings {
	return settings{
		zones: []string{"boston-rack", "portland-rack"}, nodeZones: []string{"boston-rack", "portland-rack", "boston-rack"},
		teams: `
[[cluster.teams]]
name = "newsroom-north"
cpus = 0.0
cpus_max = 0.0
gpus = 64.0
gpus_max = 160.0

[[cluster.teams]]
name = "archive-desk"
cpus = 0.0
cpus_max = 0.0
gpus = 56.0
gpus_max = 96.0
`,
		reportS: 2, leaseS: 10, cancelS: 40, gangWaitS: 40, gangPeerS: 6,
		rps: 120, writeRPS: 40, valueKB: 8, txnOps: 12, cloudRPS: 4, listLagS: 8,
		cores: 0.06, memoryMB: 125, maxConnections: 1200,
		machine: wire.MachineType{Name: "studio-gpu-24", CPUs: 24, GPUs: 4, MemoryGB: 192, CacheGB: 150, FetchGBPerS: 0.4,
			Price: 8.77, SpotPrice: 3.76, BootS: 50, Zones: []string{"boston-rack", "portland-rack"}},
		capacity: map[string]int{"boston-rack": 12, "portland-rack": 14},
		bootS:    2,
	}
}

func main() {
	runtime.LockOSThread() // the controllers end with this thread
	trouble := os.Getenv("TROUBLE") != "0"
	if len(os.Args) != 2 || os.Getenv("RECORD") == "" || os.Getenv("CORALHUB") == "" {
		fmt.Println("usage: RECORD=FILE CORALHUB=COMMAND standin2 CASE")
		os.Exit(2)
	}
	cases := map[string]func(bool){"lost": lost}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(2)
	}
	play(trouble)
}

// begin starts a deployment with its controllers and waits until they take requests.
func begin(set settings) *stage {
	s := newStage(set)
	for _, n := range s.nodes {
		s.writeConfig(n, s.stateAddr, s.cloud.addr, nil)
		s.start(n)
	}
	s.awaitReady(s.nodes...)
	s.awaitLeader(func(*node) bool { return true })
	return s
}

// array returns an array of CPU tasks that run for a time.
func array(id, class, team string, tasks int, cores, gpus, ram, runS float64) *wire.Job {
	return &wire.Job{ID: id, Class: class, Team: team, Shape: wire.Array, Priority: wire.Low, Tasks: tasks, CPUs: cores,
		GPUs: gpus, MemoryGB: ram, Image: "img-" + class, ImageGB: 0.2, EstimateS: runS}
}

// submit uploads a job's description and submits it, as a user does, at one node after the other.
func (s *stage) submit(j *wire.Job) bool {
	s.cloud.mu.Lock()
	s.cloud.jobs[j.ID] = j
	s.cloud.mu.Unlock()
	for try := range 20 {
		n := s.nodes[try%len(s.nodes)]
		status, _ := s.call(http.MethodPost, n.users, wire.PathJobs, j, 5*time.Second)
		s.say("user: submits %s (%d tasks of %g cores) to %s: %d", j.ID, j.Tasks, j.CPUs, n.name, status)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job's state at one node after the other until there is an answer.
func (s *stage) poll(id string) wire.JobStatus {
	var status wire.JobStatus
	for try := range 2 * len(s.nodes) {
		n := s.nodes[try%len(s.nodes)]
		code, body := s.call(http.MethodGet, n.users, wire.PathJobs+"/"+id, nil, 2*time.Second)
		if code == http.StatusOK && wire.Unmarshal(body, &status) == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}
