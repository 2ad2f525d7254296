package inventory_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

func parseAndEncode(text []byte) (*inventory.Document, []byte) {
	doc, err := inventory.Parse(text)
	if err != nil {
		panic(err)
	}
	canonical, err := inventory.Encode(doc)
	if err != nil {
		panic(err)
	}
	return doc, canonical
}

// drawEditedDocument returns doc with 1 to 4 random changes. The result is valid.
func drawEditedDocument(t *rapid.T, doc *inventory.Document) *inventory.Document {
	to, _ := doc.WithOutOfService("none", false)
	c := *to
	c.Services = slices.Clone(doc.Services)
	for range rapid.IntRange(1, 4).Draw(t, "edits") {
		i := rapid.IntRange(0, len(c.Services)-1).Draw(t, "service")
		s := &c.Services[i]
		s.Targets = slices.Clone(s.Targets)
		switch rapid.IntRange(0, 4).Draw(t, "edit") {
		case 0:
			s.Slots = rapid.IntRange(1, 9).Draw(t, "slots")
		case 1:
			n := rapid.IntRange(1, 60000).Draw(t, "port")
			name := fmt.Sprintf("new-%d-%d", i, n)
			if !slices.ContainsFunc(s.Targets, func(x inventory.Target) bool { return x.Name == name }) {
				s.Targets = append(s.Targets, inventory.Target{
					Name: name, Address: fmt.Sprintf("127.0.%d.2:%d", i+1, n), FailureDomain: doc.FailureDomains[0].Name,
				})
			}
		case 2:
			if n := len(s.Targets); n > 0 {
				at := rapid.IntRange(0, n-1).Draw(t, "removed")
				s.Targets = slices.Delete(s.Targets, at, at+1)
			}
		case 3:
			out := rapid.SampledFrom(doc.FailureDomains).Draw(t, "domain").Name
			changed, _ := c.WithOutOfService(out, rapid.Bool().Draw(t, "out"))
			c = *changed
		case 4:
			c.Rules.Tenants = append(slices.Clone(c.Rules.Tenants), inventory.Tenant{
				Name: fmt.Sprintf("tenant-%d", len(c.Rules.Tenants)), HomeRegions: []string{doc.Regions[0].Name},
			})
		}
	}
	return &c
}

// Guards against a delta from which siblings build another document than the one
// that was accepted.
func TestDeltaLeadsToTheSameDocument(t *testing.T) {
	RegisterTestingT(t)
	for _, name := range []string{"authority", "taktwerk"} {
		from, fromText := parseAndEncode(readExample(name))
		rapid.Check(t, func(t *rapid.T) {
			to := drawEditedDocument(t, from)
			if faults := to.Validate(); len(faults) > 0 {
				t.Fatalf("edit is not valid: %v", faults)
			}
			toText, err := inventory.Encode(to)
			if err != nil {
				t.Fatal(err)
			}
			delta, err := inventory.EncodeDelta(from, to, toText)
			if err != nil {
				t.Fatal(err)
			}
			got, gotText, err := inventory.ApplyDelta(from, delta, inventory.Digest(toText))
			if err != nil || string(gotText) != string(toText) || len(inventory.Diff(got, to)) > 0 {
				t.Fatalf("err %v, differences %v", err, inventory.Diff(got, to))
			}
			if fromTextAfter, _ := inventory.Encode(from); string(fromTextAfter) != string(fromText) {
				t.Fatal("ApplyDelta changed the document that it was given")
			}
		})
	}
}

var _ = Describe("a delta", func() {
	It("of a failure domain taken out is a few dozen bytes for a document of the design size", func() {
		from, _ := parseAndEncode(designSizeDocument())
		to, changed := from.WithOutOfService("domain-3", true)
		Expect(changed).To(BeTrue())
		text, err := inventory.Encode(to)
		Expect(err).NotTo(HaveOccurred())
		delta, err := inventory.EncodeDelta(from, to, text)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(delta)).To(BeNumerically("<", 100))
	})

	It("that does not fit is refused by its digest", func() {
		from, _ := parseAndEncode(readExample("authority"))
		to, _ := from.WithOutOfService("pecs-a", true)
		text, err := inventory.Encode(to)
		Expect(err).NotTo(HaveOccurred())
		delta, err := inventory.EncodeDelta(from, to, text)
		Expect(err).NotTo(HaveOccurred())
		other, _ := from.WithOutOfService("gyor-a", true)
		_, _, err = inventory.ApplyDelta(other, delta, inventory.Digest(text))
		Expect(err).To(MatchError(inventory.ErrDigest))
	})

	It("is not made for a mere change of order", func() {
		from, _ := parseAndEncode(readExample("authority"))
		to := *from
		to.Services = slices.Clone(from.Services)
		slices.Reverse(to.Services)
		text, err := inventory.Encode(&to)
		Expect(err).NotTo(HaveOccurred())
		_, err = inventory.EncodeDelta(from, &to, text)
		Expect(err).To(MatchError(inventory.ErrNoDelta))
	})

	It("that expands beyond the size limit is refused", func() {
		compressed, err := inventory.Compress(make([]byte, inventory.MaxDocumentBytes+1))
		Expect(err).NotTo(HaveOccurred())
		_, err = inventory.Decompress(compressed)
		Expect(err).To(MatchError(ContainSubstring("expands to more than")))
	})
})

