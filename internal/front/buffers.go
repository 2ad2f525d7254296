package front

import "goldcresthinge.example/goldcresthinge/internal/capacity"

// DefaultMaxBufferedBytes is the default limit of the bytes of bodies that a VM keeps.
const DefaultMaxBufferedBytes = 32 << 20

// minBufferedAnswer is the number of bytes of a response that are read before its first
// byte is sent to the caller if the VM keeps too many bytes already.
const minBufferedAnswer = 4 << 10

// reserve takes n bytes for the request until it has ended.
func (q *request) reserve(n int64) bool {
	if !q.h.cfg.Ledger.Take(capacity.Bodies, n) {
		return false
	}
	q.reserved += n
	return true
}

// answerBuffer returns how many bytes of a response with the given length, or -1 if it is
// not known, are read before its first byte is sent to the caller.
func (q *request) answerBuffer(length int64) int64 {
	n := int64(maxBufferedAnswer)
	if length >= 0 {
		// One more byte shows that the body has ended.
		n = min(n, length+1)
	}
	if n <= minBufferedAnswer || q.reserve(n) {
		return n
	}
	return minBufferedAnswer
}
