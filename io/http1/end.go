package http1

import (
	"io"

	"github.com/juju/errors"
)

// endEvent is something that happens on the connection of an answer whose end is that of the
// connection.
type endEvent interface{ isEndEvent() }

type (
	// endRead means that a read has returned the end.
	endRead struct{}
	// callFailed means that a read, a write or a look has returned an error that says that the
	// connection failed. No later call returns it again.
	callFailed struct{}
	// writeEnded means that no write is under way any more, nor will be.
	writeEnded struct{}
	// upstreamChecked means that the upstream's process is known to have outlasted the end or not.
	upstreamChecked struct{ lives bool }
)

func (endRead) isEndEvent()         {}
func (callFailed) isEndEvent()      {}
func (writeEnded) isEndEvent()      {}
func (upstreamChecked) isEndEvent() {}

// endState is what the events on a connection say of the end of its answer. The order in which they
// come says nothing: a reset may be seen by a write before or after a read has returned the end. The
// zero value is that of a connection on which nothing has happened.
type endState struct {
	ended, failed, written bool
	// lives and dead are what the last check of the upstream told.
	lives, dead bool
}

// next returns the state after an event.
func (s endState) next(e endEvent) endState {
	switch e := e.(type) {
	case endRead:
		s.ended = true
	case callFailed:
		s.failed = true
	case writeEnded:
		s.written = true
	case upstreamChecked:
		s.lives, s.dead = e.lives, !e.lives
	}
	return s
}

var (
	// errReset means that a call on the connection has reported its failure, so that the end that a
	// read returned proves nothing.
	errReset = errors.Annotate(io.ErrUnexpectedEOF, "the connection failed before its end was read")
	// errUnproved means that not all that could speak against the end has been asked.
	errUnproved = errors.Annotate(io.ErrUnexpectedEOF, "the end of the connection isn't proved")
)

// check returns nil if the answer is whole, and else why it isn't.
func (s endState) check() error {
	switch {
	case s.failed:
		return errReset
	case s.dead:
		return ErrUpstreamEnded
	case s.ended && s.written && s.lives:
		return nil
	default:
		return errUnproved
	}
}
