// Package prefix estimates which leading parts of a prompt an engine still has in its
// cache, and what reading them again costs. All state is plain and bounded, and the clock
// is passed in.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// maxLinks bounds the parts of a prompt that are distinguished; callers choose how many
// there are. Further parts count as never cached.
const maxLinks = 8

// link is a leading section of a prompt: a part with all parts before it. Engines cache a
// part only together with what precedes it, so the key covers all of these.
type link struct {
	key    uint64
	tokens int
}

// Prompt is the leading sections of a prompt, in order. Its zero value is a prompt
// without parts.
type Prompt struct {
	links [maxLinks]link
	count int
	// shared is the number of links that other requests may have too.
	shared int
}

// NewPrompt returns the prompt that consists of the parts. All but the last part may be
// shared with other requests.
func NewPrompt(parts []Part) Prompt {
	var p Prompt
	var key uint64
	for _, part := range parts[:min(len(parts), maxLinks)] {
		key = extend(key, part.ID)
		p.links[p.count] = link{key, part.Tokens}
		p.count++
	}
	p.shared = max(0, min(p.count, len(parts)-1))
	return p
}

// extend returns the key of the section that consists of the one with the given key and a part
// after it.
func extend(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Shared returns the number of tokens in the parts that other requests may share.
func (p *Prompt) Shared() int {
	tokens := 0
	for _, l := range p.links[:p.shared] {
		tokens += l.tokens
	}
	return tokens
}

// Key identifies the longest section that other requests may share; zero if there is
// none.
func (p *Prompt) Key() uint64 {
	if p.shared == 0 {
		return 0
	}
	return p.links[p.shared-1].key
}

// parent returns the key of the section before a link.
func (p *Prompt) parent(i int) uint64 {
	if i == 0 {
		return 0
	}
	return p.links[i-1].key
}

// SharedParts returns the number of parts that other requests may share.
func (p *Prompt) SharedParts() int {
	return p.shared
}
