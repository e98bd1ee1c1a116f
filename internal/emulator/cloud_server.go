package emulator

import (
	"net/http"

	"coralhub/wire"
)

// maxListed is the maximum number of machines in a page of the list.
const maxListed = 500

// CloudHandler returns the handler of the cloud's API.
func (s *Servers) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, s.admitCloud(h)) }
	handle("GET "+wire.PathCatalog, s.catalog)
	handle("GET "+wire.PathHosts, s.listMachines)
	handle("POST "+wire.PathHosts, s.rent)
	handle("POST "+wire.PathRelease, s.release)
	return mux
}

// admitCloud refuses requests to the cloud that exceed the quota or arrive in an outage.
func (s *Servers) admitCloud(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down := false
		s.WithLock(func() { down = s.Environment.CloudDown })
		switch {
		case down:
			writeOutage(w)
		case !s.cloudRequests.Allow():
			writeTooManyRequests(w)
		default:
			next(w, r)
		}
	}
}

func (s *Servers) catalog(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeBody(w, http.StatusOK, wire.Catalog{Types: s.Environment.Types})
}

func (s *Servers) listMachines(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := pageLimit(query, maxListed)
	s.mu.Lock()
	defer s.mu.Unlock()
	machines := machinesAfter(s.Environment.List(s.Now()), query.Get("from"))
	page := machines[:min(limit, len(machines))]
	writeBody(w, http.StatusOK, wire.MachineList{Machines: page, More: len(machines) > limit})
}

// machinesAfter returns the machines of a sorted list whose names follow a name.
func machinesAfter(machines []wire.Machine, name string) []wire.Machine {
	return machines[firstAfter(machines, name, func(m wire.Machine) string { return m.Name }):]
}

func (s *Servers) rent(w http.ResponseWriter, r *http.Request) {
	var request wire.RentalRequest
	if !readBody(r, &request) || request.Name == "" || request.Count < 1 || request.Count > wire.MaxMachinesPerRental {
		writeMalformed(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.Environment.Rent(s.Now(), request)
	if len(names) == 0 {
		writeBody(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	writeBody(w, http.StatusOK, wire.MachineNames{Machines: names})
}

func (s *Servers) release(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if !readBody(r, &request) || len(request.Machines) > wire.MaxMachinesPerRelease {
		writeMalformed(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Environment.Release(s.Now(), request.Machines)
	writeBody(w, http.StatusOK, wire.MachineNames{})
}
