package claim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/claim"
)

// Guards against two requests that share a claim because the concatenations of
// their key parts are equal.
func TestRowKeyKeepsPartsApart(t *testing.T) {
	seen := map[string]claim.Key{}
	for _, k := range []claim.Key{
		{"a", "b", "c"},
		{"ab", "", "c"},
		{"a", "bc", ""},
		{"", "ab", "c"},
		{"a\x00b", "", "c"},
		{"a", "\x00b", "c"},
	} {
		if other, ok := seen[k.RowKey()]; ok {
			t.Errorf("%q and %q have the same row", k, other)
		}
		seen[k.RowKey()] = k
	}
}

// Guards against accepting a damaged row. It could be taken for a claim that
// can be replaced, or for an answered call without a valid HTTP status.
func TestParseRecordRefuses(t *testing.T) {
	for name, value := range map[string]string{
		"empty":         ``,
		"truncated":     `{"vm":"a","nonce":"n","state":"claimed"`,
		"no nonce":      `{"vm":"a","state":"claimed"}`,
		"no VM":         `{"nonce":"n","state":"claimed"}`,
		"no state":      `{"vm":"a","nonce":"n"}`,
		"other state":   `{"vm":"a","nonce":"n","state":"free"}`,
		"done, no code": `{"vm":"a","nonce":"n","state":"done"}`,
	} {
		if r, err := claim.ParseRecord([]byte(value)); err == nil {
			t.Errorf("%s: read as %+v", name, r)
		}
	}
}

// Guards against a parser that panics on damaged rows, or that accepts a row
// and encodes it differently.
func FuzzParseRecord(f *testing.F) {
	f.Add(claim.Record{VM: "a", Incarnation: 1, Nonce: "n", State: claim.StateClaimed, Time: time.Unix(0, 0).UTC()}.Encode())
	f.Add(claim.Record{VM: "a", Nonce: "n", State: claim.StateDone, Status: 201}.Encode())
	f.Add([]byte(`{"vm":"a","nonce":"n","state":"unknown","incarnation":18446744073709551615}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := claim.ParseRecord(value)
		if err != nil {
			return
		}
		g := NewWithT(t)
		again, err := claim.ParseRecord(r.Encode())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Time.Equal(r.Time)).To(BeTrue())
		again.Time = r.Time
		g.Expect(again).To(Equal(r))
	})
}
