package emulator

import "coralhub/wire"

// Machine is a rented machine and its worker.
type Machine struct {
	wire.Machine
	Up           Micros // when the worker starts
	Hang         bool   // the worker does nothing, and answers no request
	Incarnation  uint64
	Sequence     uint64
	FencingToken uint64 // the highest that the worker knows
	leaseFrom    Micros // when the last heartbeat that was answered was sent
	tasks        []*task
	rentedAt     Micros
	Node         int               // index of the node that it reports to
	NextAt       Micros            // when the next heartbeat is due
	sentAt       Micros            // when the last heartbeat was sent
	changed      bool              // something has changed since, and a heartbeat is due earlier
	inFlight     bool              // a heartbeat is in flight
	Speed        float64           // how many times as fast as usual tasks run
	images       map[string]Micros // since when it has them, or will have
	recallAt     Micros            // when the cloud takes it back; 0: not
	silentRecall bool              // and it gives no notice
	// InboundLost has answers and commands not reach the worker, while its heartbeats arrive: "drop"
	// loses them, "hold" has direct commands arrive once the fault is over.
	InboundLost string
	// OutboundLost has none of its heartbeats reach anybody, while commands reach it.
	OutboundLost bool
}

// minHeartbeatGap is how long after a heartbeat the next one is sent at the earliest, if something has
// changed.
const minHeartbeatGap = Second / 2

// maxAnswerAge is how long after a heartbeat its answer still counts.
const maxAnswerAge = 4 * Second

// recallNoticeS is the time left that a worker reports once it knows of its machine's recall.
const recallNoticeS = 0.5

// defaultFetchGBs is the rate at which a machine fetches images, in GB a second.
const defaultFetchGBs = 0.4

// Status returns the next heartbeat of the worker.
func (m *Machine) Status() wire.Heartbeat {
	m.Sequence++
	h := wire.Heartbeat{
		Machine:      m.Name,
		Addr:         m.Addr,
		Type:         m.Type,
		Zone:         m.Zone,
		Spot:         m.Spot,
		Incarnation:  m.Incarnation,
		Sequence:     m.Sequence,
		FencingToken: m.FencingToken,
	}
	if m.recallAt != 0 && !m.silentRecall {
		left := recallNoticeS
		h.NoticeS = &left
	}
	for _, t := range m.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return h
}

// Due reports whether the worker is to send a heartbeat.
func (m *Machine) Due(now Micros) bool {
	if m.Hang || m.inFlight || now < m.Up {
		return false
	}
	return now >= m.NextAt || m.changed && now >= m.sentAt+minHeartbeatGap
}

// Wait sets whether a heartbeat is in flight: until it is answered or given up, no other is sent.
func (m *Machine) Wait(inFlight bool) { m.inFlight = inFlight }

// Waits reports whether a heartbeat is in flight.
func (m *Machine) Waits() bool { return m.inFlight }

// Reported notes that a heartbeat is sent, and when the next one is due; an interval of 0 is a second.
func (m *Machine) Reported(now, interval Micros) {
	if interval == 0 {
		interval = Second
	}
	m.NextAt = now + interval
	m.sentAt = now
	m.changed = false
}

// observeFencingToken notes a fencing token, if it is higher than the one known.
func (m *Machine) observeFencingToken(token uint64) {
	if token > m.FencingToken {
		m.FencingToken = token
		m.changed = true
	}
}

// Recall has the cloud take a machine back at a time, with or without notice to the worker.
func (m *Machine) Recall(at Micros, silent bool) {
	m.recallAt = at
	m.silentRecall = silent
	m.changed = true
}

// Tasks counts the tasks that have started on a machine and not left it.
func (m *Machine) Tasks() int {
	n := 0
	for _, t := range m.tasks {
		if t.onMachine {
			n++
		}
	}
	return n
}

// find returns an attempt of a task; nil if the worker doesn't know it.
func (m *Machine) find(name string, attempt uint64) *task {
	for _, t := range m.tasks {
		if t.Task == name && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// forget removes a task from the worker's memory.
func (m *Machine) forget(forgotten *task) {
	for i, t := range m.tasks {
		if t == forgotten {
			m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
			return
		}
	}
}

// hasImage reports whether a machine has the image of a job, which it fetches once for all tasks. The
// first call starts the fetch.
func (m *Machine) hasImage(now Micros, j *SubmittedJob) bool {
	ready, known := m.images[j.Image]
	if !known {
		rate := defaultFetchGBs
		if j.FetchGBs > 0 {
			rate = j.FetchGBs
		}
		ready = now + Micros(j.ImageGB/rate*float64(Second))
		m.images[j.Image] = ready
	}
	return now >= ready
}
