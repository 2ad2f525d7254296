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

// CheckStatus returns an error unless status is that of a final answer. net/http also reads statuses
// below 100, which HTTP does not define (RFC 9110, section 15), and with which a response cannot be
// written.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%03d is not the status of an answer", status)
	}
	return nil
}

// CheckHeaderNames returns an error if a name in the header of an answer is not a token (RFC 9110,
// section 5.1). net/http reads names with spaces as well, but does not know them, so that the body has
// another end than the one that "Content-Length : 5" states.
func CheckHeaderNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%q is not the name of a header", name)
		}
	}
	return nil
}
