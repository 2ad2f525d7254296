package sibling

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// deadlineConn records the last deadline that was set.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against the deadline of an earlier exchange that stays set on a reused
// stream and ends a later call.
var _ = Describe("Deadline of a reused stream", func() {
	It("is that of the latest exchange", func() {
		conn := &deadlineConn{}
		st := newStream(conn)
		now := time.Now()
		st.applyDeadline(context.Background(), now.Add(time.Minute))
		Expect(conn.deadline).To(Equal(now.Add(time.Minute)))
		ctx, cancel := context.WithDeadline(context.Background(), now.Add(time.Hour))
		defer cancel()
		st.applyDeadline(ctx, now.Add(time.Hour))
		Expect(conn.deadline).To(BeZero())
		st.applyDeadline(ctx, now.Add(time.Second))
		Expect(conn.deadline).To(Equal(now.Add(time.Second)))
		st.applyDeadline(context.Background(), now.Add(2*time.Second))
		Expect(conn.deadline).To(Equal(now.Add(2 * time.Second)))
	})
})
