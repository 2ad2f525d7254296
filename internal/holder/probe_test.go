package holder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/holder"
)

// Guards against a target whose load, leaving or restart is taken from bytes that are no answer, or
// from a part of one.
var _ = DescribeTable("a load probe",
	func(raw string, reset, want bool) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, raw)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}()
		Expect(holder.FetchLoad(GinkgoT().Context(), listener.Addr().String()).OK).To(Equal(want))
	},
	Entry("of a whole answer", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"slots\":2}", false, true),
	Entry("of an answer that ends with its connection", "HTTP/1.1 200 OK\r\n\r\n{\"slots\":2}", false, true),
	Entry("of an answer that ends early", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"slots\":2}", false, false),
	Entry("of an answer whose last chunk is missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n{\"slots\":2}\r\n", false, false),
	Entry("of an answer that is reset", "HTTP/1.1 200 OK\r\n\r\n{\"slots\":2}", true, false),
	Entry("of status 000", "HTTP/1.1 000 X\r\nContent-Length: 11\r\n\r\n{\"slots\":2}", false, false),
	Entry("of a name with a blank", "HTTP/1.1 200 OK\r\nContent-Length : 11\r\n\r\n{\"slots\":2}", false, false),
	Entry("of a name with a control byte", "HTTP/1.1 200 OK\r\nA\x01: x\r\nContent-Length: 11\r\n\r\n{\"slots\":2}", false, false),
)
