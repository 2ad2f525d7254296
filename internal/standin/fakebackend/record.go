package fakebackend

import (
	"slices"
	"strings"
	"time"
)

// Run is one execution of a request.
type Run struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key"`
	HomeRegions    []string  `json:"home_regions"`
	Path           string    `json:"path"`
	Started        time.Time `json:"started"`
	Instance       string    `json:"instance"`
	// Draining tells that the target was draining when the run started.
	Draining bool `json:"draining"`
	// DrainingFor is for how long it had been.
	DrainingFor time.Duration `json:"draining_for_ns"`
	// Finished is false for a run that was canceled or cut off.
	Finished bool `json:"finished"`
}

// Record is what a target saw since its start.
type Record struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Runs          []Run  `json:"runs"`
	// OutsideHomeRegions lists the ids of marked requests that reached the target
	// although its region is not one of their home regions.
	OutsideHomeRegions []string `json:"seen_outside"`
	// Probes counts GET /load and GET /healthz; ProbeBytes are the bytes of
	// these requests and their answers on the connection.
	Probes     int   `json:"probes"`
	ProbeBytes int64 `json:"probe_bytes"`
	// ColdHighWater is the most calls at once while the target was not warm,
	// ColdOverloads how often it got more than it could bear.
	ColdHighWater int `json:"cold_high_water"`
	ColdOverloads int `json:"cold_overloads"`
	Sheds         int `json:"sheds"`
	// RunningHighWater is the most runs at once.
	RunningHighWater int `json:"running_high_water"`
	// ConnectionHighWater is the most connections at once.
	ConnectionHighWater int `json:"connection_high_water"`
	Canceled            int `json:"canceled"`
	// ExtraAnswers counts unsolicited answers sent.
	ExtraAnswers int       `json:"extra_answers"`
	DrainStarted time.Time `json:"drain_started"`
}

// Record returns a copy of what the target saw so far.
func (t *Server) Record() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rec
	r.Runs = slices.Clone(t.rec.Runs)
	r.OutsideHomeRegions = slices.Clone(t.rec.OutsideHomeRegions)
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
