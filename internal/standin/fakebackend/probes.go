package fakebackend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is the answer to GET /load.
type Load struct {
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"` // running and waiting calls
	Waiting  int    `json:"waiting"`
	State    string `json:"state"` // "ok", "cold" or "draining"
}

// loadSample is the number of calls in flight from a time on.
type loadSample struct {
	at       time.Time
	inFlight int
}

// maxHistory bounds how far a load report can lag.
const maxHistory = 4096

func (t *Server) sampleLocked(now time.Time) {
	if len(t.history) >= maxHistory {
		t.history = append(t.history[:0], t.history[maxHistory/2:]...)
	}
	t.history = append(t.history, loadSample{now, t.inFlight})
}

// laggedLocked returns the number of calls in flight as of the lag ago.
func (t *Server) laggedLocked(now time.Time) int {
	if t.faults.LoadLagMs <= 0 {
		return t.inFlight
	}
	limit := now.Add(-time.Duration(t.faults.LoadLagMs) * time.Millisecond)
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(limit) {
			return t.history[i].inFlight
		}
	}
	return 0
}

// beginProbe notes a probe and takes the time of one.
func (t *Server) beginProbe(w http.ResponseWriter, r *http.Request) bool {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		c.probe.Store(true)
	}
	t.mu.Lock()
	t.rec.Probes++
	down := t.down
	t.mu.Unlock()
	t.decorate(w.Header())
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return t.sleep(r.Context(), t.cfg.ProbeTime) == nil
}

func (t *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !t.beginProbe(w, r) {
		return
	}
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	load := Load{Slots: t.cfg.Slots, InFlight: t.laggedLocked(now), State: "ok"}
	if t.faults.LoadInFlight != nil {
		load.InFlight = *t.faults.LoadInFlight
	}
	load.Waiting = max(0, load.InFlight-load.Slots)
	switch {
	case t.draining:
		load.State = "draining"
	case t.warm.level(now) < 1:
		load.State = "cold"
	}
	t.mu.Unlock()
	writeJSON(w, load)
}

// serveHealth answers "ok" with status 200 or "draining" with status 503.
func (t *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !t.beginProbe(w, r) {
		return
	}
	t.mu.Lock()
	health := t.faults.Health
	if health == "" {
		health = "ok"
		if t.draining {
			health = "draining"
		}
	}
	t.mu.Unlock()
	if health != "ok" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(health + "\n"))
}

func (t *Server) serveRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Record()) }

func (t *Server) serveFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Faults()) }

// changeFaults applies a FaultUpdate. Unknown fields are refused, since a misspelt
// fault would make a test pass without it.
func (t *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var reset struct {
		Reset bool `json:"reset"`
	}
	var raw json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.Unmarshal(raw, &reset) // a fault in raw is reported below
	change := FaultUpdate{}
	if !reset.Reset {
		change.Faults = t.Faults()
	}
	if err := decodeStrict(raw, &change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.Apply(change)
	writeJSON(w, t.Faults())
}
