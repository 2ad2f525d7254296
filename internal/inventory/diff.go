package inventory

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the kind of a Change: Added, Removed or Changed.
type ChangeKind string

// Entries of lists are Added or Removed; values of fields are Changed.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents. Path names the entry, and for
// Changed also the field.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	Old  string     `json:"old,omitempty"`
	New  string     `json:"new,omitempty"`
}

// String returns one line that starts with + for an added entry, - for a removed
// entry and ~ for a changed value.
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

// Diff returns the differences between two documents, in the order of the fields
// of Document. A nil document counts as empty. Two lists with the same entries in
// another order do not differ.
func Diff(from, to *Document) []Change {
	if from == nil {
		from = &Document{}
	}
	if to == nil {
		to = &Document{}
	}
	var changes []Change
	changes = diffList(changes, "regions", from.Regions, to.Regions, regionName)
	changes = diffList(changes, "failure_domains", from.FailureDomains, to.FailureDomains, domainName)
	changes = diffList(changes, "links", from.Links, to.Links, linkName)
	changes = diffList(changes, "services", withoutTargets(from.Services), withoutTargets(to.Services), serviceName)
	changes = diffTargets(changes, from.Services, to.Services)
	changes = diffList(changes, "rules.routes", from.Rules.Routes, to.Rules.Routes, routeName)
	changes = diffList(changes, "rules.tenants", from.Rules.Tenants, to.Rules.Tenants, tenantName)
	return diffList(changes, "rules.out_of_service", from.Rules.OutOfService, to.Rules.OutOfService, identity)
}

func diffTargets(changes []Change, from, to []Service) []Change {
	before := map[string][]Target{}
	for _, s := range from {
		before[s.Name] = s.Targets
	}
	for _, s := range to {
		changes = diffList(changes, "services["+s.Name+"].targets", before[s.Name], s.Targets, targetName)
		delete(before, s.Name)
	}
	for _, s := range from {
		if targets, removed := before[s.Name]; removed {
			changes = diffList(changes, "services["+s.Name+"].targets", targets, nil, targetName)
		}
	}
	return changes
}

func diffList[T any](changes []Change, path string, from, to []T, name func(T) string) []Change {
	before := make(map[string]T, len(from))
	for _, f := range from {
		before[name(f)] = f
	}
	for _, t := range to {
		entryPath := path + "[" + name(t) + "]"
		old, ok := before[name(t)]
		delete(before, name(t))
		if !ok {
			changes = append(changes, Change{Kind: Added, Path: entryPath, New: describe(t)})
			continue
		}
		changes = append(changes, diffFields(entryPath, old, t)...)
	}
	for _, f := range from {
		if _, removed := before[name(f)]; removed {
			changes = append(changes, Change{Kind: Removed, Path: path + "[" + name(f) + "]", Old: describe(f)})
		}
	}
	return changes
}

// forEachField calls fn with the YAML name and the value of each field of entry.
// It does nothing if entry is not a struct. An empty value is passed as "" in
// quotes.
func forEachField(entry any, fn func(name, value string)) {
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
	var changes []Change
	var old []string
	forEachField(from, func(_, value string) { old = append(old, value) })
	i := 0
	forEachField(to, func(name, value string) {
		if old[i] != value {
			changes = append(changes, Change{Kind: Changed, Path: path + "." + name, Old: old[i], New: value})
		}
		i++
	})
	return changes
}

// describe returns the fields of an added or removed entry as NAME=VALUE, without
// its name and without fields that have their zero value.
func describe(entry any) string {
	zeroValues := []string{"", `""`, "[]", "0", "false"}
	var parts []string
	forEachField(entry, func(name, value string) {
		if name != "name" && !slices.Contains(zeroValues, value) {
			parts = append(parts, name+"="+value)
		}
	})
	return strings.Join(parts, " ")
}

// WithOutOfService returns a copy of d in which the failure domain name is out of
// service if out is true, and in service otherwise. It does not change d. The
// copy shares all other entries with d. If the failure domain is in that state
// already, it returns d itself and changed is false.
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
