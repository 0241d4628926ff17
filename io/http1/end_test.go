package http1

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// TestEndEvents guards against an end that counts as whole because of the order in which a reader, a
// writer, a look and the check of the upstream have seen what happened.
func TestEndEvents(t *testing.T) {
	events := []endEvent{endRead{}, callFailed{}, writeEnded{}, upstreamChecked{true}, upstreamChecked{false}}
	eachOrder(events, func(order []endEvent) {
		var s endState
		var ended, failed, written, lives bool
		for _, e := range order {
			s = s.next(e)
			switch e := e.(type) {
			case endRead:
				ended = true
			case callFailed:
				failed = true
			case writeEnded:
				written = true
			case upstreamChecked:
				lives = e.lives
			}
			err := s.check()
			if (err == nil) != (ended && written && lives && !failed) {
				t.Errorf("%s: %v", names(order), err)
			}
			if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%s: %v isn't a cut", names(order), err)
			}
		}
	})
}

// eachOrder calls f with each sequence of the elements of events, none of them twice.
func eachOrder(events []endEvent, f func(order []endEvent)) {
	var extend func(order []endEvent, used int)
	extend = func(order []endEvent, used int) {
		f(order)
		for i, e := range events {
			if used&(1<<i) == 0 {
				extend(append(order[:len(order):len(order)], e), used|1<<i)
			}
		}
	}
	extend(nil, 0)
}

func names(order []endEvent) string {
	text := ""
	for _, e := range order {
		text += fmt.Sprintf("%T%v ", e, e)
	}
	return text
}
