package frontend

import (
	"slices"
	"testing"

	"coralhub/internal/config"
	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
	"coralhub/internal/core/records"
)

// recordingResponder records which polls were answered.
type recordingResponder struct{ answered []uint64 }

func (r *recordingResponder) respondToPoll(p pendingPoll, _ *records.Job) {
	r.answered = append(r.answered, p.requestID)
}

func (r *recordingResponder) readCurrent(uint64, string, func(*records.Job)) {}

func newPollQueue() (*pollQueue, *recordingResponder) {
	responder := &recordingResponder{}
	queue := &pollQueue{
		outbox:    outbox.New(nil),
		replica:   records.New(nil),
		encoding:  records.NewEncoding(&config.State{TxnOps: 10}),
		responder: responder,
	}
	return queue, responder
}

// Polls that arrive together share one check; one that arrives while it is in flight waits for the next.
func TestPollsShareACheck(t *testing.T) {
	queue, responder := newPollQueue()
	queue.outbox.Begin(config.Second)
	queue.add(1, "job-a")
	queue.add(2, "job-a")
	queue.add(3, "job-b")
	queue.check()
	queue.add(4, "job-a")
	queue.check()
	var checks []msg.Commit
	for _, effect := range queue.outbox.End() {
		if commit, ok := effect.(msg.Commit); ok {
			checks = append(checks, commit)
		}
	}
	if len(checks) != 1 || len(checks[0].Transaction.Conditions) != 2 {
		t.Fatalf("checks %+v", checks)
	}
	queue.outbox.Begin(config.Second)
	queue.outbox.CommitDone(msg.CommitDone{ID: checks[0].ID, Outcome: msg.OK})
	if !slices.Equal(responder.answered, []uint64{1, 2, 3}) || queue.checkInFlight || len(queue.pending) != 1 {
		t.Errorf("answered %v, %d pending", responder.answered, len(queue.pending))
	}
}

// Polls that arrived before the watch's last request are answered by its response, without a check.
func TestWatchAnswersPolls(t *testing.T) {
	queue, responder := newPollQueue()
	queue.outbox.Begin(config.Second)
	queue.add(1, "job-a")
	queue.outbox.Begin(2 * config.Second)
	queue.add(2, "job-a")
	queue.replica.NoteCurrent(2 * config.Second)
	queue.watchAdvanced()
	if !slices.Equal(responder.answered, []uint64{1}) || len(queue.pending) != 1 {
		t.Errorf("answered %v, %d pending", responder.answered, len(queue.pending))
	}
}

// A poll that has waited longer than pollDeadline is refused, also while its check is in flight.
func TestLatePollsAreRefused(t *testing.T) {
	queue, _ := newPollQueue()
	queue.outbox.Begin(config.Second)
	queue.add(1, "job-a")
	queue.check()
	queue.add(2, "job-a")
	queue.outbox.Begin(config.Second + pollDeadline)
	queue.add(3, "job-a")
	queue.refuseLate()
	if got := respondedTo(queue.outbox.End()); len(got) > 0 {
		t.Errorf("refused %v at the deadline", got)
	}
	queue.outbox.Begin(config.Second + pollDeadline + 1)
	queue.refuseLate()
	if got := respondedTo(queue.outbox.End()); !slices.Equal(got, []uint64{2, 1}) {
		t.Errorf("refused %v", got)
	}
}
