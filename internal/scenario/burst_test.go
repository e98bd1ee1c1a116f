package scenario

import (
	"fmt"
	"slices"
	"testing"

	"coralhub/internal/core/job"
	"coralhub/internal/core/msg"
	"coralhub/internal/emulator"
	"coralhub/wire"
)

// A burst of jobs arrives for 1,250 machines, more than they can run within seconds. The state service
// has a write quota, and the leader's loop is blocked for longer than its lease meanwhile. The leader
// doesn't change, every job is accepted and done, every poll is answered, and a job takes no more than
// four changes of the state service.
func TestBurstAtFleetSize(t *testing.T) {
	t.Parallel()
	const (
		scale = 208 // multiple of 6 machines with 4 GPUs each
		jobs  = 400
		tasks = 16
	)
	s := newSimOfScale(3, scale, 150)
	s.run(3 * emulator.Second)
	firstLeader := s.leader()
	startRevision := s.state.Revision()
	submit := func(i int) bool {
		j := &emulator.SubmittedJob{RunTime: 3 * emulator.Second}
		j.Job = wire.Job{ID: fmt.Sprintf("j-%d", i+1), Class: "flood", Team: "red", Shape: wire.Array, Priority: wire.Low,
			Tasks: tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: fmt.Sprint("i", i%3), ImageGB: 1, EstimateS: 3}
		a := s.submit(s.nodes[i%3], j)
		return a.Status == 201 || a.Status == 200
	}
	var rejected []int
	for i := range jobs {
		if !submit(i) {
			rejected = append(rejected, i)
		}
		if i%6 == 5 {
			s.run(tick)
		}
		if i == jobs/2 {
			s.node(firstLeader).busyUntil = s.now + 5*emulator.Second
		}
	}
	unfinished := func() (n int) {
		for i := range jobs {
			if !s.env.Done(fmt.Sprintf("j-%d", i+1)) {
				n++
			}
		}
		return n
	}
	seconds := 0
	for ; unfinished() > 0 && seconds < 60; seconds++ {
		s.run(emulator.Second)
		rejected = slices.DeleteFunc(rejected, submit) // rejected submissions are retried
		for i, n := range s.nodes {
			id := fmt.Sprintf("j-%d", (seconds*3+i)%jobs+1)
			if a := s.request(n, func(req uint64) msg.Input { return msg.PollIn{RequestID: req, JobID: id} }); a.Status != 200 {
				t.Errorf("poll of %s at %s: status %d, want 200", id, n.name, a.Status)
			}
		}
	}
	if n := unfinished(); n > 0 {
		t.Errorf("%d of %d jobs are not done after %d s", n, jobs, seconds)
	}
	if s.leader() != firstLeader || s.state.Get(job.KeyRoot+"leader").Version > startRevision {
		t.Errorf("leader %s with leader key at revision %d, want %s with leader key at revision %d or before", s.leader(),
			s.state.Get(job.KeyRoot+"leader").Version, firstLeader, startRevision)
	}
	if changes := float64(s.state.Revision()-startRevision) / jobs; changes > 4 {
		t.Errorf("%.1f changes per job, want at most 4", changes)
	}
	t.Logf("%d jobs done in %d s, %.1f changes per job", jobs, seconds, float64(s.state.Revision()-startRevision)/jobs)
	for _, b := range s.env.Violations {
		t.Error(b)
	}
}
