package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is the time for which the store keeps removed rows and old versions (history_s).
	historyTime = 20 * time.Second
	// writeTime is the time that a transaction takes (tx_ms).
	writeTime        = 5 * time.Millisecond
	feedPollInterval = 5 * time.Millisecond
	maxRowsPerPage   = 500
	maxFeedWait      = 30 * time.Second
	firstVersion     = 100
)

// storeRow is a row in the form in which the store sends it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`

	at time.Time // of the write
}

type rowKey struct{ table, part, key string }

// storeCopy is a copy of all rows as of a version.
type storeCopy struct {
	rows      map[rowKey]storeRow
	version   uint64
	compacted uint64
}

// store is a stand-in for the platform's metadata store. It is safe for concurrent use.
type store struct {
	record  *record
	started time.Time
	address string
	server  *http.Server

	mu        sync.Mutex
	rows      map[rowKey]storeRow
	version   uint64
	compacted uint64 // changes up to this version are no longer kept
	era       int
	away      bool
	reads     int
}

func startStore(rec *record, ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		record: rec, started: time.Now(), address: l.Addr().String(), rows: map[rowKey]storeRow{},
		version: firstVersion, compacted: firstVersion, era: 1,
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a row and returns its version. ok is false while the store is away.
func (s *store) put(table, key string, value any) (version uint64, ok bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are those of this program
	}
	time.Sleep(writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.version++
	s.setLocked(storeRow{Table: table, Key: key, Value: data})
	return s.version, true
}

func (s *store) setLocked(r storeRow) {
	r.Ver, r.at = s.version, time.Now()
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
}

// copyRows returns a copy of the store as it is now.
func (s *store) copyRows() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{rows: make(map[rowKey]storeRow, len(s.rows)), version: s.version, compacted: s.compacted}
	for k, r := range s.rows {
		c.rows[k] = r
	}
	s.record.printf("store: copy taken at version %d", s.version)
	return c
}

// leave makes the store refuse all calls.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.record.printf("store: away at version %d, era %d", s.version, s.era)
}

// comeBack ends leave. The store then has the rows of a copy, and its era rises by one.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.version
	s.rows, s.version, s.compacted = c.rows, c.version, c.compacted
	s.era++
	s.away = false
	s.record.printf("store: back from the copy at version %d instead of %d, era %d", s.version, lost, s.era)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/rows-tx":
		s.serveTransaction(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/rows-get":
		s.serveGet(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []storeRow `json:"precondition"`
		Set          []storeRow `json:"set_keys"`
		Delete       []storeRow `json:"delete_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, row := range slices.Concat(tx.Set, tx.Delete) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	conflicts := []storeRow{}
	for _, row := range tx.Precondition {
		if p, ok := s.rows[rowKey{row.Table, row.Part, row.Key}]; ok && !p.Removed && p.Ver != row.Ver || (!ok || p.Removed) && row.Ver != 0 {
			conflicts = append(conflicts, p)
		}
	}
	if len(conflicts) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.replyLocked(w, conflicts)
		return
	}
	s.version++
	for _, row := range tx.Set {
		row.Removed = false
		s.setLocked(row)
	}
	for _, row := range tx.Delete {
		s.setLocked(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Removed: true})
	}
	s.replyLocked(w, nil)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRowsPerPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	rows := []storeRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !row.Removed && k.key >= q.Get("from") &&
			(q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "ver": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for !s.serveChanges(w, q.Get("table"), after, !time.Now().Before(deadline)) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(feedPollInterval):
		}
	}
}

// serveChanges answers a call for changes if there are some, it fails or last is set, and reports
// whether it has answered.
func (s *store) serveChanges(w http.ResponseWriter, table string, after uint64, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	s.compactLocked()
	if after > s.version || after < s.compacted {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		w.WriteHeader(http.StatusGone)
		return true
	}
	rows := []storeRow{}
	for k, row := range s.rows {
		if k.table == table && row.Ver > after {
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 && !last {
		return false
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) }) //nolint:gosec // small numbers
	s.reads++
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.replyLocked(w, rows)
	return true
}

// compactLocked drops removed rows that are older than historyTime.
func (s *store) compactLocked() {
	for k, row := range s.rows {
		if row.Removed && time.Since(row.at) > historyTime {
			delete(s.rows, k)
			s.compacted = max(s.compacted, row.Ver)
		}
	}
}

func (s *store) replyLocked(w http.ResponseWriter, rows []storeRow) {
	out := map[string]any{"ver": s.version, "now_ms": time.Since(s.started).Milliseconds()}
	if rows != nil {
		out["rows"] = rows
	}
	_ = json.NewEncoder(w).Encode(out)
}

// readCount returns the number of read calls that the store has answered.
func (s *store) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *store) close() { _ = s.server.Close() }
