package invoke

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/node"
	"arbutustrestle/io/syntax"
)

const (
	loadTimeout  = 2 * time.Second
	maxLoadBytes = 64 << 10
)

// LoadReader polls upstreams for their load. It is safe for concurrent use.
type LoadReader struct {
	clock  clock.Clock
	client http.Client
}

// NewLoadReader returns a reader with its own connections, so that a poll never waits
// behind traffic.
func NewLoadReader(c clock.Clock) *LoadReader {
	r := &LoadReader{clock: c, client: syntax.NewClient(newTransport(false))}
	r.client.Timeout = loadTimeout
	return r
}

// Close closes the idle connections.
func (r *LoadReader) Close() {
	r.client.CloseIdleConnections()
}

// Read returns an upstream's report of its load and models. AsOf is the local time of
// the poll, since the upstream's clock can't be compared with the local one.
func (r *LoadReader) Read(ctx context.Context, address netip.AddrPort) (load.Report, node.ModelReport, error) {
	requestedAt := r.clock.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/load", nil)
	if err != nil {
		return load.Report{}, node.ModelReport{}, errors.Trace(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return load.Report{}, node.ModelReport{}, errors.Annotatef(err, "read the load of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return load.Report{}, node.ModelReport{}, errors.Errorf("read the load of %s: status %d", address, response.StatusCode)
	}
	reply, err := decodeLoad(response.Body)
	if err != nil {
		return load.Report{}, node.ModelReport{}, errors.Annotatef(err, "decode the load of %s", address)
	}
	report := load.Report{
		Running:         reply.Running,
		Waiting:         reply.Waiting,
		Slots:           reply.Slots,
		TokensPerSecond: reply.TokensPerSecond,
		Leaving:         reply.Leaving,
		AsOf:            requestedAt,
	}
	slices.Sort(reply.Loaded)
	models := node.ModelReport{Known: reply.Loaded != nil, Loaded: reply.Loaded, HighestFence: reply.HighestFence}
	return report, models, nil
}

// loadReply is an upstream's response to a poll. Loaded is absent if the upstream
// serves every model.
type loadReply struct {
	Running         int            `json:"running"`
	Waiting         int            `json:"waiting"`
	Slots           int            `json:"slots"`
	TokensPerSecond float64        `json:"tokens-per-second"`
	Leaving         bool           `json:"leaving"`
	Loaded          []string       `json:"loaded"`
	HighestFence    ident.Revision `json:"highest-fence"`
}

func decodeLoad(body io.Reader) (loadReply, error) {
	var reply loadReply
	if err := json.NewDecoder(io.LimitReader(body, maxLoadBytes)).Decode(&reply); err != nil {
		return loadReply{}, errors.Trace(err)
	}
	if reply.Running < 0 || reply.Waiting < 0 || reply.Slots < 0 || reply.TokensPerSecond < 0 {
		return loadReply{}, errors.NotValidf("negative value in a load report")
	}
	return reply, nil
}
