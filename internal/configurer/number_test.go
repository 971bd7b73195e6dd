package configurer

import (
	"cmp"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func drawSourceNumber(t *rapid.T, label string) sourceNumber {
	return sourceNumber{
		version: rapid.Uint64Range(0, maxSourceVersion).Draw(t, label+" version"), era: rapid.Uint64Range(0, 1<<eraBits-1).Draw(t, label+" era"),
		trust: trust(rapid.Uint64Range(0, uint64(trustSettled)).Draw(t, label+" trust")), stored: rapid.Bool().Draw(t, label+" stored"),
		revision: rapid.OneOf(rapid.Uint64Range(0, 1<<revisionBits+2), rapid.Uint64Range(0, 1<<40)).Draw(t, label+" revision"),
	}
}

// Positions order declarations by version, then era, trust, stored and revision,
// also where the revision is beyond the bits that the number has for it.
func TestSourceNumbersKeepOrder(t *testing.T) {
	toInt := map[bool]int{true: 1}
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSourceNumber(t, "a"), drawSourceNumber(t, "b")
		want := cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.era, b.era), cmp.Compare(a.trust, b.trust),
			cmp.Compare(toInt[a.stored], toInt[b.stored]), cmp.Compare(a.revision, b.revision))
		atA, atB := position{a.encode(), a.overflow()}, position{b.encode(), b.overflow()}
		if got := cmp.Compare(toInt[atA.after(atB)], toInt[atB.after(atA)]); got != want {
			t.Fatalf("%v and %v compare as %d, want %d", a, b, got, want)
		}
		got := decodeSourceNumber(atA.number)
		got.revision += atA.overflow
		if got != a {
			t.Fatalf("decoded %v, want %v", got, a)
		}
	})
}

// A revision beyond its bits must not raise what stands above it.
func TestSourceNumberBoundsRevision(t *testing.T) {
	n := sourceNumber{version: 1, revision: 1 << 40}
	qt.Check(t, decodeSourceNumber(n.encode()).version, qt.Equals, uint64(1))
	qt.Check(t, n.encode() < sourceNumber{version: 1, stored: true}.encode(), qt.IsTrue)
}
