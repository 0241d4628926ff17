// Package entry serves requests of callers over HTTP and requests that other instances
// forward. Each request runs through a chain of filters; each filter either calls the next
// one or ends the request.
package entry

import (
	"context"
	"net/http"
	"time"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/hops"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/invoke"
)

// Call is one request and its state in the filter chain. It is used by one goroutine.
type Call struct {
	ID        string
	Workspace ident.Workspace
	Class     table.Class
	// Model is set for a completion, Service for a plain service call; never both.
	Model   ident.Model
	Service ident.Service
	Method  string
	// Path is the path that the upstream receives, with the query.
	Path    string
	Header  http.Header
	Session string
	// Key is the value of the Idempotency-Key header; empty if there is none.
	Key string
	// Repeatable is false for a call that may run at most once.
	Repeatable bool
	Deadline   time.Time
	// View is the view that this request is decided on. Each attempt replaces it by the
	// current one.
	View *node.View
	// Via lists the instances and regions that a forwarded request has passed; empty for a
	// request that came from a caller.
	Via hops.Via
	// BodyReader reads the body. It is called at most once, after the residency check.
	BodyReader BodyReader
	// Body is empty until the body filter has read it.
	Body []byte
	// memory is what the body of a caller's request takes.
	memory *memory.Share
	// Sink receives the response.
	Sink invoke.Sink
	// HeadSent is true once the response head was sent on. The call can't be retried after
	// that.
	HeadSent bool
	// Upstream is the upstream that answered; empty before.
	Upstream string
	// Tokens counts the event frames that were sent on.
	Tokens int
	// recordsAsked is true once the idempotency records of the key's owner have decided
	// about the call, here or at the owner. Before that, it is unknown whether the call has
	// run.
	recordsAsked bool
	// queueTime is the time that the request spent in the queue of its admission gate.
	queueTime time.Duration
	// admissionFailure is the reason why this region does not admit the request; nil if it
	// does.
	admissionFailure *result.Failure
	// hints holds the routing hints of a completion's body. For a plain service call only
	// the affinity is set.
	hints routingHints
}

// keyed reports whether the call may run at most once under its key.
func (c *Call) keyed() bool {
	return c.Key != "" && !c.Repeatable
}

// downgradeUnasked changes the outcome "not run" of a keyed call to "unknown" if the
// idempotency records were not asked: an earlier try under the same key may have run.
func (c *Call) downgradeUnasked(f *result.Failure) *result.Failure {
	if f == nil || !c.keyed() || c.recordsAsked {
		return f
	}
	return dedup.DowngradeNotRun(f)
}

// BodyReader reads the body of a request.
type BodyReader interface {
	// Read returns the whole body, or a failure with the step identify.
	Read(ctx context.Context) ([]byte, *result.Failure)
}

// Filter is one step of the request path. Apply returns nil if the whole response was sent
// on.
type Filter interface {
	Apply(ctx context.Context, c *Call, next Next) *result.Failure
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, c *Call) *result.Failure

// Chain links the filters in the given order. The last one must not call next.
func Chain(filters ...Filter) Next {
	next := Next(noFilterLeft)
	for i := len(filters) - 1; i >= 0; i-- {
		next = applyBefore(filters[i], next)
	}
	return next
}

func applyBefore(f Filter, next Next) Next {
	return func(ctx context.Context, c *Call) *result.Failure {
		return f.Apply(ctx, c, next)
	}
}

func noFilterLeft(context.Context, *Call) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.NoUpstream}
}

// notRun returns the failure of a request of which nothing has run.
func notRun(step result.Step, reason result.Reason) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: step, Reason: reason}
}
