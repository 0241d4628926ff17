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
	"arbutustrestle/io/syntax"
)

// OrderSender sends orders, which state the models that an engine should load. It is safe
// for concurrent use.
type OrderSender struct {
	clock  clock.Clock
	client http.Client
}

// NewOrderSender returns a sender that opens a connection for each order, so that the
// transport never sends an order twice.
func NewOrderSender(c clock.Clock) *OrderSender {
	return &OrderSender{clock: c, client: syntax.NewClient(newTransport(true))}
}

// Send sends an order unless its time to be sent has passed, and returns the engine's
// answer. After a connection error, the engine may still have accepted the order.
func (o *OrderSender) Send(ctx context.Context, address netip.AddrPort, s order.Send) (order.Result, error) {
	result := order.Result{Upstream: s.Upstream, Fence: s.Fence}
	ctx, cancel := context.WithDeadline(ctx, s.SendBy)
	defer cancel()
	request, err := orderRequest(ctx, address, s)
	if err != nil {
		return result, errors.Trace(err)
	}
	// The clock is read last, as the process may have been paused since the decision.
	if !o.clock.Now().Before(s.SendBy) {
		return result, errors.Timeoutf("order to %s", s.Upstream)
	}
	response, err := o.client.Do(request)
	if err != nil {
		return result, errors.Annotatef(err, "send an order to %s at %s", s.Upstream, address)
	}
	defer func() { _ = response.Body.Close() }()
	result.Accepted = response.StatusCode == http.StatusOK
	result.HighestFence = highestFence(response.Body)
	return result, nil
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, oneShotBody{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// highestFence reads the highest fence that an engine reports. It returns 0 if the answer
// can't be decoded.
func highestFence(body io.Reader) ident.Revision {
	var reply struct {
		HighestFence ident.Revision `json:"highest-fence"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxLoadBytes)).Decode(&reply); err != nil {
		return 0
	}
	return reply.HighestFence
}

// Close closes the idle connections.
func (o *OrderSender) Close() {
	o.client.CloseIdleConnections()
}
