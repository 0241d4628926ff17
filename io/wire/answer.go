package wire

import (
	"net/http"
	"time"

	"arbutustrestle/core/result"
)

// HeadersToWire encodes an HTTP header as one message for each value.
func HeadersToWire(h http.Header) []*Header {
	var list []*Header
	for name, values := range h {
		for _, v := range values {
			list = append(list, &Header{Name: name, Value: []byte(v)})
		}
	}
	return list
}

// HeadersFromWire decodes an HTTP header.
func HeadersFromWire(list []*Header) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		h.Add(f.GetName(), string(f.GetValue()))
	}
	return h
}

// FailureToWire encodes a failure. It returns nil for nil.
func FailureToWire(f *result.Failure) *Failure {
	if f == nil {
		return nil
	}
	return &Failure{
		Outcome:      f.Outcome.String(),
		Step:         f.Step.String(),
		Reason:       f.Reason.String(),
		Peer:         f.Peer,
		RetryAfterMs: uint64(f.RetryAfter.Milliseconds()),
	}
}

// FailureFromWire decodes a failure. An outcome that can't be parsed is Unknown, so that
// the failure never falsely states that a request has not run.
func FailureFromWire(f *Failure) *result.Failure {
	return &result.Failure{
		Outcome:    result.ParseOutcome(f.GetOutcome()),
		Step:       result.ParseStep(f.GetStep()),
		Reason:     result.ParseReason(f.GetReason()),
		Peer:       f.GetPeer(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}
