package invoke

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/order"
)

// OrderSender sends orders to engines. It is safe for concurrent use.
type OrderSender struct {
	clock  clock.Clock
	client http.Client
}

// NewOrderSender returns a sender that opens a connection for each order, so that an
// order is never sent again by the transport.
func NewOrderSender(c clock.Clock) *OrderSender {
	return &OrderSender{clock: c, client: http.Client{Transport: newTransport(true)}}
}

// Send sends an order unless its time is over, and says what the engine answered.
// The error is of the connection; the engine may then have taken the order.
func (o *OrderSender) Send(ctx context.Context, address netip.AddrPort, s order.Send) (order.Result, error) {
	answered := order.Result{Upstream: s.Upstream, Fence: s.Fence}
	ctx, cancel := context.WithDeadline(ctx, s.SendBy)
	defer cancel()
	request, err := orderRequest(ctx, address, s)
	if err != nil {
		return answered, errors.Trace(err)
	}
	// The clock is looked at last: the process may have stood still since the decision.
	if !o.clock.Now().Before(s.SendBy) {
		return answered, errors.Timeoutf("order to %s", s.Upstream)
	}
	response, err := o.client.Do(request)
	if err != nil {
		return answered, errors.Annotatef(err, "send an order to %s at %s", s.Upstream, address)
	}
	defer func() { _ = response.Body.Close() }()
	answered.Accepted = response.StatusCode == http.StatusOK
	answered.HighestFence = highestFence(response.Body)
	return answered, nil
}

func orderRequest(ctx context.Context, address netip.AddrPort, s order.Send) (*http.Request, error) {
	body, err := json.Marshal(struct {
		Fence ident.Revision `json:"fence"`
		Want  []string       `json:"want"`
		Role  string         `json:"role"`
	}{s.Fence, s.Wanted, "mixed"})
	if err != nil {
		return nil, errors.Trace(err)
	}
	url := "http://" + address.String() + "/v1/orders"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, onceBody{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// highestFence reads the highest number that an engine says it has seen.
func highestFence(body io.Reader) ident.Revision {
	var reply struct {
		HighestFence ident.Revision `json:"highest-fence"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxLoadBytes)).Decode(&reply); err != nil {
		return 0
	}
	return reply.HighestFence
}

// Close drops the connections that are kept.
func (o *OrderSender) Close() {
	o.client.CloseIdleConnections()
}
