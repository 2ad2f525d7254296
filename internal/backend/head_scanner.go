package backend

import "errors"

// errFoldedLine is the error of a header line that starts with whitespace. net/http appends such a
// line to the one before (obsolete line folding), although it may be a header of its own with a
// malformed name. An intermediary may reject the response (RFC 9112, section 5.2).
var errFoldedLine = errors.New("a line of the response headers starts with whitespace")

// statusOffset is the offset of the status in the first line of a head.
const statusOffset = len("HTTP/1.1 ")

// headScanner follows the lines of response heads as they are read.
type headScanner struct {
	inHead      bool // false once the empty line at the end of the head was read
	lines       int  // of all heads since the scanner was set to its zero value
	lineBytes   int  // of the line in progress
	firstLine   bool
	statusClass byte // first digit of the status of the head
}

// start begins a head.
func (s *headScanner) start() {
	*s = headScanner{inHead: true, firstLine: true, lines: s.lines}
}

// scan reads bytes of the head and returns how many of p belong to it.
func (s *headScanner) scan(p []byte) (int, error) {
	for i, b := range p {
		if !s.inHead {
			return i, nil
		}
		switch {
		case b == '\n':
			s.inHead = s.lineBytes > 0
			s.lines++
			s.lineBytes, s.firstLine = 0, false
		case b == '\r':
		case s.lineBytes == 0 && (b == ' ' || b == '\t'):
			return i, errFoldedLine
		default:
			if s.firstLine && s.lineBytes == statusOffset {
				s.statusClass = b
			}
			s.lineBytes++
		}
	}
	return len(p), nil
}
