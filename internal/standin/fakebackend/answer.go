package fakebackend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// ResponseMetadata is the first line of an answer body, in JSON. It is followed by
// Length bytes that are derived from the request id. With both, a caller can check
// that it got the complete answer to its own request.
type ResponseMetadata struct {
	RequestID     string `json:"request_id"`
	RequestDigest string `json:"request_digest"`
	Target        string `json:"target"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Instance      string `json:"instance"`
	ServiceTimeUs int64  `json:"service_time_us"`
	Length        int    `json:"length"` // of the filler, in bytes
}

// Errors returned by CheckResponse.
var (
	ErrTruncated       = errors.New("answer is truncated")
	ErrRequestMismatch = errors.New("answer belongs to another request")
)

// Digest returns the digest of a request body in the form used by
// HeaderRequestDigest and ResponseMetadata.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func filler(id string, n int) []byte {
	unit := Digest([]byte(id))
	return []byte(strings.Repeat(unit, n/len(unit)+1)[:n])
}

// CheckResponse checks that answer is the body of the complete answer to the request
// with this id and body. If not, it returns ErrTruncated, ErrRequestMismatch, or
// another error if the metadata cannot be decoded.
func CheckResponse(id string, request, answer []byte) (ResponseMetadata, error) {
	var metadata ResponseMetadata
	line, rest, found := bytes.Cut(answer, []byte("\n"))
	if !found {
		return metadata, ErrTruncated
	}
	if err := json.Unmarshal(line, &metadata); err != nil {
		return metadata, fmt.Errorf("decode metadata in the first line of the answer: %w", err)
	}
	if metadata.RequestID != id || metadata.RequestDigest != Digest(request) {
		return metadata, ErrRequestMismatch
	}
	if len(rest) < metadata.Length {
		return metadata, ErrTruncated
	}
	if !bytes.Equal(rest, filler(id, metadata.Length)) {
		return metadata, ErrRequestMismatch
	}
	return metadata, nil
}

// reply is an answer that can be sent: its metadata and its complete body.
type reply struct {
	metadata ResponseMetadata
	body     []byte
}

func newReply(metadata ResponseMetadata) *reply {
	line, _ := json.Marshal(metadata) // encoding strings and numbers cannot fail
	return &reply{metadata: metadata, body: append(append(line, '\n'), filler(metadata.RequestID, metadata.Length)...)}
}

func (r *reply) writeHeader(h http.Header) {
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	h.Set(outcome.HeaderInstance, r.metadata.Instance)
	h.Set(HeaderRequestID, r.metadata.RequestID)
	h.Set(HeaderRequestDigest, r.metadata.RequestDigest)
	h.Set(HeaderServiceTime, strconv.FormatInt(r.metadata.ServiceTimeUs, 10))
}

func decodeStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