func FuzzParse(f *testing.F) {
	RegisterTestingT(f)
	f.Add(readExample("authority"))
	f.Add(readExample("taktwerk"))
	f.Add([]byte("regions: [{name: a, store: true}]\nservices: [{name: s, slots: -1}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := inventory.Parse(text)
		if err != nil {
			var faults *inventory.FaultsError
			if !errors.As(err, &faults) || len(faults.Faults) == 0 {
				t.Fatalf("error without Faults: %v", err)
			}
			return
		}
		inventory.Warnings(doc)
		inventory.NewSnapshot(1, doc)
		canonical, err := inventory.Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := inventory.Parse(canonical)
		if err != nil {
			t.Fatalf("canonical text is rejected: %v\n%s", err, canonical)
		}
		if reencoded, _ := inventory.Encode(reparsed); string(reencoded) != string(canonical) {
			t.Fatalf("canonical text is not stable:\n%s\n%s", canonical, reencoded)
		}
	})
}

func FuzzApplyDelta(f *testing.F) {
	RegisterTestingT(f)
	from, _ := parseAndEncode(readExample("authority"))
	f.Add("out_of_service:\n  put: [pecs-a]\n")
	f.Add("services:\n  remove: [nyilvantarto]\ntargets:\n  intezkedo:\n    remove: [intezkedo-01]\n")
	f.Fuzz(func(t *testing.T, text string) {
		data, err := inventory.Compress([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		digest := inventory.Digest([]byte(text))
		if doc, _, err := inventory.ApplyDelta(from, data, digest); err == nil {
			t.Fatalf("a delta with a wrong digest was applied: %v", inventory.Diff(from, doc))
		}
		// Data that is not valid gzip must cause an error, too.
		if _, _, err := inventory.ApplyDelta(from, []byte(text), digest); err == nil {
			t.Fatal("text without compression was applied")
		}
	})
}

// BenchmarkChange measures the bytes and the processor time of one change of a
// document of the design size (see designSizeDocument): taking a failure domain
// out of service.
func BenchmarkChange(b *testing.B) {
	from, fromText := parseAndEncode(designSizeDocument())
	to, _ := from.WithOutOfService("domain-3", true)
	toText, err := inventory.Encode(to)
	if err != nil {
		b.Fatal(err)
	}
	digest := inventory.Digest(toText)
	delta, err := inventory.EncodeDelta(from, to, toText)
	if err != nil {
		b.Fatal(err)
	}
	full, err := inventory.Compress(toText)
	if err != nil {
		b.Fatal(err)
	}
	run := func(name string, bytes int, fn func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := fn(); err != nil {
					b.Fatal(err)
				}
			}
			if bytes > 0 {
				b.ReportMetric(float64(bytes), "bytes/change")
			}
		})
	}
	run("parse", len(fromText), func() error { _, err := inventory.Parse(fromText); return err })
	run("encode", 0, func() error { _, err := inventory.Encode(to); return err })
	run("encode-delta", len(delta), func() error { _, err := inventory.EncodeDelta(from, to, toText); return err })
	run("apply-delta", len(delta), func() error { _, _, err := inventory.ApplyDelta(from, delta, digest); return err })
	run("apply-full", len(full), func() error {
		text, err := inventory.Decompress(full)
		if err != nil || inventory.Digest(text) != digest {
			return fmt.Errorf("full document: %w", err)
		}
		_, err = inventory.Parse(text)
		return err
	})
	run("snapshot", 0, func() error { inventory.NewSnapshot(1, to); return nil })
}
