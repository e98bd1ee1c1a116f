package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"coralhub/wire"
)

// cloud rents machines, each with a worker.
type cloud struct {
	*stage
	addr string

	mu       sync.Mutex
	jobs     map[string]*wire.Job // what users have uploaded
	workers  map[string]*worker
	rented   map[string]time.Time
	hires    map[string][]string
	next     int
	deleted  int
	onStart  func(w *worker, task string)      // with mu held by the worker
	onEnd    func(w *worker, task, why string) // the same
	onDelete func(w *worker)
}

func newCloud(s *stage) *cloud {
	c := &cloud{stage: s, jobs: map[string]*wire.Job{}, workers: map[string]*worker{}, rented: map[string]time.Time{},
		hires: map[string][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathCatalog, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, wire.Catalog{Types: []wire.MachineType{s.machine}})
	})
	mux.HandleFunc("GET "+wire.PathHosts, c.list)
	mux.HandleFunc("POST "+wire.PathHosts, c.rent)
	mux.HandleFunc("POST "+wire.PathRelease, c.release)
	c.addr = s.serve(mux)
	return c
}

// list lists the machines, each from list_lag_s after its rental on.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	var page wire.MachineList
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		age := time.Since(c.rented[name]).Seconds()
		if name <= r.URL.Query().Get("from") || age < c.listLagS {
			continue
		}
		if len(page.Machines) == most {
			page.More = true
			break
		}
		m := c.workers[name]
		status := "running"
		if !m.isUp() {
			status = "booting"
		}
		page.Machines = append(page.Machines, wire.Machine{Name: name, Addr: m.addr, Type: m.kind, Zone: m.zone,
			State: status, AgeS: age - c.listLagS})
	}
	answer(w, http.StatusOK, page)
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request wire.RentalRequest
	if !read(r, &request) {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.hires[request.Name]
	for !known && !request.Spot && len(names) < request.Count && c.capacity[request.Zone] > 0 {
		c.capacity[request.Zone]--
		names = append(names, c.add(request.Zone, c.bootS))
	}
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	c.hires[request.Name] = names
	c.say("cloud: %s rents %v in %s", request.Name, names, request.Zone)
	answer(w, http.StatusOK, wire.MachineNames{Machines: names})
}

// add adds a machine that is up after a time. c.mu must be held.
func (c *cloud) add(zone string, bootS float64) string {
	c.next++
	name := fmt.Sprintf("m-%06d", c.next)
	c.rented[name] = time.Now()
	c.workers[name] = newWorker(c, name, zone, time.Duration(bootS*float64(time.Second)))
	return name
}

func (c *cloud) release(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if !read(r, &request) || len(request.Machines) > wire.MaxMachinesPerRelease {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	var gone []*worker
	c.mu.Lock()
	for _, name := range request.Machines {
		if m := c.workers[name]; m != nil {
			gone = append(gone, m)
			delete(c.workers, name)
			c.capacity[m.zone]++
			c.deleted++
		}
	}
	c.mu.Unlock()
	for _, m := range gone {
		c.say("cloud: deletes %s, with %d tasks that had not ended", m.name, m.onMachine())
		if c.onDelete != nil {
			c.onDelete(m)
		}
		m.end()
	}
	answer(w, http.StatusOK, wire.MachineNames{Machines: []string{}})
}

func (c *cloud) job(id string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *cloud) all() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*worker
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		out = append(out, c.workers[name])
	}
	return out
}

func (c *cloud) close() {
	for _, m := range c.all() {
		m.end()
	}
}
