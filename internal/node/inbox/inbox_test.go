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

func TestUsersDoNotDelayOtherClasses(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	inbox := New[Class](c.now)
	for inbox.Offer(Users, Users) {
	}
	for inbox.Offer(Submissions, Submissions) {
	}
	inbox.Post(Liveness, Liveness)
	if !inbox.Offer(Workers, Workers) {
		t.Fatal("a worker was refused because of users")
	}
	if x, ok := inbox.Next(); !ok || x.Input != Liveness {
		t.Errorf("first came %v", x.Input)
	}
	if x, ok := inbox.Next(); !ok || x.Input != Workers {
		t.Errorf("then %v", x.Input)
	}
}

func TestShedsWhatWouldWaitTooLong(t *testing.T) {
	c := &clock{time.Unix(1, 0)}
	inbox := New[int](c.now)
	inbox.Offer(Users, 1)
	inbox.Offer(Users, 2)
	c.at = c.at.Add(limits[Users].maxWait + 1)
	if inbox.Offer(Users, 3) {
		t.Error("accepted though the one before it has expired")
	}
	if x, _ := inbox.Next(); !x.Expired {
		t.Error("an expired input was not marked")
	}
	inbox.Next()
	if !inbox.Offer(Users, 4) {
		t.Error("an empty queue refuses")
	}
	if x, _ := inbox.Next(); x.Expired || x.Input != 4 {
		t.Errorf("%+v", x)
	}
	inbox.Post(Liveness, 5)
	c.at = c.at.Add(time.Hour)
	if x, _ := inbox.Next(); x.Expired {
		t.Error("a posted answer was shed")
	}
}

// Whatever comes, nothing is lost or repeated, each class keeps its order, and while a class waits it
// gets its share of what is taken.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{time.Unix(1, 0)}
		inbox := New[[2]int](c.now)
		var put, got [classes]int
		waits := [classes]int{} // inputs of others taken while it waited
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if class := Class(rapid.IntRange(0, int(classes)).Draw(t, "class")); class < classes {
				if class == Liveness {
					inbox.Post(Liveness, [2]int{int(class), put[class]})
				} else if !inbox.Offer(class, [2]int{int(class), put[class]}) {
					t.Fatal("refused with room")
				}
				put[class]++
				continue
			}
			x, ok := inbox.Next()
			if !ok {
				if got != put {
					t.Fatalf("got %v of %v", got, put)
				}
				continue
			}
			class := x.Input[0]
			if x.Input[1] != got[class] {
				t.Fatalf("class %d: got %d, should be %d", class, x.Input[1], got[class])
			}
			got[class]++
			for i := range waits {
				if waits[i]++; i == class || put[i] == got[i] {
					waits[i] = 0
				}
				if waits[i] > 2*(weights[0]+weights[1]+weights[2]+weights[3]) {
					t.Fatalf("class %d has waited while %d others were taken", i, waits[i])
				}
			}
		}
	})
}

// Whoever has an answer for a loop that has ended isn't held up by it.
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
		t.Fatal("posted to a full class")
	case <-time.After(20 * time.Millisecond):
	}
	inbox.Close()
	for range posters {
		select {
		case <-posted:
		case <-time.After(10 * time.Second):
			t.Fatal("blocked by a closed inbox")
		}
	}
	inbox.Post(Liveness, 3)
	if inbox.Offer(Users, 3) {
		t.Error("a closed inbox accepts requests")
	}
}
