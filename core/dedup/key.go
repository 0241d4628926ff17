package dedup

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
)

// maxUniqueLength bounds the part of a key that the caller chooses, in bytes.
const maxUniqueLength = 64

// MaxKeyLength bounds the text form of a key, in bytes.
const MaxKeyLength = 64 + 1 + 16 + 1 + 10 + 1 + maxUniqueLength

// Key names one call that may run at most once, and the only process run that may
// run it.
type Key struct {
	// Owner is the incarnation that gave out the epoch; it is never zero in a
	// parsed key.
	Owner ident.Incarnation
	// Epoch is a period of the owner's own clock, counted from zero at its start.
	Epoch uint32
	// Unique is chosen by the caller: 1 to 64 letters, digits, hyphens and
	// underscores.
	Unique string
}

// String gives the form that ParseKey reads: "entry-west-1~00c0ffee00c0ffee.7.x1Yz".
func (k Key) String() string {
	return KeyPrefix(k.Owner, k.Epoch) + k.Unique
}

// KeyPrefix returns what the caller puts before its unique part to make a key.
func KeyPrefix(owner ident.Incarnation, epoch uint32) string {
	return owner.String() + "." + strconv.FormatUint(uint64(epoch), 10) + "."
}

// ParseKey reads the form that String writes, and no other spelling of the same
// key. It returns a NotValid error for anything else; the error doesn't repeat
// the text.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyLength {
		return Key{}, errors.NotValidf("idempotency key of %d bytes", len(text))
	}
	ownerText, rest, _ := strings.Cut(text, ".")
	epochText, unique, found := strings.Cut(rest, ".")
	if !found {
		return Key{}, errors.NotValidf("idempotency key without three parts")
	}
	owner, err := ident.ParseIncarnation(ownerText)
	if err != nil {
		return Key{}, errors.NotValidf("owner in the idempotency key")
	}
	epoch, err := strconv.ParseUint(epochText, 10, 32)
	if err != nil || strconv.FormatUint(epoch, 10) != epochText {
		return Key{}, errors.NotValidf("epoch in the idempotency key")
	}
	if !validUnique(unique) {
		return Key{}, errors.NotValidf("unique part of the idempotency key")
	}
	return Key{Owner: owner, Epoch: uint32(epoch), Unique: unique}, nil
}

// validUnique reports whether the caller's part is within its bounds.
func validUnique(unique string) bool {
	if unique == "" || len(unique) > maxUniqueLength {
		return false
	}
	for i := 0; i < len(unique); i++ {
		c := unique[i]
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
