package main

import (
	"fmt"
	"sync"
	"time"

	"coralhub/wire"
)

// leak plays a job that is placed on a machine which has just hung, by a transaction whose answer is lost in an outage
// of the state service. The machine is deleted meanwhile.
func leak(trouble bool) {
	set := catchup()
	set.listLagS = 3
	s := begin(set)
	var mu sync.Mutex
	started := map[string]time.Time{}
	s.cloud.onStart = func(w *worker, task string) {
		s.say("%s: %s runs", w.name, task)
		mu.Lock()
		started[task] = time.Now()
		mu.Unlock()
	}
	has := func(task string) bool {
		mu.Lock()
		defer mu.Unlock()
		_, ok := started[task]
		return ok
	}
	if !s.submit(array("j-000001", "loudness", "newsroom-north", 1, 5, 1, 36, 1)) {
		s.unable("not accepted")
	}
	for s.poll("j-000001").Status != wire.Done {
		if time.Since(s.began) > 20*time.Second {
			s.unable("the first job is not done")
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.say("user: j-000001 is done")
	time.Sleep(time.Second)
	if trouble {
		s.outage.length.Store(int64(20 * time.Second))
		match := func(t *wire.Transaction) bool { return places(t, "j-000002") }
		s.outage.armed.Store(&match)
		for _, w := range s.cloud.all() {
			w.hang(true)
		}
		time.Sleep(3 * time.Second)
	}
	if !s.submit(array("j-000002", "loudness", "newsroom-north", 1, 5, 1, 36, 5)) {
		s.unable("not accepted")
	}
	if trouble {
		for deadline := time.Now().Add(30 * time.Second); !s.outage.over.Load(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				s.unable("the outage did not come about")
			}
		}
	}
	over := time.Now()
	time.Sleep(2 * time.Second)
	if !s.submit(array("j-000003", "loudness", "newsroom-north", 1, 5, 1, 36, 300)) {
		s.unable("not accepted")
	}
	for time.Since(over) < 90*time.Second && time.Since(s.began) < 118*time.Second && !has("j-000002/0") {
		time.Sleep(100 * time.Millisecond)
	}
	status := s.poll("j-000002")
	s.say("user: j-000002 is %s", status.Status)
	if has("j-000002/0") {
		s.finish(false, "j-000002 has run")
	}
	if !has("j-000003/0") {
		s.unable("the job after the troubles did not run either")
	}
	s.finish(true, fmt.Sprintf("j-000002 was accepted and has not run, %.0f s after the last trouble; it is called %s; j-000003, "+
		"which came later, runs on a machine with room for both", time.Since(over).Seconds(), status.Status))
}
