package inventory

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind says what happened to an entry or value.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	Old  string     `json:"old,omitempty"`
	New  string     `json:"new,omitempty"`
}

// String returns one line: + for a new entry, - for a removed one, ~ for a
// changed value.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimSpace("+ " + c.Path + " " + c.New)
	case Removed:
		return strings.TrimSpace("- " + c.Path + " " + c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the differences between two documents in the order of the
// document's fields. A nil document counts as empty. The order of entries in a
// list makes no difference.
func Diff(from, to *Document) []Change {
	if from == nil {
		from = &Document{}
	}
	if to == nil {
		to = &Document{}
	}
	var c []Change
	c = diffList(c, "regions", from.Regions, to.Regions, regionName)
	c = diffList(c, "failure_domains", from.FailureDomains, to.FailureDomains, domainName)
	c = diffList(c, "links", from.Links, to.Links, linkName)
	c = diffList(c, "services", withoutTargets(from.Services), withoutTargets(to.Services), serviceName)
	c = diffTargets(c, from.Services, to.Services)
	c = diffList(c, "rules.routes", from.Rules.Routes, to.Rules.Routes, routeName)
	c = diffList(c, "rules.tenants", from.Rules.Tenants, to.Rules.Tenants, tenantName)
	return diffList(c, "rules.out_of_service", from.Rules.OutOfService, to.Rules.OutOfService, itself)
}

func diffTargets(c []Change, from, to []Service) []Change {
	before := map[string][]Target{}
	for _, s := range from {
		before[s.Name] = s.Targets
	}
	for _, s := range to {
		c = diffList(c, "services["+s.Name+"].targets", before[s.Name], s.Targets, targetName)
		delete(before, s.Name)
	}
	for _, s := range from {
		if targets, gone := before[s.Name]; gone {
			c = diffList(c, "services["+s.Name+"].targets", targets, nil, targetName)
		}
	}
	return c
}

func diffList[T any](c []Change, path string, from, to []T, name func(T) string) []Change {
	before := make(map[string]T, len(from))
	for _, f := range from {
		before[name(f)] = f
	}
	for _, t := range to {
		at := path + "[" + name(t) + "]"
		old, ok := before[name(t)]
		delete(before, name(t))
		if !ok {
			c = append(c, Change{Kind: Added, Path: at, New: describe(t)})
			continue
		}
		c = append(c, diffFields(at, old, t)...)
	}
	for _, f := range from {
		if _, gone := before[name(f)]; gone {
			c = append(c, Change{Kind: Removed, Path: path + "[" + name(f) + "]", Old: describe(f)})
		}
	}
	return c
}

// fields calls fn with the YAML name and value of each field of a struct.
func fields(entry any, fn func(name, value string)) {
	v := reflect.ValueOf(entry)
	if v.Kind() != reflect.Struct {
		return
	}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		value := fmt.Sprint(v.Field(i).Interface())
		if value == "" {
			value = `""`
		}
		fn(name, value)
	}
}

func diffFields(path string, from, to any) []Change {
	var c []Change
	var old []string
	fields(from, func(_, value string) { old = append(old, value) })
	i := 0
	fields(to, func(name, value string) {
		if old[i] != value {
			c = append(c, Change{Kind: Changed, Path: path + "." + name, Old: old[i], New: value})
		}
		i++
	})
	return c
}

// describe lists the fields of a new or removed entry that say something.
func describe(entry any) string {
	silent := []string{"", `""`, "[]", "0", "false"}
	var parts []string
	fields(entry, func(name, value string) {
		if name != "name" && !slices.Contains(silent, value) {
			parts = append(parts, name+"="+value)
		}
	})
	return strings.Join(parts, " ")
}

// WithOutOfService returns a copy of the document with a failure domain taken
// out or returned. changed is false if it already was so; doc itself stays as
// it is. The copy shares all other entries with doc.
func (d *Document) WithOutOfService(name string, out bool) (doc *Document, changed bool) {
	listed := slices.Contains(d.Rules.OutOfService, name)
	if listed == out {
		return d, false
	}
	c := *d
	if out {
		c.Rules.OutOfService = append(slices.Clone(d.Rules.OutOfService), name)
	} else {
		c.Rules.OutOfService = slices.DeleteFunc(slices.Clone(d.Rules.OutOfService), func(s string) bool { return s == name })
	}
	return &c, true
}
