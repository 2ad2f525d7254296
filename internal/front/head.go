package front

import (
	"bytes"
	"net/http"
)

// HeadLimits bound the head of a request, which is its request line and header, while it is
// read. All fields are positive.
type HeadLimits struct {
	Bytes     int // see headAllowance
	Lines     int // request line and header lines, folded ones included
	LineBytes int // of one line
}

const (
	// DefaultMaxHeadLines is the default of HeadLimits.Lines. Heads of 16 KB cannot have more,
	// since a header line takes at least four bytes.
	DefaultMaxHeadLines = 4096
	// DefaultMaxHeadLineBytes is the default of HeadLimits.LineBytes.
	DefaultMaxHeadLineBytes = 64 << 10
	// DefaultMaxHeadBytes limits a head for which no configuration states a limit.
	DefaultMaxHeadBytes = 64 << 10
	// headAllowance is added to HeadLimits.Bytes for what a configured limit of the header does
	// not count: the protocol version, the name of the host header and the ends of the lines.
	headAllowance = 64
	// maxEmptyLines is the number of empty lines before a request line. Old clients send one
	// after a body.
	maxEmptyLines = 8
)

// violation describes input of a caller beyond a limit.
type violation struct {
	reason        string
	status        int
	figure, limit int64
}

// headScanner finds the end of a head in the bytes received so far and checks it against the
// limits. It parses nothing else: net/http does so once the head is complete. The zero value is
// at the start of a head.
type headScanner struct {
	scanned    int // bytes examined
	lineStart  int
	lines      int
	emptyLines int
}

// scan examines the bytes of buf that were added since the last call. end is the length of the
// head, or 0 if it is not complete.
func (s *headScanner) scan(buf []byte, l HeadLimits) (end int, v *violation) {
	for {
		i := bytes.IndexByte(buf[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(buf)
			return 0, s.check(len(buf), len(buf)-s.lineStart, l)
		}
		s.scanned += i + 1
		line := bytes.TrimSuffix(buf[s.lineStart:s.scanned-1], []byte("\r"))
		s.lineStart = s.scanned
		switch {
		case len(line) > 0:
			s.lines++
			// net/http takes a line of white space for the end of a head, other programs do not.
			if len(bytes.TrimLeft(line, " \t")) == 0 {
				return 0, &violation{reason: "blank-line", status: http.StatusBadRequest, figure: int64(len(line))}
			}
		case s.lines > 0:
			end = s.scanned
		default:
			s.emptyLines++
		}
		if v := s.check(s.scanned, len(line), l); v != nil || end > 0 {
			return end, v
		}
	}
}

// check compares what has been scanned with the limits.
func (s *headScanner) check(size, line int, l HeadLimits) *violation {
	switch {
	case s.emptyLines > maxEmptyLines:
		return &violation{"empty-lines", http.StatusBadRequest, int64(s.emptyLines), maxEmptyLines}
	case size > l.Bytes+headAllowance:
		return &violation{"head-bytes", http.StatusRequestHeaderFieldsTooLarge, int64(size), int64(l.Bytes)}
	case s.lines > l.Lines:
		return &violation{"head-lines", http.StatusRequestHeaderFieldsTooLarge, int64(s.lines), int64(l.Lines)}
	case line > l.LineBytes:
		return &violation{"head-line-bytes", http.StatusRequestHeaderFieldsTooLarge, int64(line), int64(l.LineBytes)}
	}
	return nil
}

const (
	// requestCost is the memory of a request apart from what depends on its size: the buffers of
	// net/http, the stack that grows, and the buffers of the connection to a backend server.
	requestCost = 24 << 10
	// headLineCost is the memory of a header line apart from its bytes: its entry in the map of
	// net/http and in the copy for the backend server.
	headLineCost = 256
)

// headCost returns the memory that a request takes with a head of the given size.
func headCost(size, lines int) int64 {
	return requestCost + 2*int64(size) + headLineCost*int64(lines)
}
