package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// invalidHeads are bytes that a server sends in place of a response to request 1. Some are followed
// by bytes that look like one.
var invalidHeads = map[string]string{
	"status 000":                               "HTTP/1.1 000 X\r\nId: 1\r\nFrom: s-1\r\nContent-Length: 4\r\n\r\nbody",
	"status 000 without a body":                "HTTP/1.1 000 X\r\nId: 1\r\nFrom: s-1\r\nContent-Length: 0\r\n\r\n",
	"status 000, then a response":              "HTTP/1.1 000 X\r\nId: 1\r\nFrom: s-1\r\nContent-Length: 0\r\n\r\n" + rawResponse("1", "body"),
	"status 000, response in its body":         "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 46\r\n\r\n" + rawResponse("1", "body"),
	"status 099":                               "HTTP/1.1 099 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status +20":                               "HTTP/1.1 +20 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"status 000 after an informational status": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	"change of protocol that was not asked for": "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\nUpgrade: x\r\n\r\n" +
		rawResponse("1", "body"),
	"blank in a name":                          "HTTP/1.1 200 OK\r\nId: 1\r\nFrom: s-1\r\nA name: x\r\nContent-Length: 4\r\n\r\nbody",
	"blank after a name":                       "HTTP/1.1 200 OK\r\nId: 1\r\nA : x\r\nContent-Length: 4\r\n\r\nbody",
	"blank after the name of the length":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\n\r\nbody",
	"blank after the name of a second length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 9\r\nContent-Length: 4\r\n\r\nbody",
	"blank after the name of the encoding":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank in an informational response":       "HTTP/1.1 103 Early Hints\r\nA name: x\r\n\r\n" + rawResponse("1", "body"),
	"line that begins with a blank":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nA: x\r\n B: y\r\n\r\nbody",
	"line that begins with a tab":              "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nA: x\r\n\tB: y\r\n\r\nbody",
	"line of blanks":                           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nA: x\r\n  \r\n\r\nbody",
	"length that begins with a blank":          "HTTP/1.1 200 OK\r\nId: 1\r\nA: x\r\n Content-Length: 4\r\n\r\nbody",
	"folded line behind an informational head": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nA: x\r\n B: y\r\n\r\nbody",
}

func init() {
	for b := range byte(128) {
		if b < ' ' && b != '\n' || b == 127 {
			c := string([]byte{b})
			invalidHeads[fmt.Sprintf("byte %d in a name", b)] = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nA" + c + "name: x\r\n\r\nbody"
			invalidHeads[fmt.Sprintf("byte %d before a name", b)] = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n" + c + "Name: x\r\n\r\nbody"
			invalidHeads[fmt.Sprintf("byte %d after a name", b)] = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nName" + c + ": x\r\n\r\nbody"
		}
	}
}

// listenInvalid starts a server that answers each request with raw and keeps the connection open
// until the client closes it.
func listenInvalid(t testing.TB, raw string) string {
	t.Helper()
	return listenRaw(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, raw)
		_, _ = io.Copy(io.Discard, r)
	})
}

// Guards against bytes that are no response and are passed on as one, and against a wait for a
// response after them.
func TestInvalidHeadsAreNoResponse(t *testing.T) {
	heads := maps.Clone(invalidHeads)
	heads["folded line behind a skipped response"] = rawResponse("7", "other") + heads["line that begins with a blank"]
	for name, raw := range heads {
		s := fleet.Server{ID: "s-1", Address: listenInvalid(t, raw)}
		p := backend.NewConnPool(nil, backend.DefaultMaxHeaderBytes)
		t.Cleanup(p.Close)
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			started := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			req := getRequest("1")
			req.Method = method
			resp, err := p.Do(ctx, codec{}, s, req)
			var failure *backend.ExchangeError
			if !errors.As(err, &failure) || !failure.Sent {
				t.Errorf("%s: error %v, want an ExchangeError of a request that was sent", name, err)
			}
			if resp != nil {
				body, bodyErr := io.ReadAll(resp.Body)
				t.Errorf("%s: status %d, header %q and body %q (error %v) passed on", name, resp.Status, resp.Header, body, bodyErr)
				_ = resp.Body.Close()
			}
			if time.Since(started) > 3*time.Second {
				t.Errorf("%s: reported after %v", name, time.Since(started))
			}
			cancel()
		}
		if info, err := p.Probe(t.Context(), codec{}, s, "/health", time.Second); err == nil {
			t.Errorf("%s: health check succeeded with %+v", name, info)
		}
		if p.HasIdle(s.ID) {
			t.Errorf("%s: the connection is kept", name)
		}
	}
}

var _ = Describe("Sender", func() {
	// Guards against bytes that are no answer and are passed on as one.
	It("takes no answer with an invalid head", func() {
		sender := backend.NewSender(nil)
		DeferCleanup(sender.Close)
		for name, raw := range invalidHeads {
			address := listenInvalid(GinkgoTB(), raw)
			answer, err := sender.Send(GinkgoT().Context(), inventory.Target{Address: address}, 10, newPost("one"), allow)
			if answer != nil {
				_ = answer.Body.Close()
			}
			Expect(err).To(HaveOccurred(), name)
			Expect(outcome.FromError(err).Kind).To(Equal(outcome.Unknown), name)
		}
	})

	// Guards against a VM that runs out of memory because a target sends bytes without end.
	It("reads a limited number of bytes that are no answer, or that nobody reads", func() {
		for name, raw := range map[string][2]string{
			"status line":             {"", "x"},
			"one header line":         {"HTTP/1.1 200 OK\r\nA: ", "x"},
			"short headers":           {"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
			"empty lines":             {"", "\r\n"},
			"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
			"body":                    {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
			"chunks":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
			"chunk extension":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
			"trailer":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n"},
		} {
			block := strings.Repeat(raw[1], 1+1000/len(raw[1]))
			s, closed := newEndlessServer(GinkgoTB(), raw[0], block)
			read := &atomic.Int64{}
			sender := backend.NewSender(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{c, read}, err
			})
			DeferCleanup(sender.Close)
			answer, err := sender.Send(GinkgoT().Context(), inventory.Target{Address: s.Address}, 10, newPost("one"), allow)
			if err == nil {
				_, _ = answer.Body.Read(make([]byte, 1))
				time.Sleep(20 * time.Millisecond)
				_ = answer.Body.Close()
			}
			Eventually(closed).Should(Receive(), name)
			Expect(read.Load()).To(BeNumerically("<=", maxBytesPerRequest), name)
		}
	})
})
