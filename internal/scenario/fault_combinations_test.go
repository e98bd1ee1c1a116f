package scenario

import (
	"fmt"
)

// faultCombinations are the kinds of combinations of faults, by name. Each adds its faults from the
// given time on and returns the time at which they have ended. The names seed the random numbers: a
// change of a name changes the days of that kind.
var faultCombinations = map[string]func(d *dayGenerator, at float64) float64{
	// The state service rejects only the leader, other nodes confirm cancellations, and then it is down
	// for all nodes.
	"gap": func(d *dayGenerator, at float64) float64 {
		d.add(at, "cut node=leader link=state")
		if d.rnd.IntN(3) == 0 {
			d.add(at, "cut node=deposed link=peers mode=%s", d.mode())
		}
		down := at + d.uniform(0, 12)
		d.isolateWorkers(at)
		d.cancelJobs(at, down+2, 1+d.rnd.IntN(6))
		if d.rnd.IntN(3) == 0 {
			d.add(d.uniform(at, down+5), "node node=leader kill")
			d.add(d.uniform(down, down+10), "start_all")
		}
		if d.rnd.IntN(3) == 0 { // the successor confirms a cancellation and restarts within a second
			restartAt := d.uniform(at+4, down+8)
			d.add(restartAt, "node node=successor kill")
			d.add(restartAt+d.uniform(0.1, 0.9), "start_all")
		}
		end := d.outage(down)
		d.cancelJobs(down, end, d.rnd.IntN(4))
		d.add(max(end, at+14), "heal node=all")
		return max(end, at+14)
	},
	// The state service goes down between a successor's election and its listing of the records, or soon
	// after that.
	"claimed": func(d *dayGenerator, at float64) float64 {
		if d.rnd.IntN(3) == 0 {
			d.add(at-1, "cut node=%s link=peers mode=%s", d.node(), d.mode())
		}
		d.isolateWorkers(at)
		if d.rnd.IntN(4) == 0 {
			d.add(at, "node node=leader kill")
		} else {
			d.add(at, "cut node=leader link=state")
		}
		d.cancelJobs(at, at+0.2, d.rnd.IntN(4))
		down := at + 0.2
		d.add(down, "await successor")
		if late := d.rnd.IntN(5); late > 2 {
			down += float64(late-2) * 0.3
		} else if late == 2 {
			d.cancelJobs(down, down+3, 2)
			down += d.uniform(0.5, 6)
		}
		end := d.outage(down)
		d.cancelJobs(down, end, d.rnd.IntN(4))
		if d.rnd.IntN(3) == 0 {
			d.add(d.uniform(down, end), "node node=successor kill")
			d.add(d.uniform(down, end)+1, "start_all")
		}
		d.add(end+d.uniform(0, 5), "heal node=all")
		d.add(end+6, "start_all")
		return end + 6
	},
	// The leader crashes while machines with long tasks hang, or receive neither responses nor commands.
	"unreached": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(4) {
			fault, repair := "hang", "resume"
			switch d.rnd.IntN(3) {
			case 0:
				fault, repair = "inbound_lost mode="+d.mode(), "inbound_restored"
			case 1:
				fault = "inbound_lost mode=hold"
				repair = "inbound_restored"
			}
			i, from := d.rnd.IntN(12), d.uniform(at-2, at+2)
			d.add(from, "machine nth=%d %s", i, fault)
			d.add(from+d.uniform(0.5, 2*d.lease), "machine nth=%d %s", i, repair)
		}
		d.cancelJobs(at-2, at+8, 1+d.rnd.IntN(4))
		d.add(at, "node node=leader kill")
		end := at + d.uniform(0.2, 12)
		d.add(end, "start_all")
		return max(end, at+2*d.lease+2)
	},
	// The leader crashes and all nodes are started again, several times. Then all nodes may crash and one
	// restart before the others. Nodes may restart within a second.
	"handover": func(d *dayGenerator, at float64) float64 {
		for range 2 + d.rnd.IntN(4) {
			d.add(at, "node node=leader kill")
			at += d.uniform(0.1, 5)
			d.cancelJobs(at-1, at+1, 1)
			d.add(at, "start_all")
			at += d.uniform(0.1, 6)
		}
		if d.rnd.IntN(2) == 0 {
			for i := range d.nodes {
				d.add(at, "node node=n%d kill", i+1)
			}
			at += d.uniform(0.1, 1)
			d.add(at, "node node=%s start", d.node())
			at += d.uniform(0.1, 10)
			d.add(at, "start_all")
		}
		return at
	},
	// A leader reaches only its workers and users, and jobs are cancelled through the successor.
	"alone": func(d *dayGenerator, at float64) float64 {
		mode := d.mode()
		d.add(at, "cut node=leader link=state mode=%s", []string{mode, "stall"}[d.rnd.IntN(2)])
		d.add(at, "cut node=deposed link=peers mode=%s", mode)
		d.isolateWorkers(at)
		end := at + d.uniform(4, d.cancelTime*1.5)
		d.cancelJobs(at, end, 2+d.rnd.IntN(5))
		d.add(end, "heal node=all")
		return end
	},
	// A node, possibly the delegate of a zone, loses its links to peers, to the state service or to both,
	// and jobs are cancelled.
	"homes": func(d *dayGenerator, at float64) float64 {
		n := d.node()
		for _, link := range []string{"peers", "state"} {
			if d.rnd.IntN(3) > 0 {
				d.add(d.uniform(at, at+3), "cut node=%s link=%s mode=%s", n, link, d.mode())
			}
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at, "cut node=leader link=workers mode=%s", d.mode())
		}
		end := at + d.uniform(4, d.cancelTime*1.5)
		d.cancelJobs(at, end, 2+d.rnd.IntN(5))
		d.add(end, "heal node=%s", n)
		d.add(end, "heal node=deposed")
		return end
	},
	// Copies of heartbeats arrive late, at any node, also after a failover.
	"copies": func(d *dayGenerator, at float64) float64 {
		if d.rnd.IntN(2) == 0 {
			d.add(at, "node node=leader kill")
			d.add(at+d.uniform(0.1, 4), "start_all")
		}
		for range 6 + d.rnd.IntN(10) {
			d.add(at+d.uniform(0, 10), "duplicate_heartbeats node=%s count=%d", []string{"leader", d.node()}[d.rnd.IntN(2)],
				1+d.rnd.IntN(20))
		}
		for range d.rnd.IntN(3) {
			d.add(at+d.uniform(0, 10), "machine nth=%d restart", d.rnd.IntN(12))
		}
		d.cancelJobs(at, at+10, d.rnd.IntN(4))
		return at + 10
	},
	// The state service rejects the leader and then all nodes, while users cancel and poll. The second
	// fault starts before or after the end of the first.
	"refused": func(d *dayGenerator, at float64) float64 {
		d.add(at, "cut node=leader link=state")
		healed := at + d.uniform(1, 14)
		d.add(healed, "heal node=deposed")
		end := d.outage(at + d.uniform(0, 16))
		d.cancelJobs(at, end, 4+d.rnd.IntN(4))
		return max(end, healed)
	},
	// A node crashes when it sends a transaction: of an election, a placement, a cancellation, an entry of
	// the completion log or a relayed heartbeat.
	"struck": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(3) {
			key := []string{"ch/leader", "ch/job", "ch/part", "ch/ended", "ch/mail"}[d.rnd.IntN(5)]
			d.add(at, "node kill on=%s%s", key, []string{"", " after"}[d.rnd.IntN(2)])
			d.cancelJobs(at, at+3, 1)
			at += d.uniform(0.5, 6)
			d.add(at, "start_all")
		}
		return at
	},
	// Users poll at all nodes right after a job was accepted, ended or confirmed as cancelled, and repeat
	// its submission; some cancel the job then. On some days responses are lost or held back.
	"looks": func(d *dayGenerator, at float64) float64 {
		d.add(0, "concurrent_requests cancel=%.2f at_end=%.2f seed=%d", d.uniform(0, 0.5), d.uniform(0, 0.8),
			d.rnd.IntN(1000))
		if d.rnd.IntN(3) == 0 {
			d.add(at, "node node=leader kill")
			d.add(at+d.uniform(0.1, 3), "start_all")
		}
		for range d.rnd.IntN(6) {
			d.submit(d.uniform(at, at+8), "tasks=%d run=%ds", 1+d.rnd.IntN(2), 1+d.rnd.IntN(4))
		}
		return at + 10
	},
	// Jobs are cancelled, polled and submitted again as their last task ends, without other faults.
	"at_end": func(d *dayGenerator, at float64) float64 {
		d.add(0, "concurrent_requests at_end=1 seed=%d", d.rnd.IntN(1000))
		for range 6 {
			d.submit(d.uniform(at, at+4), "tasks=%d run=%dms steps=%dms", 1+d.rnd.IntN(3), 500+100*d.rnd.IntN(30),
				100*d.rnd.IntN(20))
		}
		return at + 10
	},
	// Every team is at its limit, jobs whose machines hang or receive nothing are cancelled, and the leader
	// changes.
	"limits": func(d *dayGenerator, at float64) float64 {
		var ids []string
		for i := range 8 {
			ids = append(ids, d.submit(d.uniform(0, 2), "shape=%s tasks=%d gpus=%d team=%s run=%ds",
				[]string{"array", "service", "gang", "array"}[i%4],
				[]int{40, 8, 4, 70}[i%4], 1+d.rnd.IntN(2), []string{"red", "blue"}[i/4], []int{20, 200}[d.rnd.IntN(2)]))
		}
		at = max(at, 10)
		for range 2 + d.rnd.IntN(6) {
			i, from := d.rnd.IntN(16), d.uniform(at-1, at+1)
			fault, repair := "hang", "resume"
			if d.rnd.IntN(2) == 0 {
				fault, repair = "inbound_lost mode="+d.mode(), "inbound_restored"
			}
			d.add(from, "machine nth=%d %s", i, fault)
			d.add(from+d.uniform(0.5, 2*d.lease), "machine nth=%d %s", i, repair)
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at-1, "cloud down")
			d.add(at+d.lease, "cloud up")
		}
		for _, id := range ids {
			if d.rnd.IntN(2) == 0 {
				d.add(d.uniform(at, at+4), "cancel_with_retries id=%s", id)
			}
		}
		end := at + d.uniform(1, 8)
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(0, 3), "node node=leader kill")
			d.add(end, "start_all")
		} else {
			d.add(at+d.uniform(0, 3), "cut node=leader link=state mode=%s", d.mode())
			d.add(end+6, "heal node=all")
		}
		d.add(at+2*d.lease+2, "machine nth=0 resume")
		return max(end+6, at+2*d.lease+2)
	},
	// Jobs are cancelled during the seconds of a failover of the leader, or of another node, which may be a
	// delegate.
	"hands": func(d *dayGenerator, at float64) float64 {
		target := []string{"leader", "leader", "other"}[d.rnd.IntN(3)]
		switch d.rnd.IntN(3) {
		case 0:
			d.add(at, "node node=%s kill", target)
		case 1:
			d.add(at, "cut node=%s link=state", target)
			d.add(at, "cut node=deposed link=peers mode=%s", d.mode())
		case 2:
			d.add(at, "cut node=%s link=workers mode=%s", target, d.mode())
			d.add(at+d.uniform(0, 2), "node node=%s kill", target)
		}
		for i := range d.jobs {
			if d.rnd.IntN(2) == 0 {
				d.add(d.uniform(at-0.5, at+6), "cancel_with_retries id=j-%d", i)
			}
		}
		d.add(at+8, "start_all")
		d.add(at+8, "heal node=all")
		return at + 8
	},
	// New machines are up within two seconds, before the cloud lists them, and get tasks at once; the leader
	// crashes, and writes may be slow.
	"newborn": func(d *dayGenerator, at float64) float64 {
		for range 4 {
			d.submit(at+d.uniform(0, 1), "shape=%s tasks=%d gpus=2 run=%ds",
				[]string{"array", "gang", "service"}[d.rnd.IntN(3)], 2+d.rnd.IntN(6), []int{5, 60}[d.rnd.IntN(2)])
		}
		d.add(at+d.uniform(0.3, 4), "node node=leader kill")
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(4, 8), "node node=leader kill")
		}
		d.cancelJobs(at, at+8, d.rnd.IntN(3))
		d.add(at+10, "start_all")
		return at + 10
	},
	// Copies of old heartbeats reach every node just as a new leader starts.
	"old_word": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(3) {
			if d.rnd.IntN(2) == 0 {
				d.add(at, "node node=leader kill")
			} else {
				d.add(at, "cut node=leader link=state")
			}
			d.add(at, "machine nth=%d restart", d.rnd.IntN(12))
			d.cancelJobs(at-1, at+3, d.rnd.IntN(3))
			d.add(at+0.3, "until leads")
			for range 4 {
				d.add(at+0.3+d.uniform(0, 2), "duplicate_heartbeats node=all count=%d", 1+d.rnd.IntN(15))
			}
			d.add(at+4, "start_all")
			d.add(at+4, "heal node=all")
			at += 6
		}
		return at
	},
	// Four jobs of one task are submitted each second, and a quarter of them cancelled.
	"flood": func(d *dayGenerator, at float64) float64 {
		for i := range 4 * (10 + d.rnd.IntN(30)) {
			arrival := at + float64(i)/4
			id := d.submit(arrival, "tasks=1 team=%s run=%ds", []string{"red", "blue"}[i%2], 1+d.rnd.IntN(4))
			if i%4 == 0 {
				d.add(arrival+d.uniform(0, 5), "cancel_with_retries id=%s", id)
			}
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(1, 10), "node node=leader kill")
			d.add(at+d.uniform(11, 14), "start_all")
		}
		return at + 40
	},
	// The heartbeats of workers reach no node, while direct commands reach the workers.
	"mute": func(d *dayGenerator, at float64) float64 {
		end := at
		for range 1 + d.rnd.IntN(5) {
			i, from := d.rnd.IntN(12), d.uniform(at, at+2)
			restoredAt := from + d.uniform(1, 3*d.lease)
			d.add(from, "machine nth=%d outbound_lost", i)
			d.add(restoredAt, "machine nth=%d outbound_restored", i)
			end = max(end, restoredAt)
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at+d.uniform(0, 4), "node node=leader kill")
			d.add(at+d.uniform(4, 9), "start_all")
		}
		d.cancelJobs(at, at+10, d.rnd.IntN(4))
		return end
	},
	// Jobs with a zone constraint lose machines.
	"bound": func(d *dayGenerator, at float64) float64 {
		for range 5 {
			d.submit(d.uniform(0, 2), "shape=%s tasks=%d gpus=%d zone=%s run=%ds save=%d",
				[]string{"array", "gang", "service"}[d.rnd.IntN(3)],
				2+d.rnd.IntN(6), 1+d.rnd.IntN(2), []string{"a", "b"}[d.rnd.IntN(2)], []int{20, 60}[d.rnd.IntN(2)], 2*d.rnd.IntN(2))
		}
		at = max(at, 8)
		for range 2 + d.rnd.IntN(5) {
			d.add(d.uniform(at, at+6), "machine nth=%d %s", d.rnd.IntN(12),
				[]string{"die", "hang", "restart", "fail"}[d.rnd.IntN(4)])
		}
		if d.rnd.IntN(3) == 0 {
			d.add(at+d.uniform(0, 6), "node node=leader kill")
			d.add(at+8, "start_all")
		}
		for i := range 16 {
			d.add(at+10+d.uniform(0, d.lease), "machine nth=%d resume", i)
		}
		return at + 10 + d.lease
	},
	// All nodes are down for longer than a lease, and one restarts before the others.
	"away": func(d *dayGenerator, at float64) float64 {
		for i := range d.nodes {
			d.add(at, "node node=n%d kill", i+1)
		}
		if d.rnd.IntN(2) == 0 {
			d.cancelJobs(at-1, at, 3)
		}
		end := at + d.lease*d.uniform(1.05, 1.6)
		d.add(end, "node node=%s start", d.node())
		d.add(end+d.uniform(0, 4), "start_all")
		return end + 4
	},
	// The leader changes ten times in two minutes, also during an outage.
	"ten": func(d *dayGenerator, at float64) float64 {
		outageAt := d.rnd.IntN(12)
		for i := range 10 {
			d.add(at, "node node=leader kill")
			if i == outageAt {
				d.add(at+0.5, "state down")
				d.add(at+9, "state up")
			}
			d.add(at+d.uniform(0.1, 10), "start_all")
			d.cancelJobs(at, at+10, d.rnd.IntN(2))
			at += 12
		}
		return at
	},
	// A zone with its workers and a node is partitioned from everything for longer than a lease.
	"zone": func(d *dayGenerator, at float64) float64 {
		n, mode := 1+d.rnd.IntN(d.nodes), d.mode()
		zone := location(fmt.Sprintf("n%d", n))
		end := at + d.lease*d.uniform(1.05, 2)
		d.add(at, "zone name=%s cut mode=%s", zone, mode)
		d.cancelJobs(at-1, end, 1+d.rnd.IntN(5))
		if d.rnd.IntN(3) == 0 {
			d.add(d.uniform(at, end), "node node=leader kill")
			d.add(end, "start_all")
		}
		d.add(end, "heal node=all")
		return end
	},
	// Jobs are cancelled just as they are placed, with their start commands in flight over slow links.
	"just_placed": func(d *dayGenerator, at float64) float64 {
		d.add(0, "message_faults seed=%d slow_reports=%.2f held_calls=%.2f lost_calls=%.2f slow_there=%.2f",
			d.rnd.IntN(1000), d.uniform(0.3, 1), d.uniform(0, 0.3), d.uniform(0, 0.3), d.uniform(0, 0.3))
		for range 12 {
			arrival := at + d.uniform(0, 10)
			id := d.submit(arrival, "shape=%s tasks=%d run=60s", []string{"array", "array", "gang", "service"}[d.rnd.IntN(4)],
				1+d.rnd.IntN(5))
			d.add(arrival+d.uniform(0.1, 3), "cancel_with_retries id=%s", id)
		}
		if d.rnd.IntN(3) == 0 {
			d.add(at+d.uniform(0, 10), "node node=leader kill")
			d.add(at+12, "start_all")
		}
		return at + 14
	},
	// There is more work than capacity, urgent and not, over slow links.
	"crowd": func(d *dayGenerator, at float64) float64 {
		d.add(0, "message_faults seed=%d slow_reports=%.2f slow_beats=%.2f slow_writes=%.2f slow_there=%.2f",
			d.rnd.IntN(1000), d.uniform(0.2, 0.6), d.uniform(0.2, 0.6), d.uniform(0, 0.4), d.uniform(0, 0.3))
		for range 25 {
			d.submit(d.uniform(0, 12), "shape=%s tasks=%d gpus=%d team=%s rank=%s run=%ds",
				[]string{"array", "array", "gang", "service"}[d.rnd.IntN(4)],
				1+d.rnd.IntN(8), 1+d.rnd.IntN(4), []string{"red", "blue"}[d.rnd.IntN(2)],
				[]string{"production", "high", "normal", "low"}[d.rnd.IntN(4)], 2+d.rnd.IntN(10))
		}
		d.cancelJobs(at, at+10, 3)
		return at + 15
	},
	// Workers restart with the next incarnation while the leader crashes. Workers that lose their state aren't
	// tested here, since the protocol doesn't cover them: a late heartbeat from before the restart would
	// count as newer than the heartbeats after it.
	"machines": func(d *dayGenerator, at float64) float64 {
		for range 1 + d.rnd.IntN(4) {
			d.add(d.uniform(at, at+4), "machine nth=%d restart", d.rnd.IntN(12))
		}
		if d.rnd.IntN(2) == 0 {
			d.add(at, "node node=leader kill")
			d.add(at+d.uniform(0.1, 5), "start_all")
		}
		d.cancelJobs(at, at+5, d.rnd.IntN(3))
		return at + 5
	},
}
