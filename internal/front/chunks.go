package front

import "net/http"

const (
	// maxChunkExtensionBytes limits the chunk extensions of one body.
	maxChunkExtensionBytes = 16 << 10
	// maxTrailerBytes and maxTrailerLines limit the trailer of one body. net/http refuses longer
	// trailers, too.
	maxTrailerBytes = 4 << 10
	maxTrailerLines = 64
)

// chunkState is the part of a chunked body in which a chunkScanner is.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkEnd
	// chunkInvalid means that the bytes are no chunks. They are passed on, since net/http
	// rejects them.
	chunkInvalid
)

// chunkScanner finds the end of a chunked body and limits its extensions and trailer. The zero
// value is at the start of a body.
type chunkScanner struct {
	state          chunkState
	size           uint64 // of the chunk whose size line is read, or the bytes left of its data
	digits         int
	extensionBytes int
	trailerBytes   int
	trailerLines   int
	lineBytes      int // of the line of the trailer, without its end
}

// maxSizeDigits is the number of hexadecimal digits of a chunk size that net/http accepts.
const maxSizeDigits = 16

// scan returns how many bytes of p belong to the body.
func (s *chunkScanner) scan(p []byte) (n int, v *violation) {
	for n < len(p) && s.state != chunkEnd && s.state != chunkInvalid {
		if s.state == chunkData {
			k := min(uint64(len(p)-n), s.size)
			s.size -= k
			n += int(k) //nolint:gosec // at most len(p)
			if s.size == 0 {
				s.state = chunkDataEnd
			}
			continue
		}
		if v := s.next(p[n]); v != nil {
			return n, v
		}
		n++
	}
	if s.state == chunkInvalid {
		n = len(p)
	}
	return n, nil
}

// next handles a byte outside of the data of a chunk.
func (s *chunkScanner) next(b byte) *violation {
	switch s.state {
	case chunkSize, chunkExtension:
		s.nextOfSizeLine(b)
		if s.extensionBytes > maxChunkExtensionBytes {
			return &violation{"chunk-extension-bytes", http.StatusBadRequest, int64(s.extensionBytes), maxChunkExtensionBytes}
		}
	case chunkDataEnd:
		switch b {
		case '\r':
		case '\n':
			s.state, s.size, s.digits = chunkSize, 0, 0
		default:
			s.state = chunkInvalid
		}
	case chunkTrailer:
		s.trailerBytes++
		switch {
		case b == '\r':
		case b != '\n':
			s.lineBytes++
		case s.lineBytes == 0:
			s.state = chunkEnd
		default:
			s.trailerLines++
			s.lineBytes = 0
		}
		if s.trailerBytes > maxTrailerBytes {
			return &violation{"trailer-bytes", http.StatusBadRequest, int64(s.trailerBytes), maxTrailerBytes}
		}
		if s.trailerLines > maxTrailerLines {
			return &violation{"trailer-lines", http.StatusBadRequest, int64(s.trailerLines), maxTrailerLines}
		}
	}
	return nil
}

func (s *chunkScanner) nextOfSizeLine(b byte) {
	switch digit, ok := hexDigit(b); {
	case b == '\n':
		s.state = chunkData
		if s.size == 0 {
			s.state = chunkTrailer
		}
		if s.digits == 0 {
			s.state = chunkInvalid
		}
	case s.state == chunkExtension:
		s.extensionBytes++
	case ok && s.digits < maxSizeDigits:
		s.size = s.size<<4 | uint64(digit)
		s.digits++
	case b == ';' || b == ' ' || b == '\t' || b == '\r':
		s.state = chunkExtension
	default:
		s.state = chunkInvalid
	}
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return b | 0x20 - 'a' + 10, true
	}
	return 0, false
}
