// Package proof holds the tests of what must always hold, over real processes that
// are killed, frozen and cut off: entry instances against stand-ins on loopback.
// Each verdict comes from what the stand-ins logged and what the callers were told.
package proof
