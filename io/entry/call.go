// Package entry serves requests: those of callers over HTTP and those that other
// entries forward. Each request passes a chain of filters; a filter either passes
// it on or ends it.
package entry

import (
	"context"
	"net/http"
	"time"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/hops"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/invoke"
)

// Call is one request on its way through the filters. It belongs to one goroutine.
type Call struct {
	ID        string
	Workspace ident.Workspace
	Class     table.Class
	// Model is set for a completion, Service for a plain service call; never both.
	Model   ident.Model
	Service ident.Service
	Method  string
	// Path is the part that the upstream sees, with its query.
	Path    string
	Header  http.Header
	Session string
	// Key is the Idempotency-Key as it arrived; empty when there was none.
	Key string
	// Repeatable is false for a call that may run at most once.
	Repeatable bool
	Deadline   time.Time
	// View is the state that this request is decided on, from start to end.
	View *node.View
	// Via says where a forwarded request has been; empty for a caller's own one.
	Via hops.Via
	// BodyReader gives the body; it is read at most once, after residency is checked.
	BodyReader BodyReader
	// Body is empty until the body filter has read it.
	Body []byte
	// Sink takes the answer.
	Sink invoke.Sink
	// HeadSent is true once the answer's head was passed on; the call can't be
	// retried after that.
	HeadSent bool
	// Upstream is the upstream that answered; empty before.
	Upstream string
	// Tokens counts the event frames that were passed on.
	Tokens int
	// asked is true once the records of the key's owner have decided about the call,
	// here or at the owner. Before that, nobody can say that it has not run.
	asked bool
	// waited is the time that the request spent in the queue of its gate.
	waited time.Duration
	// full is why the own region does not admit the request; nil when it does.
	full *result.Failure
	// prompt is what a completion's body says; zero for a plain service call.
	prompt prompt
}

// keyed reports whether the call may run at most once under its key.
func (c *Call) keyed() bool {
	return c.Key != "" && !c.Repeatable
}

// known weakens a claim that a keyed call has not run when its records were not
// asked: an earlier try under the same key may have run.
func (c *Call) known(f *result.Failure) *result.Failure {
	if f == nil || !c.keyed() || c.asked {
		return f
	}
	return dedup.DowngradeNotRun(f)
}

// BodyReader gives the body of a request.
type BodyReader interface {
	// Read returns the whole body, or a failure with the step identify.
	Read(ctx context.Context) ([]byte, *result.Failure)
}

// Filter is one step of the request path. It returns nil when the whole answer
// was passed on.
type Filter interface {
	Apply(ctx context.Context, c *Call, next Next) *result.Failure
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, c *Call) *result.Failure

// Chain links the filters in the given order. The last one never calls next.
func Chain(filters ...Filter) Next {
	next := Next(endOfChain)
	for i := len(filters) - 1; i >= 0; i-- {
		next = join(filters[i], next)
	}
	return next
}

func join(f Filter, next Next) Next {
	return func(ctx context.Context, c *Call) *result.Failure {
		return f.Apply(ctx, c, next)
	}
}

func endOfChain(context.Context, *Call) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.NoUpstream}
}

// refuse ends a request of which nothing ran.
func refuse(step result.Step, reason result.Reason) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: step, Reason: reason}
}
