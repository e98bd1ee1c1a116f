package emulator

import "coralhub/wire"

// Machine is a rented machine and its worker.
type Machine struct {
	wire.Machine
	StartsAt            Micros // when the worker starts or restarts
	Hanging             bool   // the worker neither acts nor answers requests
	Incarnation         uint64
	Sequence            uint64
	FencingToken        uint64 // the highest that the worker has received
	leaseStart          Micros // when the last answered heartbeat was sent, or the incarnation began
	tasks               []*task
	rentedAt            Micros
	Node                int               // index of the node that heartbeats are sent to
	NextAt              Micros            // when the next heartbeat is due
	sentAt              Micros            // when the last heartbeat was sent
	changed             bool              // the status has changed since sentAt, so that the next heartbeat is due earlier
	inFlight            bool              // a heartbeat is in flight
	Speed               float64           // how fast tasks run, relative to the usual speed
	imageReadyAt        map[string]Micros // when each image has been or will be fetched, by name
	recallAt            Micros            // when the cloud reclaims the machine; 0 if it does not
	recallWithoutNotice bool              // the worker gets no notice of the recall
	// InboundLost, unless empty, keeps answers and commands from reaching the worker, while its
	// heartbeats arrive: "drop" loses them, "hold" delivers direct commands once the fault is over.
	InboundLost string
	// OutboundLost means that none of the worker's heartbeats reach a node, while commands reach it.
	// Servers ignores it.
	OutboundLost bool
}

// minHeartbeatGap is the minimum time between two heartbeats if the status has changed.
const minHeartbeatGap = Second / 2

// maxAnswerAge is how long after a heartbeat was sent its answer is accepted.
const maxAnswerAge = 4 * Second

// recallNoticeS is the remaining time, in seconds, that a worker reports once it has notice of its
// machine's recall.
const recallNoticeS = 0.5

// defaultFetchGBs is the rate at which a machine fetches images, in GB per second, if the job sets none.
const defaultFetchGBs = 0.4

// NextHeartbeat returns the next heartbeat of the worker and advances its sequence number.
func (m *Machine) NextHeartbeat() wire.Heartbeat {
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
	if m.recallAt != 0 && !m.recallWithoutNotice {
		left := recallNoticeS
		h.NoticeS = &left
	}
	for _, t := range m.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return h
}

// Due reports whether the worker is due to send a heartbeat.
func (m *Machine) Due(now Micros) bool {
	if m.Hanging || m.inFlight || now < m.StartsAt {
		return false
	}
	return now >= m.NextAt || m.changed && now >= m.sentAt+minHeartbeatGap
}

// SetHeartbeatInFlight sets whether a heartbeat is in flight: until it is answered or has timed out, no other
// is sent.
func (m *Machine) SetHeartbeatInFlight(inFlight bool) { m.inFlight = inFlight }

// HeartbeatInFlight reports whether a heartbeat has been sent that is neither answered nor timed out.
func (m *Machine) HeartbeatInFlight() bool { return m.inFlight }

// HeartbeatSent records that a heartbeat is sent now, and that the next one is due after interval; 0 is
// treated as one second.
func (m *Machine) HeartbeatSent(now, interval Micros) {
	if interval == 0 {
		interval = Second
	}
	m.NextAt = now + interval
	m.sentAt = now
	m.changed = false
}

// observeFencingToken adopts a fencing token if it is higher than the worker's.
func (m *Machine) observeFencingToken(token uint64) {
	if token > m.FencingToken {
		m.FencingToken = token
		m.changed = true
	}
}

// Recall makes the cloud reclaim a machine at the given time, with or without notice to the worker.
func (m *Machine) Recall(at Micros, withoutNotice bool) {
	m.recallAt = at
	m.recallWithoutNotice = withoutNotice
	m.changed = true
}

// Tasks returns the number of tasks that have started on a machine and not ended.
func (m *Machine) Tasks() int {
	n := 0
	for _, t := range m.tasks {
		if t.onMachine {
			n++
		}
	}
	return n
}

// findTask returns an attempt of a task, or nil if the worker doesn't have it.
func (m *Machine) findTask(name string, attempt uint64) *task {
	for _, t := range m.tasks {
		if t.Task == name && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// removeTask removes a task from the worker, which no longer reports it from then on.
func (m *Machine) removeTask(removed *task) {
	for i, t := range m.tasks {
		if t == removed {
			m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
			return
		}
	}
}

// hasImage reports whether a machine has fetched the image of a job. An image is fetched once for all
// tasks that use it; the first call starts the fetch.
func (m *Machine) hasImage(now Micros, j *SubmittedJob) bool {
	ready, known := m.imageReadyAt[j.Image]
	if !known {
		rate := defaultFetchGBs
		if j.FetchGBs > 0 {
			rate = j.FetchGBs
		}
		ready = now + Micros(j.ImageGB/rate*float64(Second))
		m.imageReadyAt[j.Image] = ready
	}
	return now >= ready
}
