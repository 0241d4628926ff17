package dedup

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
)

// maxUniqueLength is the maximum length in bytes of the part of a key that the caller
// chooses.
const maxUniqueLength = 64

// MaxKeyLength is the maximum length in bytes of the text form of a key.
const MaxKeyLength = 64 + 1 + 16 + 1 + 10 + 1 + maxUniqueLength

// Key is an idempotency key. It identifies one call that may run at most once, and the
// only incarnation that may run it.
type Key struct {
	// Owner is the incarnation that issued the key prefix. It is never zero in a parsed
	// key.
	Owner ident.Incarnation
	// Epoch numbers the periods of the owner's clock, from zero at the owner's start.
	Epoch uint32
	// Unique is chosen by the caller: 1 to 64 ASCII letters, digits, hyphens and
	// underscores.
	Unique string
}

// String returns the text form that ParseKey parses, such as
// "entry-west-1~00c0ffee00c0ffee.7.x1Yz".
func (k Key) String() string {
	return KeyPrefix(k.Owner, k.Epoch) + k.Unique
}

// KeyPrefix returns the prefix to which the caller appends its unique part to form a
// key.
func KeyPrefix(owner ident.Incarnation, epoch uint32) string {
	return owner.String() + "." + strconv.FormatUint(uint64(epoch), 10) + "."
}

// ParseKey parses the text form that String returns and accepts no other spelling of
// the same key. It returns a NotValid error for any other text; the error doesn't
// contain the text.
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

// validUnique reports whether the unique part of a key has an allowed length and only
// allowed characters.
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
