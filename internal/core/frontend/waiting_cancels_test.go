package frontend

import (
	"slices"
	"testing"

	"coralhub/internal/core/msg"
	"coralhub/internal/core/outbox"
)

// A waiting cancellation is answered exactly once: when its job is cancelled, or when it has waited too long.
func TestWaitingCancelsAreAnsweredOnce(t *testing.T) {
	out := outbox.New(nil)
	waiting := waitingCancels{outbox: out, byJob: map[string][]waitingCancel{}}
	out.Begin(0)
	waiting.add(1, "job-a")
	waiting.add(2, "job-b")
	out.Begin(cancelDeadline / 2)
	waiting.add(3, "job-a")

	out.Begin(cancelDeadline)
	waiting.refuseLate()
	if got := respondedTo(out.End()); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("refused %v", got)
	}
	if got := waiting.remove("job-a"); !slices.Equal(got, []uint64{3}) {
		t.Errorf("job-a had %v", got)
	}
	if got := waiting.remove("job-b"); len(got) > 0 || len(waiting.byJob) > 0 {
		t.Errorf("job-b had %v, left %v", got, waiting.byJob)
	}
}

// respondedTo returns the requests to which the effects respond.
func respondedTo(effects []msg.Effect) []uint64 {
	var requestIDs []uint64
	for _, effect := range effects {
		if response, ok := effect.(msg.Respond); ok {
			requestIDs = append(requestIDs, response.RequestID)
		}
	}
	return requestIDs
}
