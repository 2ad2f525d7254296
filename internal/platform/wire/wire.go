// Package wire holds the JSON documents and paths of the platform's HTTP
// protocol, as the client adapter and the stand-in use them.
package wire

import "goldcresthinge.example/goldcresthinge/internal/platform"

// HeaderVM names the calling VM in each request.
const HeaderVM = "Goldcresthinge-VM"

// Paths of the services. Object names follow PathObjects.
const (
	PathRow     = "/table/row"    // GET, query: key
	PathRows    = "/table/rows"   // GET, query: prefix, limit
	PathCommit  = "/table/commit" // POST Commit
	PathObjects = "/objects/"     // GET, PUT
	PathVMs     = "/vms"          // GET
)

// Codes of an error answer. An answer with status 503 and CodeUnavailable says
// that the request had no effect. No other 5xx answer says so.
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

// Op is one write of a transaction.
type Op struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	IfVersion uint64 `json:"if_version"`
}

// Commit is the request of a transaction. The answer is Rows, or an Error with
// status 409 and the rows in conflict.
type Commit struct {
	Ops []Op `json:"ops"`
}

// Rows is the answer to a scan and to a transaction.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Error is the body of every answer that is not 200.
type Error struct {
	Code   string `json:"code"`
	Detail string `json:"detail,omitempty"`
	Rows   []Row  `json:"rows,omitempty"`
}

// FromRows converts rows of the platform package.
func FromRows(rows []platform.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = Row(r)
	}
	return out
}

// ToRows converts to rows of the platform package.
func ToRows(rows []Row) []platform.Row {
	out := make([]platform.Row, len(rows))
	for i, r := range rows {
		out[i] = platform.Row(r)
	}
	return out
}

// FromOps converts ops of the platform package.
func FromOps(ops []platform.Op) []Op {
	out := make([]Op, len(ops))
	for i, o := range ops {
		out[i] = Op(o)
	}
	return out
}

// ToOps converts to ops of the platform package.
func ToOps(ops []Op) []platform.Op {
	out := make([]platform.Op, len(ops))
	for i, o := range ops {
		out[i] = platform.Op(o)
	}
	return out
}
