package intake

import "arbutustrestle/core/yield"

// refusal is the reason for which a connection is closed.
type refusal uint8

const (
	refusedNone refusal = iota
	// refusedHead is for a head above the limit.
	refusedHead
	// refusedSlow is for a head that takes too long.
	refusedSlow
	// refusedMemory is for a head for which there is no memory.
	refusedMemory
	// refusedStopped is for a head that gave way to others.
	refusedStopped
	// refusedFull is for a connection that comes while none gives way to it.
	refusedFull
	// closedIdle, closedSilent and closedBody are for connections that gave way to others: between
	// two requests, before the first one, or while a body was read, which the handler answers.
	closedIdle
	closedSilent
	closedBody
	// closedUnread is for a connection that gave way since its caller didn't read the answer.
	closedUnread
	refusalCount
)

// endReasons holds the reasons for which connections in a phase give way.
var endReasons = map[yield.Phase]refusal{
	yield.Idle:   closedIdle,
	yield.Silent: closedSilent,
	yield.Body:   closedBody,
	yield.Busy:   closedUnread,
}

var refusalNames = [refusalCount]string{
	refusedHead:    "head-too-large",
	refusedSlow:    "head-too-slow",
	refusedMemory:  "head-memory",
	refusedStopped: "head-stopped",
	refusedFull:    "connections",
	closedIdle:     "idle",
	closedSilent:   "silent",
	closedBody:     "body-stopped",
	closedUnread:   "answer-unread",
}

// String returns the name of the reason.
func (r refusal) String() string { return refusalNames[r] }

const answerEnd = "Connection: close\r\nContent-Length: 0\r\n\r\n"

// answer returns the answer to a caller that is refused for the reason; empty if there is none.
func (r refusal) answer() string {
	switch r {
	case refusedHead:
		return "HTTP/1.1 431 Request Header Fields Too Large\r\n" + answerEnd
	case refusedSlow:
		return "HTTP/1.1 408 Request Timeout\r\n" + answerEnd
	case refusedMemory, refusedStopped, refusedFull:
		return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + answerEnd
	default:
		return ""
	}
}
