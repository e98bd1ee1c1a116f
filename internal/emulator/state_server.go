package emulator

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"coralhub/internal/wait"
	"coralhub/wire"
)

const (
	// minLeaseMS and maxLeaseMS bound the TTL of a lease, in milliseconds.
	minLeaseMS = 100
	maxLeaseMS = 600_000
	// maxWatchMS bounds how long a watch stays open, in milliseconds.
	maxWatchMS = 60_000
	// outagePollInterval is how often a watch whose time is over checks whether an outage has ended.
	outagePollInterval = 100 * time.Millisecond
)

// StateHandler returns the handler of the state service's API.
func (s *Servers) StateHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, s.admitState(h)) }
	handle("POST "+wire.PathCommit, s.commit)
	handle("GET "+wire.PathStore, s.page)
	handle("GET "+wire.PathStore+"/{key...}", s.get)
	handle("POST "+wire.PathLeases, s.grantLease)
	handle("POST "+wire.PathLeases+"/{id}/"+wire.ExtendVerb, s.extendLease)
	handle("DELETE "+wire.PathLeases+"/{id}", s.endLease)
	handle("GET "+wire.PathChanges, s.watchChanges)
	return mux
}

// admitState counts and delays requests to the state service, and refuses those that exceed the quota or
// arrive in an outage.
func (s *Servers) admitState(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, delay := s.State.Down, s.stateDelay
		s.Requests++
		s.mu.Unlock()
		if delay > 0 {
			wait.For(r.Context(), delay)
		}
		isWatch := strings.HasPrefix(r.URL.Path, wire.PathChanges) // watches stay open in an outage
		switch {
		case down && !isWatch:
			writeOutage(w)
		case !s.stateRequests.Allow():
			s.refuse(w)
		default:
			next(w, r)
		}
	}
}

// refuse refuses a request that exceeds a quota of the state service.
func (s *Servers) refuse(w http.ResponseWriter) {
	s.WithLock(func() { s.Refused++ })
	writeTooManyRequests(w)
}

func (s *Servers) commit(w http.ResponseWriter, r *http.Request) {
	var t wire.Transaction
	if !readBody(r, &t) {
		writeMalformed(w)
		return
	}
	if n := len(t.Changes); n > 0 && !s.stateWrites.AllowN(time.Now(), n) {
		s.refuse(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, result := s.State.Commit(t)
	if status == http.StatusOK {
		s.scheduleWriteCopies(t)
	}
	s.wakeWatches()
	writeBody(w, status, result)
}

func (s *Servers) page(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := pageLimit(query, wire.MaxKeysPerPage)
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := s.State.Page(query.Get("under"), query.Get("from"), limit)
	writeBody(w, http.StatusOK, wire.KeyValuePage{Items: items, More: more, Revision: s.State.Revision()})
}

// pageLimit returns the page size that a request asks for, or highest if it gives none between 1 and
// highest.
func pageLimit(query url.Values, highest int) int {
	limit, err := strconv.Atoi(query.Get("most"))
	if err != nil || limit <= 0 || limit > highest {
		return highest
	}
	return limit
}

func (s *Servers) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.State.Get(r.PathValue("key")); item.Version != 0 {
		writeBody(w, http.StatusOK, item)
		return
	}
	writeBody(w, http.StatusNotFound, wire.TransactionResult{Revision: s.State.Revision()})
}

func (s *Servers) grantLease(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if !readBody(r, &request) || request.TTLms < minLeaseMS || request.TTLms > maxLeaseMS {
		writeMalformed(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, id := s.State.Grant(s.Now(), request.TTLms*1000)
	writeBody(w, status, wire.LeaseGrant{Lease: id})
}

func (s *Servers) extendLease(w http.ResponseWriter, r *http.Request) {
	s.changeLease(w, r, func(id uint64) int { return s.State.Extend(s.Now(), id) })
}

func (s *Servers) endLease(w http.ResponseWriter, r *http.Request) {
	s.changeLease(w, r, func(id uint64) int { return s.State.EndLease(s.Now(), id) })
}

// changeLease calls change for the lease of a request, with s.mu held, and answers with the HTTP status
// that it returns.
func (s *Servers) changeLease(w http.ResponseWriter, r *http.Request, change func(id uint64) (status int)) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 if it is malformed, which is no lease's ID
	s.mu.Lock()
	defer s.mu.Unlock()
	writeBody(w, change(id), wire.LeaseGrant{Lease: id})
	s.wakeWatches()
}

// Expire ends the leases of the state service that were not renewed in time. Only needed without Run,
// which does this as well.
func (s *Servers) Expire() {
	s.WithLock(func() {
		s.State.Expire(s.Now())
		s.wakeWatches()
	})
}

// wakeWatches makes the open watches check for changes. s.mu must be held.
func (s *Servers) wakeWatches() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// watchChanges answers a watch once there are changes or its time is over. In an outage it does not
// answer until the outage has ended.
func (s *Servers) watchChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(max(waitMS, 0), maxWatchMS)) * time.Millisecond)
	defer end.Stop()
	over := waitMS <= 0
	for {
		changes := s.changesSince(query.Get("under"), from)
		switch {
		case changes.down:
		case changes.trimmed:
			writeBody(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		case len(changes.response.Events) > 0 || over:
			writeBody(w, http.StatusOK, changes.response)
			return
		}
		select {
		case <-changes.wake:
		case <-end.C:
			over = true
			if changes.down {
				wait.For(r.Context(), outagePollInterval)
				end.Reset(0)
			}
		case <-r.Context().Done():
			return
		}
	}
}

// watchedChanges is the result of one check of a watch for changes.
type watchedChanges struct {
	response wire.WatchResponse
	down     bool          // there is an outage; the response has no events
	trimmed  bool          // some of the requested changes have been dropped
	wake     chan struct{} // closed when there may be more changes
}

// changesSince returns the changes under a prefix after a revision.
func (s *Servers) changesSince(prefix string, revision uint64) watchedChanges {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := watchedChanges{
		response: wire.WatchResponse{Revision: s.State.Revision()},
		down:     s.State.Down,
		trimmed:  s.State.Trimmed(revision),
		wake:     s.wake,
	}
	if !changes.down && !changes.trimmed {
		changes.response.Events = s.State.Since(prefix, revision)
	}
	return changes
}
