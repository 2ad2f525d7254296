package inventory

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"
)

// ErrDigest is returned if a document or the result of applying a delta does not
// have the expected digest. The receiver of the delta must then fetch the whole
// document.
var ErrDigest = errors.New("digest of the configuration does not match")

// ErrNoDelta is returned if no delta can turn one document into the other, for
// example because they differ only in the order of entries.
var ErrNoDelta = errors.New("change cannot be expressed as a delta")

// Digest returns the SHA-256 of the text of a document, in lower-case hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// delta holds the entries that differ between two documents. It does not contain
// unchanged entries: if a failure domain is taken out of service, the delta
// consists of that one name.
type delta struct {
	Regions        entries[Region]        `yaml:"regions,omitempty"`
	FailureDomains entries[FailureDomain] `yaml:"failure_domains,omitempty"`
	Links          entries[Link]          `yaml:"links,omitempty"`
	// Services are without their targets. Targets holds those, also the targets
	// of new services.
	Services     entries[Service]           `yaml:"services,omitempty"`
	Targets      map[string]entries[Target] `yaml:"targets,omitempty"` // by name of the service
	Routes       entries[Route]             `yaml:"routes,omitempty"`
	Tenants      entries[Tenant]            `yaml:"tenants,omitempty"`
	OutOfService entries[string]            `yaml:"out_of_service,omitempty"`
}

// entries is the change of a list of named entries. The entries named in Remove
// are deleted. An entry in Put replaces the entry of the same name at its place in
// the list, or is appended if there is none.
type entries[T any] struct {
	Remove []string `yaml:"remove,omitempty,flow"`
	Put    []T      `yaml:"put,omitempty"`
}

func regionName(r Region) string        { return r.Name }
func domainName(d FailureDomain) string { return d.Name }
func serviceName(s Service) string      { return s.Name }
func targetName(t Target) string        { return t.Name }
func routeName(r Route) string          { return r.Name }
func tenantName(t Tenant) string        { return t.Name }
func identity(s string) string          { return s }

func diffEntries[T any](from, to []T, name func(T) string) entries[T] {
	var e entries[T]
	before := make(map[string]T, len(from))
	for _, f := range from {
		before[name(f)] = f
	}
	for _, t := range to {
		old, ok := before[name(t)]
		if !ok || !reflect.DeepEqual(old, t) {
			e.Put = append(e.Put, t)
		}
		delete(before, name(t))
	}
	for _, f := range from {
		if _, removed := before[name(f)]; removed {
			e.Remove = append(e.Remove, name(f))
		}
	}
	return e
}

func (e entries[T]) apply(list []T, name func(T) string) []T {
	if len(e.Remove) == 0 && len(e.Put) == 0 {
		return list
	}
	removed := make(map[string]bool, len(e.Remove))
	for _, r := range e.Remove {
		removed[r] = true
	}
	result := make([]T, 0, len(list)+len(e.Put))
	index := make(map[string]int, len(list))
	for _, x := range list {
		if n := name(x); !removed[n] {
			index[n] = len(result)
			result = append(result, x)
		}
	}
	for _, p := range e.Put {
		if i, ok := index[name(p)]; ok {
			result[i] = p
			continue
		}
		index[name(p)] = len(result)
		result = append(result, p)
	}
	return result
}

func withoutTargets(services []Service) []Service {
	stripped := slices.Clone(services)
	for i := range stripped {
		stripped[i].Targets = nil
	}
	return stripped
}

func newDelta(from, to *Document) delta {
	d := delta{
		Regions:        diffEntries(from.Regions, to.Regions, regionName),
		FailureDomains: diffEntries(from.FailureDomains, to.FailureDomains, domainName),
		Links:          diffEntries(from.Links, to.Links, linkName),
		Services:       diffEntries(withoutTargets(from.Services), withoutTargets(to.Services), serviceName),
		Routes:         diffEntries(from.Rules.Routes, to.Rules.Routes, routeName),
		Tenants:        diffEntries(from.Rules.Tenants, to.Rules.Tenants, tenantName),
		OutOfService:   diffEntries(from.Rules.OutOfService, to.Rules.OutOfService, identity),
	}
	before := make(map[string][]Target, len(from.Services))
	for _, s := range from.Services {
		before[s.Name] = s.Targets
	}
	for _, s := range to.Services {
		t := diffEntries(before[s.Name], s.Targets, targetName)
		if len(t.Remove)+len(t.Put) == 0 {
			continue
		}
		if d.Targets == nil {
			d.Targets = map[string]entries[Target]{}
		}
		d.Targets[s.Name] = t
	}
	return d
}

// apply returns a new document with the delta applied to from. It does not change
// from.
func (d delta) apply(from *Document) *Document {
	to := &Document{
		Regions:        d.Regions.apply(from.Regions, regionName),
		FailureDomains: d.FailureDomains.apply(from.FailureDomains, domainName),
		Links:          d.Links.apply(from.Links, linkName),
		Services:       d.Services.apply(from.Services, serviceName),
		Rules: Rules{
			Routes:       d.Routes.apply(from.Rules.Routes, routeName),
			Tenants:      d.Tenants.apply(from.Rules.Tenants, tenantName),
			OutOfService: d.OutOfService.apply(from.Rules.OutOfService, identity),
		},
	}
	before := make(map[string][]Target, len(from.Services))
	for _, s := range from.Services {
		before[s.Name] = s.Targets
	}
	to.Services = slices.Clone(to.Services)
	for i := range to.Services {
		s := &to.Services[i]
		s.Targets = d.Targets[s.Name].apply(before[s.Name], targetName)
	}
	return to
}

// EncodeDelta returns the delta from one document to the other, compressed with
// gzip. toText is the text of the document to, as Encode returns it. EncodeDelta
// applies the delta once to make sure that it yields toText; the error is
// ErrNoDelta if it does not.
func EncodeDelta(from, to *Document, toText []byte) ([]byte, error) {
	text, err := yaml.Marshal(newDelta(from, to))
	if err != nil {
		return nil, err
	}
	data, err := Compress(text)
	if err != nil {
		return nil, err
	}
	if _, _, err := ApplyDelta(from, data, Digest(toText)); err != nil {
		return nil, ErrNoDelta
	}
	return data, nil
}

// ApplyDelta applies a delta, as EncodeDelta returns it, to from and returns the
// new document with its canonical text. The digest of that text equals digest,
// and the document is valid. The error is ErrDigest if the digest differs, a
// *FaultsError if the document is not valid, and another error if data is damaged.
// ApplyDelta does not change from.
func ApplyDelta(from *Document, data []byte, digest string) (*Document, []byte, error) {
	text, err := Decompress(data)
	if err != nil {
		return nil, nil, err
	}
	var d delta
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&d); err != nil && !errors.Is(err, io.EOF) {
		return nil, nil, fmt.Errorf("delta of the configuration: %w", err)
	}
	to := d.apply(from)
	toText, err := Encode(to)
	if err != nil {
		return nil, nil, err
	}
	if Digest(toText) != digest {
		return nil, nil, ErrDigest
	}
	if faults := to.Validate(); len(faults) > 0 {
		return nil, nil, &FaultsError{Faults: faults}
	}
	return to, toText, nil
}

// Compress returns the text of a document or delta, compressed with gzip.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress returns the text that Compress has compressed. It returns an error
// if the text is longer than MaxDocumentBytes, because without that limit a few
// damaged bytes could expand to gigabytes.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("configuration expands to more than %d bytes", MaxDocumentBytes)
	}
	return text, nil
}
