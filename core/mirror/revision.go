package mirror

import "github.com/juju/errors"

// A store that comes back from an older copy loses its newest changes and gives their
// revisions out again. It counts these returns as its era. States are therefore ordered by
// era first. A Revision of this package holds both numbers, so that it orders the states of
// the store wherever it is compared, also by instances that can't reach the store and know
// the era from their peers only.

const (
	// numberBits is the number of bits of the store's own revision.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// NewRevision returns the revision of a state that the store numbers so in an era.
func NewRevision(era, number uint64) (uint64, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.NotValidf("revision %d in era %d", number, era)
	}
	return era<<numberBits | number, nil
}

// SplitRevision returns the era of a revision and the store's own number.
func SplitRevision(r uint64) (era, number uint64) {
	return r >> numberBits, r & maxNumber
}

// Era returns the era of a revision.
func Era(r uint64) uint64 {
	era, _ := SplitRevision(r)
	return era
}
