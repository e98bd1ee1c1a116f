package main

import (
	"fmt"
	"time"

	"coralhub/wire"
)

// tiny plays a burst of arrays of small tasks beside a task of another team.
func tiny(trouble bool) {
	s := begin(catchup())
	kills := map[string]int{}
	s.cloud.onEnd = func(w *worker, task, why string) {
		if why != wire.Done {
			kills[why]++
		}
	}
	factor := 1
	if trouble {
		factor = 3
	}
	var ids []string
	submit := func(j *wire.Job) {
		if !s.submit(j) {
			s.unable("%s was not accepted", j.ID)
		}
		ids = append(ids, j.ID)
	}
	submit(array("j-000001", "voice", "archive-desk", 1, 4, 1, 16, 40))
	time.Sleep(3 * time.Second)
	n := 0
	for range factor {
		n++
		submit(array(fmt.Sprintf("j-%06d", 100+n), "loudness", "newsroom-north", 1100, 0.006, 0, 0.02, 30))
	}
	last := map[string]string{}
	open := len(ids)
	for open > 0 && time.Since(s.began) < 110*time.Second {
		time.Sleep(time.Second)
		open = 0
		for _, id := range ids {
			st := s.poll(id)
			if st.Status != wire.Done {
				open++
			}
			if st.Done == nil {
				continue
			}
			if text := fmt.Sprintf("%s, %d done, %d running", st.Status, *st.Done, *st.Running); text != last[id] {
				last[id] = text
				s.say("user: %s is %s", id, text)
			}
		}
	}
	s.finish(open > 0, fmt.Sprintf("%d of %d jobs not done; %d machines deleted", open, len(ids), s.cloud.deleted))
}
