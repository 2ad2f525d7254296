package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
)

// Paths for tests and demonstrations, next to those of the platform's own
// protocol in package wire.
const (
	PathFaults = "/faults" // GET and POST Conditions
	PathWrites = "/writes" // GET []Write
)

// maxBody bounds a request body, in bytes.
const maxBody = 16 << 20

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := s.caller(r).Get(r.Context(), r.URL.Query().Get("key"))
		reply(w, wire.Row(row), err)
	})
	mux.HandleFunc("GET "+wire.PathRows, func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
		if err != nil {
			refuse(w, http.StatusBadRequest, wire.Error{Code: wire.CodeBadRequest, Detail: "limit is not a number"})
			return
		}
		rows, err := s.caller(r).Scan(r.Context(), r.URL.Query().Get("prefix"), limit)
		reply(w, wire.Rows{Rows: wire.FromRows(rows)}, err)
	})
	mux.HandleFunc("POST "+wire.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var c wire.Commit
		if !read(w, r, &c) {
			return
		}
		rows, err := s.caller(r).Commit(r.Context(), wire.ToOps(c.Ops))
		reply(w, wire.Rows{Rows: wire.FromRows(rows)}, err)
	})
	mux.HandleFunc("PUT "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			refuse(w, http.StatusBadRequest, wire.Error{Code: wire.CodeBadRequest, Detail: err.Error()})
			return
		}
		reply(w, struct{}{}, s.caller(r).Objects().Put(r.Context(), r.PathValue("name"), data))
	})
	mux.HandleFunc("GET "+wire.PathObjects+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := s.caller(r).Objects().Get(r.Context(), r.PathValue("name"))
		if err != nil {
			reply(w, nil, err)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	})
	mux.HandleFunc("GET "+wire.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		entries, err := s.caller(r).VMs().List(r.Context())
		if err != nil {
			reply(w, nil, err)
			return
		}
		serveList(w, r, entries)
	})
	mux.HandleFunc("PUT "+wire.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		var entries []platform.VMEntry
		if read(w, r, &entries) {
			s.SetVMs(entries...)
			reply(w, entries, nil)
		}
	})
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Conditions(), nil) })
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var c Conditions
		if read(w, r, &c) {
			s.SetConditions(c)
			reply(w, c, nil)
		}
	})
	mux.HandleFunc("GET "+PathWrites, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Writes(), nil) })
	return mux
}

// serveList answers with the list, or with 304 if the caller has it already.
func serveList(w http.ResponseWriter, r *http.Request, entries []platform.VMEntry) {
	data, err := json.Marshal(entries)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

func (s *Server) caller(r *http.Request) Client { return s.Client(r.Header.Get(wire.HeaderVM)) }

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, wire.Error{Code: wire.CodeBadRequest, Detail: err.Error()})
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any, err error) {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, wire.Error{Code: wire.CodeConflict, Rows: wire.FromRows(conflict.Rows)})
	case errors.Is(err, platform.ErrNotFound):
		refuse(w, http.StatusNotFound, wire.Error{Code: wire.CodeNotFound})
	case errors.Is(err, platform.ErrUnavailable):
		refuse(w, http.StatusServiceUnavailable, wire.Error{Code: wire.CodeUnavailable})
	default:
		// The answer is lost: the connection ends without one.
		panic(http.ErrAbortHandler)
	}
}

func refuse(w http.ResponseWriter, status int, e wire.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}
