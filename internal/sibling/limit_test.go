package sibling

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a deadline that stays on a reused stream and ends a later call.
var _ = Describe("Deadline of a reused stream", func() {
	It("is that of the latest exchange", func() {
		conn := &deadlineConn{}
		st := newStream(conn)
		now := time.Now()
		st.limit(context.Background(), now.Add(time.Minute))
		Expect(conn.deadline).To(Equal(now.Add(time.Minute)))
		ctx, cancel := context.WithDeadline(context.Background(), now.Add(time.Hour))
		defer cancel()
		st.limit(ctx, now.Add(time.Hour))
		Expect(conn.deadline).To(BeZero())
		st.limit(ctx, now.Add(time.Second))
		Expect(conn.deadline).To(Equal(now.Add(time.Second)))
		st.limit(context.Background(), now.Add(2*time.Second))
		Expect(conn.deadline).To(Equal(now.Add(2 * time.Second)))
	})
})
