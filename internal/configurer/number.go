package configurer

import "fmt"

// A number of a source orders what the source's readers have seen, from the most
// significant part on: the version of the declaration, which the operators raise;
// the era of the source; the trust in the orders for data centres; whether the
// source holds that version; and the revision since the declaration was written.
// So an older declaration never replaces a later one, whatever a restored source
// says, and revisions are compared within an era only. What the revision has
// beyond its bits is its overflow, which comes after the number (see position).
const (
	eraBits      = 10
	trustBits    = 2
	storedBits   = 1
	revisionBits = 19

	storedShift  = revisionBits
	trustShift   = storedShift + storedBits
	eraShift     = trustShift + trustBits
	versionShift = eraShift + eraBits

	// maxSourceVersion is the highest version of a declaration.
	maxSourceVersion = 1<<(64-versionShift) - 1
)

// trust says what the orders for data centres in an observation are based on.
type trust uint64

const (
	// trustUnknown is that of a reader that knew nothing before it read the
	// source, which may just have been restored.
	trustUnknown trust = iota
	// trustMerged is that of orders merged with those from before a restoration.
	trustMerged
	// trustSettled is that of a source whose operators have had time to write
	// again what a restoration lost.
	trustSettled
)

// sourceNumber is the decoded number of a declaration of a source.
type sourceNumber struct {
	version, era uint64
	trust        trust
	// stored reports whether the source holds the declaration itself; otherwise
	// it holds an older one.
	stored bool
	// revision is that of the source since the declaration that it holds was
	// written.
	revision uint64
}

func (n sourceNumber) encode() uint64 {
	stored := uint64(0)
	if n.stored {
		stored = 1
	}
	return n.version<<versionShift | n.era%(1<<eraBits)<<eraShift | uint64(n.trust)<<trustShift |
		stored<<storedShift | min(n.revision, 1<<revisionBits-1)
}

// overflow returns by how much the revision is above what the number holds.
func (n sourceNumber) overflow() uint64 { return n.revision - min(n.revision, 1<<revisionBits-1) }

// position orders configurations: by number, and where that is the same by
// overflow. A store that is changed often has more revisions than the number has
// bits for, within a day or less, and an order for a data centre must come into
// force nevertheless. The overflow of configurations from the store is 0.
type position struct{ number, overflow uint64 }

func (p position) after(q position) bool {
	return p.number > q.number || p.number == q.number && p.overflow > q.overflow
}

// decode decodes the position of a source's declaration.
func (p position) decode() sourceNumber {
	n := decodeSourceNumber(p.number)
	n.revision += p.overflow
	return n
}

// String describes the position of a source's declaration in events.
func (p position) String() string { return p.decode().String() }

// decodeSourceNumber decodes a number without its overflow. The era is the lower part of the one that
// was encoded.
func decodeSourceNumber(number uint64) sourceNumber {
	return sourceNumber{
		version: number >> versionShift, era: number >> eraShift % (1 << eraBits), trust: trust(number >> trustShift % (1 << trustBits)),
		stored: number>>storedShift%2 == 1, revision: number % (1 << revisionBits),
	}
}

// position returns the position of the number.
func (n sourceNumber) position() position { return position{n.encode(), n.overflow()} }

// readLater reports whether n and m are of the same version and era and the source
// was at n after it was at m, whatever their readers knew before.
func (n sourceNumber) readLater(m sourceNumber) bool {
	if n.version != m.version || n.era != m.era {
		return false
	}
	if n.stored != m.stored {
		return n.stored
	}
	return n.revision > m.revision
}

// sameEra reports whether n is of an era.
func (n sourceNumber) sameEra(era uint64) bool { return n.era == era%(1<<eraBits) }

// laterEra reports whether n is of a later era than m.
func (n sourceNumber) laterEra(m sourceNumber) bool {
	ahead := (n.era - m.era) % (1 << eraBits)
	return ahead != 0 && ahead < 1<<(eraBits-1)
}

// String describes the number in events.
func (n sourceNumber) String() string {
	return fmt.Sprintf("version %d, era %d, revision %d", n.version, n.era, n.revision)
}
