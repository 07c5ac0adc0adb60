package idemkey_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

const validKey = "mfk1:booking-1:00000000000000ab:000000000000000c:000102030405060708090a0b0c0d0e0f"

// Guards against a malformed key that is accepted: it could be bound to a wrong
// agent or time, or pass for a caller-made key.
func TestParseRejectsMalformedKeys(t *testing.T) {
	cases := map[string]struct {
		text string
		want any
	}{
		"empty":             {"", new(*idemkey.LengthError)},
		"too long":          {strings.Repeat("k", idemkey.MaxKeyBytes+1), new(*idemkey.LengthError)},
		"control character": {"order\n1", new(*idemkey.CharacterError)},
		"space":             {"order 1", new(*idemkey.CharacterError)},
		"later version":     {"mfk2" + validKey[4:], new(*idemkey.VersionError)},
		"padded version":    {"mfk01" + validKey[4:], new(*idemkey.VersionError)},
		"missing field":     {validKey[:len(validKey)-33], new(*idemkey.FieldCountError)},
		"additional field":  {validKey + ":", new(*idemkey.FieldCountError)},
		"upper-case hex":    {strings.Replace(validKey, "0ab", "0AB", 1), new(*idemkey.FieldError)},
		"zero incarnation":  {strings.Replace(validKey, "ab:", "00:", 1), new(*idemkey.FieldError)},
		"negative time":     {strings.Replace(validKey, ":000000000000000c", ":f00000000000000c", 1), new(*idemkey.FieldError)},
		"short random":      {validKey[:len(validKey)-1], new(*idemkey.FieldError)},
		"no upstream":       {strings.Replace(validKey, "booking-1", "", 1), new(*idemkey.FieldError)},
		"invalid name":      {strings.Replace(validKey, "booking-1", "a/b", 1), new(*idemkey.FieldError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := idemkey.Parse(c.text); !errors.As(err, c.want) {
				t.Errorf("got %v, want %T", err, c.want)
			}
		})
	}
	for _, text := range []string{"order-1", "mfk", "mfk1", "mfkey:1", "mfk:x"} {
		if k, err := idemkey.Parse(text); err != nil || k.Bound != nil {
			t.Errorf("%q: %v, want a caller-made key", text, err)
		}
	}
}

// FuzzParse guards against two texts that parse as the same key: they would create
// two entries in the ledger.
func FuzzParse(f *testing.F) {
	f.Add(validKey)
	f.Add("order-1")
	f.Add("mfk1::::")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := idemkey.Parse(text)
		if err == nil && k.Bound != nil && k.Bound.String() != text {
			t.Errorf("%q was parsed, but String returns %q", text, k.Bound)
		}
	})
}

// Guards against a bound key that New accepts but Parse refuses or changes.
func TestBoundKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var random [idemkey.RandomBytes]byte
		copy(random[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "random"))
		b, err := idemkey.New(
			rapid.StringMatching(`[A-Za-z0-9._-]{1,64}`).Draw(t, "upstream"),
			api.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation")),
			time.Duration(rapid.Int64Min(0).Draw(t, "issued")), random)
		if err != nil {
			t.Fatal(err)
		}
		if k, err := idemkey.Parse(b.String()); err != nil || *k.Bound != b {
			t.Errorf("%q was parsed as %v, %v", b, k.Bound, err)
		}
	})
}

// Guards against keys that change their home although another upstream was removed
// or the list was only reordered: they could run again at the new home.
func TestHomeMovesOnlyFromRemovedUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 12, rapid.ID).Draw(t, "list")
		key := rapid.StringMatching(`[a-z0-9]{1,12}`).Draw(t, "key")
		home, _ := idemkey.Home("m", key, list)
		if permuted, _ := idemkey.Home("m", key, rapid.Permutation(list).Draw(t, "order")); permuted != home {
			t.Fatalf("home depends on the order of the list: %s, %s", home, permuted)
		}
		if next, _ := idemkey.Home("m", key, list[1:]); next != home && home != list[0] {
			t.Errorf("home moved from %s to %s although only %s was removed", home, next, list[0])
		}
	})
	if _, ok := idemkey.Home("m", "k", nil); ok {
		t.Error("an empty list has a home")
	}
}

// Guards against evidence that is accepted although an earlier run is possible.
func TestEvidenceRulesOutEarlierRun(t *testing.T) {
	sufficient := idemkey.Evidence{
		IncarnationAge: time.Hour, ListAge: time.Hour + time.Minute, ConfirmedAge: time.Minute,
		ResendWindow: time.Hour, ListLag: time.Minute,
	}
	cases := map[string]struct {
		change func(*idemkey.Evidence)
		want   bool
	}{
		"sufficient ages":       {func(*idemkey.Evidence) {}, true},
		"recent incarnation":    {func(e *idemkey.Evidence) { e.IncarnationAge-- }, false},
		"recent list":           {func(e *idemkey.Evidence) { e.ListAge-- }, false},
		"unconfirmed list":      {func(e *idemkey.Evidence) { e.ConfirmedAge++ }, false},
		"no resend window":      {func(e *idemkey.Evidence) { e.ResendWindow = 0 }, false},
		"upstream deduplicates": {func(e *idemkey.Evidence) { *e = idemkey.Evidence{Deduplicates: true} }, true},
	}
	for name, c := range cases {
		e := sufficient
		c.change(&e)
		if e.RulesOutEarlierRun() != c.want {
			t.Errorf("%s: got %v", name, e.RulesOutEarlierRun())
		}
	}
}
