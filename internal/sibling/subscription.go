package sibling

import (
	"context"
	"fmt"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
)

// SubscriptionHandler is implemented by a Handler that accepts subscriptions.
type SubscriptionHandler interface {
	// HandleSubscription serves a subscription until its stream ends. It is
	// called on a goroutine of its own.
	HandleSubscription(sub *siblingpb.Subscribe, stream *Subscription)
}

// Subscription is a stream on which both VMs send News messages. One goroutine may
// call Send while another calls Receive.
type Subscription struct{ st *stream }

// Send writes one message. It fails if the message cannot be written within
// writeTimeout, for example because the sibling reads nothing.
func (s *Subscription) Send(news *siblingpb.News) error {
	if err := s.st.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return s.st.write(news)
}

// Receive returns the next message. It fails if none arrives completely within
// timeout.
func (s *Subscription) Receive(timeout time.Duration) (*siblingpb.News, error) {
	if err := s.st.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	news := &siblingpb.News{}
	if err := s.st.read(news); err != nil {
		return nil, err
	}
	return news, nil
}

// Close ends the subscription at both VMs.
func (s *Subscription) Close() error { return s.st.Close() }

// Subscribe sends the request sub to the VM at address and returns the stream of
// the subscription. ctx applies only to the dial.
func (c *Client) Subscribe(ctx context.Context, address string, sub *siblingpb.Subscribe) (*Subscription, error) {
	st, err := c.open(ctx, address, false)
	if err != nil {
		return nil, fmt.Errorf("subscribe at %s: %w", address, err)
	}
	if err := st.write(&siblingpb.Request{Kind: &siblingpb.Request_Subscribe{Subscribe: sub}}); err != nil {
		_ = st.Close()
		return nil, fmt.Errorf("subscribe at %s: %w", address, err)
	}
	return &Subscription{st: st}, nil
}

// Disconnect closes the session with the VM at address, for instance if no News
// message arrives on a subscription although its connection was not closed. The
// next request dials anew.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	s := c.connections[address]
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	session := s.session
	s.session = nil
	s.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}
