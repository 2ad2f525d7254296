package sibling

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeCounter counts the writes that reach the connection.
type writeCounter struct {
	net.Conn
	err error

	mu    sync.Mutex
	sizes []int
}

func (w *writeCounter) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.sizes = append(w.sizes, len(p))
	w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	return w.Conn.Write(p)
}

func dataHeader(length byte) []byte {
	return []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
}

var _ = Describe("Joined frames", func() {
	// Guards against lost or reordered bytes when frames of all sizes and
	// streams share a connection, among them bodies as long as a header.
	It("keeps all bytes of many streams", func() {
		near, far := net.Pipe()
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		client, err := yamux.Client(&joinedConn{Conn: near}, config)
		Expect(err).NotTo(HaveOccurred())
		server, err := yamux.Server(&joinedConn{Conn: far}, config)
		Expect(err).NotTo(HaveOccurred())
		var running sync.WaitGroup
		running.Go(func() {
			for {
				st, err := server.AcceptStream()
				if err != nil {
					return
				}
				running.Go(func() {
					defer st.Close()
					_, _ = io.Copy(st, st)
				})
			}
		})
		var streams sync.WaitGroup
		for n, size := range []int{1, frameHeaderSize, frameHeaderSize, 1500, maxJoined, maxJoined + 1, 200_000} {
			streams.Go(func() {
				defer GinkgoRecover()
				st, err := client.OpenStream()
				Expect(err).NotTo(HaveOccurred())
				sent := bytes.Repeat([]byte{byte(n)}, size)
				for range 20 {
					_, err = st.Write(sent)
					Expect(err).NotTo(HaveOccurred())
					got := make([]byte, size)
					_, err = io.ReadFull(st, got)
					Expect(err).NotTo(HaveOccurred())
					Expect(bytes.Equal(got, sent)).To(BeTrue())
				}
				Expect(st.Close()).To(Succeed())
			})
		}
		streams.Wait()
		Expect(client.Close()).To(Succeed())
		Expect(server.Close()).To(Succeed())
		running.Wait()
	})

	// Guards against a header that waits although no body follows, which would
	// stop the session.
	It("holds back only headers of frames with a body", func() {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		counter := &writeCounter{Conn: near}
		conn := &joinedConn{Conn: counter}
		ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7}
		for _, p := range [][]byte{ping, dataHeader(0), dataHeader(12), dataHeader(12), ping, dataHeader(2), []byte("ab")} {
			n, err := conn.Write(p)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(len(p)))
		}
		Expect(counter.sizes).To(Equal([]int{12, 12, 24, 12, 14}))
		Expect(near.Close()).To(Succeed())
		Expect(far.Close()).To(Succeed())
	})

	// Guards against a failed frame that counts as written.
	It("reports a failure with the body", func() {
		broken := errors.New("broken")
		conn := &joinedConn{Conn: &writeCounter{err: broken}}
		_, err := conn.Write(dataHeader(2))
		Expect(err).NotTo(HaveOccurred())
		n, err := conn.Write([]byte("ab"))
		Expect(err).To(MatchError(broken))
		Expect(n).To(BeZero())
	})
})
