package call

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the largest status that has three digits.
const maxStatus = 999

// hopByHop lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the headers of h that must not be forwarded, including
// those named in Connection.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// CheckStatus returns an error unless status is that of a final answer. net/http also accepts statuses
// below 100 in a response, which HTTP does not define (RFC 9110, section 15), and panics when one is
// written.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%03d is not a valid status of an answer", status)
	}
	return nil
}

// CheckAnswer returns an error if the head of a final answer has an invalid status or header name.
func CheckAnswer(status int, h http.Header) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	return CheckHeaderNames(h)
}

// CheckHeaderNames returns an error if a header name of an answer is not a token (RFC 9110, section
// 5.1). net/http accepts names with spaces but ignores what they mean, so that "Content-Length : 5"
// does not delimit the body.
func CheckHeaderNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%q is not a valid header name", name)
		}
	}
	return nil
}
