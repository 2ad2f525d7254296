// Package wire defines the JSON documents, paths and error codes of the
// platform's HTTP protocol for the client (httpplatform) and the stand-in
// (standin).
package wire

import "goldcresthinge.example/goldcresthinge/internal/platform"

// HeaderVM is the request header with the name of the calling VM.
const HeaderVM = "Goldcresthinge-VM"

// Paths of the platform's HTTP endpoints. The name of an object is appended to
// PathObjects.
const (
	PathRow     = "/table/row"    // GET, query: key
	PathRows    = "/table/rows"   // GET, query: prefix, limit
	PathCommit  = "/table/commit" // POST, body: Commit
	PathObjects = "/objects/"     // GET, PUT
	PathVMs     = "/vms"          // GET
)

// Codes of an error response. A response with status 503 and CodeUnavailable
// guarantees that the request had no effect. No other 5xx response does.
const (
	CodeUnavailable = "unavailable"
	CodeNotFound    = "not-found"
	CodeConflict    = "conflict"
	CodeBadRequest  = "bad-request"
)

// Row is a row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Op is one write of a transaction. IfVersion 0 requires that the row does not
// exist.
type Op struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	IfVersion uint64 `json:"if_version"`
}

// Commit is the request body of a transaction. The response is Rows, or an Error
// with status 409 and the current state of the rows in conflict.
type Commit struct {
	Ops []Op `json:"ops"`
}

// Rows is the response to a scan and to a transaction.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Error is the body of every response with a status other than 200 and 304. The
// status 304 is the response to GET PathVMs if the list has the ETag of the
// request; it has no body.
type Error struct {
	Code   string `json:"code"`
	Detail string `json:"detail,omitempty"`
	Rows   []Row  `json:"rows,omitempty"`
}

// FromRows converts rows of package platform to their JSON form.
func FromRows(rows []platform.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row(r)
	}
	return out
}

// ToRows converts rows from their JSON form to rows of package platform.
func ToRows(rows []Row) []platform.Row {
	out := make([]platform.Row, len(rows))
	for i, r := range rows {
		out[i] = platform.Row(r)
	}
	return out
}

// FromOps converts ops of package platform to their JSON form.
func FromOps(ops []platform.Op) []Op {
	out := make([]Op, len(ops))
	for i, o := range ops {
		out[i] = Op(o)
	}
	return out
}

// ToOps converts ops from their JSON form to ops of package platform.
func ToOps(ops []Op) []platform.Op {
	out := make([]platform.Op, len(ops))
	for i, o := range ops {
		out[i] = platform.Op(o)
	}
	return out
}
