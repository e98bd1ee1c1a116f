package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"coralhub/wire"
)

// lost plays a job that is placed on a machine which has just hung, by a transaction whose answer is lost because the
// state service goes down. The machine is deleted meanwhile.
func lost(trouble bool) {
	set := catchup()
	set.reportS, set.leaseS, set.cancelS, set.gangWaitS, set.gangPeerS, set.listLagS = 1, 8, 16, 20, 3, 2
	s := begin(set)
	var mu sync.Mutex
	ran := map[string]*worker{}
	s.cloud.onStart = func(w *worker, task string) {
		s.say("%s: %s runs", w.name, task)
		mu.Lock()
		ran[task] = w
		mu.Unlock()
	}
	s.cloud.onEnd = func(w *worker, task, why string) { s.say("%s: %s ends: %s", w.name, task, why) }
	where := func(task string) *worker {
		mu.Lock()
		defer mu.Unlock()
		return ran[task]
	}
	submit := func(id string, runS float64) {
		if !s.submit(array(id, "payslip", "newsroom-north", 1, 6, 1, 24, runS)) {
			s.unable("%s was not accepted", id)
		}
	}
	submit("j-000001", 1)
	for s.poll("j-000001").Status != wire.Done {
		if time.Since(s.began) > 20*time.Second {
			s.unable("the first job is not done")
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.say("user: j-000001 is done")
	time.Sleep(500 * time.Millisecond)
	m := where("j-000001/0")
	m.awaitAnswer()
	if trouble {
		match := func(t *wire.Transaction) bool { return places(t, "j-000002") }
		s.outage.length.Store(int64(15 * time.Second))
		s.outage.armed.Store(&match)
		m.hang(true)
	}
	time.Sleep(2800 * time.Millisecond)
	go submit("j-000002", 5)
	if trouble {
		for deadline := time.Now().Add(25 * time.Second); !s.outage.over.Load(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				s.unable("the outage did not come about")
			}
		}
	}
	over := time.Now()
	time.Sleep(2 * time.Second)
	submit("j-000003", 300)
	const bound = 90 * time.Second
	for time.Since(over) < bound+500*time.Millisecond && where("j-000002/0") == nil {
		time.Sleep(100 * time.Millisecond)
	}
	waited := time.Since(over)
	s.say("user: j-000002 is %s", s.poll("j-000002").Status)
	if where("j-000002/0") != nil {
		s.finish(false, fmt.Sprintf("j-000002 has run, within %.0f s of the last trouble", waited.Seconds()))
	}
	other := where("j-000003/0")
	if other == nil {
		s.unable("the job after the troubles did not run either")
	}
	for _, n := range s.nodes { // not part of the check
		status, _ := s.call(http.MethodPost, n.users, wire.PathJobs+"/j-000002/"+wire.CancelVerb, nil, 5*time.Second)
		s.say("user: cancels j-000002 at %s: %d", n.name, status)
	}
	s.finish(true, fmt.Sprintf("j-000002, accepted, has no start %.0f s after the last trouble; j-000003, of the same kind and submitted later, "+
		"runs on %s, which has had room for both", waited.Seconds(), other.name))
}
