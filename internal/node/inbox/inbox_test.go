package inbox

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same cases every run; -rapid.seed draws others.
var _ = flag.Set("rapid.seed", "1")

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func TestAFloodOfUsersHoldsNobodyElseUp(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	l := New[Class](c.now)
	for l.Offer(Users, Users) {
	}
	for l.Offer(Submissions, Submissions) {
	}
	l.Post(Liveness, Liveness)
	if !l.Offer(Workers, Workers) {
		t.Fatal("a worker was refused for users' sake")
	}
	if x, ok := l.Next(); !ok || x.Input != Liveness {
		t.Errorf("first came %v", x.Input)
	}
	if x, ok := l.Next(); !ok || x.Input != Workers {
		t.Errorf("then %v", x.Input)
	}
}

func TestWhatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	l := New[int](c.now)
	l.Offer(Users, 1)
	l.Offer(Users, 2)
	c.at = c.at.Add(maxWaiting[Users].patience + 1)
	if l.Offer(Users, 3) {
		t.Error("taken though the one before it waits for too long already")
	}
	if x, _ := l.Next(); !x.Late {
		t.Error("who has given up was not told apart")
	}
	l.Next()
	if !l.Offer(Users, 4) {
		t.Error("an empty lane refuses")
	}
	if x, _ := l.Next(); x.Late || x.Input != 4 {
		t.Errorf("%+v", x)
	}
	l.Post(Liveness, 5)
	c.at = c.at.Add(time.Hour)
	if x, _ := l.Next(); x.Late {
		t.Error("an answer of the outside was dropped")
	}
}

// Whatever comes, nothing is lost or repeated, each lane keeps its order, and while a lane
// waits it gets its part of any turns.
func TestEveryLaneGetsItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{time.Unix(1, 0)}
		l := New[[2]int](c.now)
		var put, got [classes]int
		waits := [classes]int{} // turns that others had while it waited
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if lane := Class(rapid.IntRange(0, int(classes)).Draw(t, "lane")); lane < classes {
				if lane == Liveness {
					l.Post(Liveness, [2]int{int(lane), put[lane]})
				} else if !l.Offer(lane, [2]int{int(lane), put[lane]}) {
					t.Fatal("refused with room")
				}
				put[lane]++
				continue
			}
			x, ok := l.Next()
			if !ok {
				if got != put {
					t.Fatalf("got %v of %v", got, put)
				}
				continue
			}
			lane := x.Input[0]
			if x.Input[1] != got[lane] {
				t.Fatalf("lane %d: got %d, should be %d", lane, x.Input[1], got[lane])
			}
			got[lane]++
			for i := range waits {
				if waits[i]++; i == lane || put[i] == got[i] {
					waits[i] = 0
				}
				if waits[i] > 2*(weights[0]+weights[1]+weights[2]+weights[3]) {
					t.Fatalf("lane %d has waited for %d turns", i, waits[i])
				}
			}
		}
	})
}
