package fakebackend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is the body of the answer to GET /load, in JSON.
type Load struct {
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"` // calls that run or wait for a slot
	Waiting  int    `json:"waiting"`
	State    string `json:"state"` // "ok", "cold" or "draining"
}

// loadSample is the number of calls in flight from the time at until the next sample.
type loadSample struct {
	at       time.Time
	inFlight int
}

// maxLoadSamples is the most load samples that are kept. It bounds the lag that a load
// report can have.
const maxLoadSamples = 4096

func (t *Server) recordLoadLocked(now time.Time) {
	if len(t.loadHistory) >= maxLoadSamples {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxLoadSamples/2:]...)
	}
	t.loadHistory = append(t.loadHistory, loadSample{now, t.inFlight})
}

// laggedInFlightLocked returns the number of calls that were in flight LoadLagMs
// before now.
func (t *Server) laggedInFlightLocked(now time.Time) int {
	if t.faults.LoadLagMs <= 0 {
		return t.inFlight
	}
	asOf := now.Add(-time.Duration(t.faults.LoadLagMs) * time.Millisecond)
	for i := len(t.loadHistory) - 1; i >= 0; i-- {
		if !t.loadHistory[i].at.After(asOf) {
			return t.loadHistory[i].inFlight
		}
	}
	return 0
}

// beginProbe records a probe and waits for the configured duration of one. It returns
// false if the caller must not answer: the target is down, and beginProbe has answered
// with status 503, or the request was canceled.
func (t *Server) beginProbe(w http.ResponseWriter, r *http.Request) bool {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		c.isProbe.Store(true)
	}
	t.mu.Lock()
	t.rec.Probes++
	down := t.down
	t.mu.Unlock()
	t.setCommonHeaders(w.Header())
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
	load := Load{Slots: t.cfg.Slots, InFlight: t.laggedInFlightLocked(now), State: "ok"}
	if t.faults.LoadInFlight != nil {
		load.InFlight = *t.faults.LoadInFlight
	}
	load.Waiting = max(0, load.InFlight-load.Slots)
	switch {
	case t.draining:
		load.State = "draining"
	case t.warmup.progress(now) < 1:
		load.State = "cold"
	}
	t.mu.Unlock()
	writeJSON(w, load)
}

// serveHealth answers "ok" with status 200, or "draining" or the health that a fault
// sets with status 503.
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

// changeFaults applies a FaultUpdate. It rejects unknown fields, since a test with a
// misspelt fault would pass without that fault.
func (t *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var reset struct {
		Reset bool `json:"reset"`
	}
	var raw json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.Unmarshal(raw, &reset) // decodeStrict reports errors in raw below
	update := FaultUpdate{}
	if !reset.Reset {
		update.Faults = t.Faults()
	}
	if err := decodeStrict(raw, &update); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.Apply(update)
	writeJSON(w, t.Faults())
}
