package inbox

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Fixes the seed, so that every run checks the same cases; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func TestUsersDoNotDelayOtherClasses(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	inbox := New[Class](c.now)
	for inbox.Offer(Users, Users) {
	}
	for inbox.Offer(Submissions, Submissions) {
	}
	inbox.Post(Liveness, Liveness)
	if !inbox.Offer(Workers, Workers) {
		t.Fatal("a worker's input was refused while the queues of users are full")
	}
	if x, ok := inbox.Next(); !ok || x.Input != Liveness {
		t.Errorf("first input is of class %v, want Liveness", x.Input)
	}
	if x, ok := inbox.Next(); !ok || x.Input != Workers {
		t.Errorf("second input is of class %v, want Workers", x.Input)
	}
}

func TestShedsExpiredRequests(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	inbox := New[int](c.now)
	inbox.Offer(Users, 1)
	inbox.Offer(Users, 2)
	c.at = c.at.Add(limits[Users].maxWait + 1)
	if inbox.Offer(Users, 3) {
		t.Error("input accepted although the one before it has expired")
	}
	if x, _ := inbox.Next(); !x.Expired {
		t.Error("expired input not marked as expired")
	}
	inbox.Next()
	if !inbox.Offer(Users, 4) {
		t.Error("input refused by an empty queue")
	}
	if x, _ := inbox.Next(); x.Expired || x.Input != 4 {
		t.Errorf("took %+v, want input 4, not expired", x)
	}
	inbox.Post(Liveness, 5)
	c.at = c.at.Add(time.Hour)
	if x, _ := inbox.Next(); x.Expired {
		t.Error("posted input marked as expired, want it never to be shed")
	}
}

// For any sequence of inputs, none is lost or repeated, each class keeps its order, and a class with waiting
// inputs gets its share of the inputs taken.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{time.Unix(1, 0)}
		inbox := New[[2]int](c.now)
		var put, got [numClasses]int
		waits := [numClasses]int{} // by class: inputs of other classes taken while it waited
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if class := Class(rapid.IntRange(0, int(numClasses)).Draw(t, "class")); class < numClasses {
				if class == Liveness {
					inbox.Post(Liveness, [2]int{int(class), put[class]})
				} else if !inbox.Offer(class, [2]int{int(class), put[class]}) {
					t.Fatal("input refused by a queue that is not full")
				}
				put[class]++
				continue
			}
			x, ok := inbox.Next()
			if !ok {
				if got != put {
					t.Fatalf("inbox is empty after %v inputs taken by class, want %v", got, put)
				}
				continue
			}
			class := x.Input[0]
			if x.Input[1] != got[class] {
				t.Fatalf("class %d: took input %d, want %d", class, x.Input[1], got[class])
			}
			got[class]++
			for i := range waits {
				if waits[i]++; i == class || put[i] == got[i] {
					waits[i] = 0
				}
				if waits[i] > 2*(weights[0]+weights[1]+weights[2]+weights[3]) {
					t.Fatalf("class %d has waited while %d inputs of other classes were taken", i, waits[i])
				}
			}
		}
	})
}

// Goroutines that post responses to a loop that has ended don't block.
func TestClosedInboxDropsInputs(t *testing.T) {
	inbox := New[int]((&clock{time.Unix(1, 0)}).now)
	for range limits[Liveness].length {
		inbox.Post(Liveness, 1)
	}
	const posters = 3
	posted := make(chan struct{}, posters)
	for range posters {
		go func() {
			inbox.Post(Liveness, 2)
			posted <- struct{}{}
		}()
	}
	select {
	case <-posted:
		t.Fatal("Post to a full class returned, want it to block")
	case <-time.After(20 * time.Millisecond):
	}
	inbox.Close()
	for range posters {
		select {
		case <-posted:
		case <-time.After(10 * time.Second):
			t.Fatal("Post is still blocked 10 s after Close")
		}
	}
	inbox.Post(Liveness, 3)
	if inbox.Offer(Users, 3) {
		t.Error("Offer to a closed inbox returned true")
	}
}
