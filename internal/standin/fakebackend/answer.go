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

// ResponseMetadata is the first line of an answer body, in JSON. Filler derived from the
// request id follows up to Length, so that a caller can check that it got the
// whole answer to its own request.
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

// Errors of CheckResponse.
var (
	ErrTruncated       = errors.New("answer is truncated")
	ErrRequestMismatch = errors.New("answer belongs to another request")
)

// Digest returns the digest of a request body as answers carry it.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func filler(id string, n int) []byte {
	unit := Digest([]byte(id))
	return []byte(strings.Repeat(unit, n/len(unit)+1)[:n])
}

// CheckResponse checks that answer is the whole answer to the request with this
// id and body. It returns ErrTruncated, ErrRequestMismatch or another error if not.
func CheckResponse(id string, request, answer []byte) (ResponseMetadata, error) {
	var head ResponseMetadata
	line, rest, found := bytes.Cut(answer, []byte("\n"))
	if !found {
		return head, ErrTruncated
	}
	if err := json.Unmarshal(line, &head); err != nil {
		return head, fmt.Errorf("answer has no head: %w", err)
	}
	if head.RequestID != id || head.RequestDigest != Digest(request) {
		return head, ErrRequestMismatch
	}
	if len(rest) < head.Length {
		return head, ErrTruncated
	}
	if !bytes.Equal(rest, filler(id, head.Length)) {
		return head, ErrRequestMismatch
	}
	return head, nil
}

// reply is an answer that is ready to be sent.
type reply struct {
	head ResponseMetadata
	body []byte
}

func newReply(head ResponseMetadata) *reply {
	line, _ := json.Marshal(head) // plain strings and numbers cannot fail
	return &reply{head: head, body: append(append(line, '\n'), filler(head.RequestID, head.Length)...)}
}

func (r *reply) writeHeader(h http.Header) {
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	h.Set(outcome.HeaderInstance, r.head.Instance)
	h.Set(HeaderRequestID, r.head.RequestID)
	h.Set(HeaderRequestDigest, r.head.RequestDigest)
	h.Set(HeaderServiceTime, strconv.FormatInt(r.head.ServiceTimeUs, 10))
}

func decodeStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
