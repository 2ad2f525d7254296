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

// Subscription carries news in both directions. One goroutine may send while
// another receives.
type Subscription struct{ st *stream }

// Send writes one message. It fails if the sibling takes nothing for as long as
// the write timeout of the session.
func (n *Subscription) Send(news *siblingpb.News) error {
	if err := n.st.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return n.st.write(news)
}

// Receive returns the next message. It fails if none arrives within timeout.
func (n *Subscription) Receive(timeout time.Duration) (*siblingpb.News, error) {
	if err := n.st.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	news := &siblingpb.News{}
	if err := n.st.read(news); err != nil {
		return nil, err
	}
	return news, nil
}

// Close ends the subscription.
func (n *Subscription) Close() error { return n.st.Close() }

// Subscribe opens a subscription at the VM at address.
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

// Disconnect closes the session with the VM at address, for instance after a
// subscription fell silent although its connection was not closed.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	s := c.sessions[address]
	c.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	mux := s.mux
	s.mux = nil
	s.mu.Unlock()
	if mux != nil {
		_ = mux.Close()
	}
}
