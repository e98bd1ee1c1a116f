package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"coralhub/wire"
)

// outage is an outage of the state service. It begins with a transaction that is executed and whose answer is lost.
type outage struct {
	armed  atomic.Pointer[func(*wire.Transaction) bool] // tells that transaction
	begun  atomic.Bool                                  // the service has gone down
	over   atomic.Bool
	length atomic.Int64 // nanoseconds
}

// handler puts the outage before the state service.
func (o *outage) handler(s *stage, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost && r.URL.Path == wire.PathCommit:
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(raw))
			var t wire.Transaction
			matches := o.armed.Load()
			if matches != nil && wire.Unmarshal(raw, &t) == nil && (*matches)(&t) && o.begun.CompareAndSwap(false, true) {
				o.armed.Store(nil)
				recorded := httptest.NewRecorder()
				inner.ServeHTTP(recorded, r)
				s.state.WithLock(func() { s.state.State.SetDown(s.state.Now(), true) })
				s.say("state: executes a transaction (%s, answer %d); then the service is down, the answer is lost", puts(&t), recorded.Code)
				s.running.Go(func() {
					select {
					case <-time.After(time.Duration(o.length.Load())):
					case <-s.ctx.Done():
					}
					s.state.WithLock(func() { s.state.State.SetDown(s.state.Now(), false) })
					s.say("state: the service is up again")
					o.over.Store(true)
				})
				<-r.Context().Done()
				return
			}
		case strings.HasPrefix(r.URL.Path, wire.PathChanges):
			// An open watch stays open while the service is down.
			recorded := httptest.NewRecorder()
			inner.ServeHTTP(recorded, r)
			for o.begun.Load() && !o.over.Load() {
				select {
				case <-time.After(20 * time.Millisecond):
				case <-r.Context().Done():
					return
				}
			}
			w.Header().Set("Content-Type", wire.ContentType)
			w.WriteHeader(recorded.Code)
			_, _ = w.Write(recorded.Body.Bytes())
			return
		}
		inner.ServeHTTP(w, r)
	})
}

// puts lists the keys that a transaction writes.
func puts(t *wire.Transaction) string {
	var keys []string
	for i := range t.Changes {
		keys = append(keys, t.Changes[i].Put)
	}
	return strings.Join(keys, " ")
}

// places reports whether a transaction writes a placement page that names a job.
func places(t *wire.Transaction, job string) bool {
	for i := range t.Changes {
		if strings.HasPrefix(t.Changes[i].Put, "ch/placed/") && bytes.Contains(t.Changes[i].Value, []byte(job)) {
			return true
		}
	}
	return false
}
