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
	Waiting  int    `json:"waiting"`   // calls that wait for a slot
	State    string `json:"state"`     // "ok", "cold" or "draining"
}

// loadSample records how many calls were in flight from the time in the field at until
// the next sample.
type loadSample struct {
	at       time.Time
	inFlight int
}

// maxLoadSamples is the most load samples that are kept. It bounds how far back
// LoadLagMs can reach.
const maxLoadSamples = 4096

func (s *Server) recordLoadLocked(now time.Time) {
	if len(s.loadHistory) >= maxLoadSamples {
		s.loadHistory = append(s.loadHistory[:0], s.loadHistory[maxLoadSamples/2:]...)
	}
	s.loadHistory = append(s.loadHistory, loadSample{now, s.inFlight})
}

// laggedInFlightLocked returns the number of calls that were in flight LoadLagMs
// before now.
func (s *Server) laggedInFlightLocked(now time.Time) int {
	if s.faults.LoadLagMs <= 0 {
		return s.inFlight
	}
	asOf := now.Add(-time.Duration(s.faults.LoadLagMs) * time.Millisecond)
	for i := len(s.loadHistory) - 1; i >= 0; i-- {
		if !s.loadHistory[i].at.After(asOf) {
			return s.loadHistory[i].inFlight
		}
	}
	return 0
}

// beginProbe records a probe and waits for the configured duration of one. It returns
// false if the caller must not answer: the server is down, and beginProbe has answered
// with status 503, or the request was canceled.
func (s *Server) beginProbe(w http.ResponseWriter, r *http.Request) bool {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		c.isProbe.Store(true)
	}
	s.mu.Lock()
	s.record.Probes++
	down := s.down
	s.mu.Unlock()
	s.setCommonHeaders(w.Header(), r)
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return s.sleep(r.Context(), s.cfg.ProbeTime) == nil
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !s.beginProbe(w, r) {
		return
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	load := Load{Slots: s.cfg.Slots, InFlight: s.laggedInFlightLocked(now), State: "ok"}
	if s.faults.LoadInFlight != nil {
		load.InFlight = *s.faults.LoadInFlight
	}
	load.Waiting = max(0, load.InFlight-load.Slots)
	switch {
	case s.draining:
		load.State = "draining"
	case s.warmup.progress(now) < 1:
		load.State = "cold"
	}
	s.mu.Unlock()
	writeJSON(w, load)
}

// serveHealth answers with the health that a fault sets, if any, otherwise with
// "draining" or "ok". The status is 200 for "ok" and 503 for all others.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !s.beginProbe(w, r) {
		return
	}
	s.mu.Lock()
	health := s.faults.Health
	if health == "" {
		health = "ok"
		if s.draining {
			health = "draining"
		}
	}
	s.mu.Unlock()
	if health != "ok" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(health + "\n"))
}

func (s *Server) serveRecord(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) }

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

// changeFaults applies a FaultUpdate. Faults that are absent from the update keep their
// value, or are switched off if its field reset is true. It rejects unknown fields, since
// a test with a misspelt fault would pass without that fault.
func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var reset struct {
		Reset bool `json:"reset"`
	}
	var raw json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// Reads only the field reset. Errors are ignored here, because decodeStrict decodes
	// raw again below and reports them.
	_ = json.Unmarshal(raw, &reset)
	update := FaultUpdate{}
	if !reset.Reset {
		update.Faults = s.Faults()
	}
	if err := decodeStrict(raw, &update); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Apply(update)
	writeJSON(w, s.Faults())
}
