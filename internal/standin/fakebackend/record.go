package fakebackend

import (
	"slices"
	"strings"
	"time"
)

// Run describes one execution of a request.
type Run struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key"`
	HomeRegions    []string  `json:"home_regions"`
	Path           string    `json:"path"`
	Started        time.Time `json:"started"`
	Instance       string    `json:"instance"`
	// Draining is true if the server was draining when the run started.
	Draining bool `json:"draining"`
	// DrainingFor is how long the server had been draining by then.
	DrainingFor time.Duration `json:"draining_for_ns"`
	// Finished is false while the request runs, and for a run that was canceled,
	// passed its deadline or was aborted when the server went down.
	Finished bool `json:"finished"`
}

// Record describes the requests, probes and connections that a server got since
// Start, also before it went down.
type Record struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Runs          []Run  `json:"runs"`
	// OutsideHomeRegions lists the ids of the requests with HeaderHomeRegions that
	// reached the server although its region is not one of those listed.
	OutsideHomeRegions []string `json:"seen_outside"`
	// Probes counts GET /load and GET /healthz. ProbeBytes is the number of bytes
	// of these requests and their answers on their connections.
	Probes     int   `json:"probes"`
	ProbeBytes int64 `json:"probe_bytes"`
	// ColdHighWater is the most concurrent calls while the server was not warm.
	// ColdOverloads is how often the server went down because it got more calls
	// than a cold server accepts.
	ColdHighWater int `json:"cold_high_water"`
	ColdOverloads int `json:"cold_overloads"`
	Sheds         int `json:"sheds"`
	// RunningHighWater is the most concurrent runs.
	RunningHighWater int `json:"running_high_water"`
	// ConnectionHighWater is the most connections open at the same time.
	ConnectionHighWater int `json:"connection_high_water"`
	Canceled            int `json:"canceled"`
	// ExtraAnswers counts the unsolicited answers that were sent.
	ExtraAnswers int       `json:"extra_answers"`
	DrainStarted time.Time `json:"drain_started"`
}

// Record returns a copy of the record up to now.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Runs = slices.Clone(s.record.Runs)
	r.OutsideHomeRegions = slices.Clone(s.record.OutsideHomeRegions)
	return r
}

func splitRegions(header string) []string {
	if header == "" {
		return nil
	}
	parts := strings.Split(header, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
