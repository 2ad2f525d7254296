package netem

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNetem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Netem")
}

// echoServer starts a server that answers each line with "re:" and the line, and
// closes the connection at the end of the stream. It returns its address.
func echoServer() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					fmt.Fprintf(c, "re:%s\n", in.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("link", func() {
	var link *Link
	var proxy *Proxy

	BeforeEach(func() {
		link = New(time.Millisecond, 0)
		DeferCleanup(link.Close)
		var err error
		proxy, err = link.StartProxy("127.0.0.1:0", echoServer(), AToB)
		Expect(err).NotTo(HaveOccurred())
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c, bufio.NewReader(c)
	}

	It("passes bytes both ways, counts them and closes a stream after its last byte", func() {
		c, in := dial()
		fmt.Fprintf(c, "hello\n")
		Expect(in.ReadString('\n')).To(Equal("re:hello\n"))
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(io.ReadAll(in)).To(BeEmpty())
		Expect(link.Bytes(AToB)).To(Equal(int64(6)))
		Expect(link.Bytes(BToA)).To(Equal(int64(9)))
	})

	It("finds recorded content in its direction only", func() {
		link.SetRecording(true)
		c, in := dial()
		// Written in two parts, so that the content may span two chunks.
		fmt.Fprintf(c, "sec")
		fmt.Fprintf(c, "ret\n")
		Expect(in.ReadString('\n')).To(Equal("re:secret\n"))
		Expect(link.Contains(AToB, []byte("secret"))).To(BeTrue())
		Expect(link.Contains(AToB, []byte("re:secret"))).To(BeFalse())
		Expect(link.Contains(BToA, []byte("re:secret"))).To(BeTrue())
	})

	It("returns an error for bytes not found in an incomplete recording", func() {
		link.SetRecording(true)
		pc := &proxyConn{done: make(chan struct{})}
		Expect(link.admit(pc, AToB, make([]byte, maxRecordedBytes))).To(BeTrue())
		Expect(link.admit(pc, AToB, []byte("x"))).To(BeTrue())
		_, err := link.Contains(AToB, []byte("x"))
		Expect(err).To(MatchError(ErrRecordingTruncated))
	})

	It("resets connections while cut and accepts new ones once healed", func() {
		c, in := dial()
		fmt.Fprintf(c, "a\n")
		Expect(in.ReadString('\n')).To(Equal("re:a\n"))
		link.Cut()
		_, err := in.ReadByte()
		Expect(err).To(HaveOccurred())
		// The reset may arrive before or after connect has returned.
		if conn, err := net.Dial("tcp", proxy.Address()); err == nil {
			defer conn.Close()
			_, err = conn.Read(make([]byte, 1))
			Expect(err).To(MatchError(syscall.ECONNRESET))
		} else {
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
		link.Heal()
		c, in = dial()
		fmt.Fprintf(c, "b\n")
		Expect(in.ReadString('\n')).To(Equal("re:b\n"))
	})

	It("delays bytes while paused and delivers them after resuming", func() {
		c, in := dial()
		fmt.Fprintf(c, "a\n")
		Expect(in.ReadString('\n')).To(Equal("re:a\n"))
		link.Pause()
		before := link.Bytes(AToB)
		fmt.Fprintf(c, "b\n")
		Consistently(func() int64 { return link.Bytes(AToB) }, "50ms").Should(Equal(before))
		link.Resume()
		Expect(in.ReadString('\n')).To(Equal("re:b\n"))
	})

	It("pauses one direction only", func() {
		c, in := dial()
		link.PauseDirection(BToA)
		before := link.Bytes(BToA)
		fmt.Fprintf(c, "a\n")
		Eventually(func() int64 { return link.Bytes(AToB) }).Should(BeNumerically(">", 0))
		Consistently(func() int64 { return link.Bytes(BToA) }, "50ms").Should(Equal(before))
		link.Resume()
		Expect(in.ReadString('\n')).To(Equal("re:a\n"))
	})

	It("blackholes existing connections only", func() {
		c, _ := dial()
		fmt.Fprintf(c, "a\n")
		Eventually(func() int64 { return link.Bytes(BToA) }).Should(BeNumerically(">", 0))
		link.Blackhole()
		before := link.Bytes(AToB)
		fmt.Fprintf(c, "b\n")
		Consistently(func() int64 { return link.Bytes(AToB) }, "50ms").Should(Equal(before))
		other, in := dial()
		fmt.Fprintf(other, "c\n")
		Expect(in.ReadString('\n')).To(Equal("re:c\n"))
	})

	It("resets existing connections only", func() {
		// A connection exists for the link once the proxy has accepted it.
		c, in := dial()
		fmt.Fprintf(c, "a\n")
		Expect(in.ReadString('\n')).To(Equal("re:a\n"))
		link.Reset()
		_, err := in.ReadString('\n')
		Expect(err).To(HaveOccurred())
		other, in := dial()
		fmt.Fprintf(other, "c\n")
		Expect(in.ReadString('\n')).To(Equal("re:c\n"))
	})

	It("delivers large streams completely under a bandwidth limit", func() {
		link.SetBandwidth(AToB, 50e6)
		c, in := dial()
		line := append(bytes.Repeat([]byte("x"), 60000), '\n')
		go func() {
			for range 20 {
				c.Write(line)
			}
		}()
		for range 20 {
			got, err := in.ReadBytes('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(append([]byte("re:"), line...)))
		}
	})
})

// Guards against giving each of two sends at the same time the whole bandwidth of the
// link, and against adding the delay once for each of several chunks sent together.
var _ = Describe("schedule", func() {
	It("shares the bandwidth and adds the delay once", func() {
		s := directionState{delay: 12 * time.Millisecond, bytesPerSecond: 1000}
		now := time.Unix(0, 0)
		Expect(s.scheduleArrival(now, 500)).To(Equal(now.Add(512 * time.Millisecond)))
		Expect(s.scheduleArrival(now, 500)).To(Equal(now.Add(1012 * time.Millisecond)))
		later := now.Add(5 * time.Second)
		Expect(s.scheduleArrival(later, 0)).To(Equal(later.Add(12 * time.Millisecond)))
	})
})
