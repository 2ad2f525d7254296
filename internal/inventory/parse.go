package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes bounds the YAML text of a document. Unit: bytes. A document
// with 1,800 targets in 69 services has about 200 KB.
const MaxDocumentBytes = 4 << 20

// Fault is one finding about a document: an error or, despite the name, a warning.
// FaultsError holds errors only. Path names the
// entry and the field. Line is 0 if the document was not read from YAML text.
type Fault struct {
	Line   int    `json:"line"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the form that is shown to operators: "line N: PATH: REASON". The
// line and the path are left out if unknown.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}

// FaultsError holds every error in a document, sorted by line.
type FaultsError struct {
	Faults []Fault
}

// Error returns a first line with the number of errors and then one line for
// each error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration, %d fault(s):", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a document from YAML text, fills in the defaults and validates it.
// Unknown fields are errors. The error returned is a *FaultsError with all errors.
func Parse(data []byte) (*Document, error) {
	doc, _, err := parse(data)
	return doc, err
}

// Check does the same as Parse and also returns the warnings that Warnings finds,
// with line numbers. For a document with errors, no warnings are returned.
func Check(data []byte) (*Document, []Fault, error) {
	doc, lines, err := parse(data)
	if err != nil {
		return nil, nil, err
	}
	return doc, warnings(doc, lines), nil
}

func parse(data []byte) (*Document, lineIndex, error) {
	if len(data) > MaxDocumentBytes {
		return nil, nil, &FaultsError{Faults: []Fault{{Reason: fmt.Sprintf(
			"document has %d bytes, the limit is %d", len(data), MaxDocumentBytes)}}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, nil, &FaultsError{Faults: yamlFaults(err)}
	}
	if root.Kind == 0 {
		return nil, nil, &FaultsError{Faults: []Fault{{Line: 1, Reason: "document is empty"}}}
	}
	lines := lineIndex{}
	lines.add("", &root)

	doc := &Document{}
	faults := decode(data, doc)
	doc.SetDefaults()
	faults = append(faults, validate(doc, lines)...)
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, nil, &FaultsError{Faults: faults}
	}
	return doc, lines, nil
}

func decode(data []byte, doc *Document) []Fault {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	var faults []Fault
	if err := dec.Decode(doc); err != nil {
		faults = yamlFaults(err)
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		faults = append(faults, Fault{Line: second.Line, Reason: "more than one YAML document"})
	} else if !errors.Is(err, io.EOF) {
		faults = append(faults, yamlFaults(err)...)
	}
	return faults
}

var (
	yamlLinePattern     = regexp.MustCompile(`^(?:yaml: )?(?:unmarshal errors:\s+)?line (\d+): (.*)$`)
	unknownFieldPattern = regexp.MustCompile(`^field (.*) not found in type \S+$`)
	wrongTypePattern    = regexp.MustCompile("^cannot unmarshal !!(\\S+)(?: `(.*)`)? into (\\S+)$")
)

// yamlFaults converts an error of the YAML library to Faults. They have the line
// numbers that the texts of the library contain.
func yamlFaults(err error) []Fault {
	texts := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		texts = typeErr.Errors
	}
	faults := make([]Fault, 0, len(texts))
	for _, text := range texts {
		f := Fault{Reason: strings.TrimPrefix(text, "yaml: ")}
		if m := yamlLinePattern.FindStringSubmatch(text); m != nil {
			f.Line, _ = strconv.Atoi(m[1])
			f.Reason = m[2]
		}
		if m := unknownFieldPattern.FindStringSubmatch(f.Reason); m != nil {
			f.Reason = fmt.Sprintf("unknown field %q", m[1])
		}
		if m := wrongTypePattern.FindStringSubmatch(f.Reason); m != nil {
			f.Reason = typeMismatchReason(m[1], m[2], m[3])
		}
		faults = append(faults, f)
	}
	return faults
}

// typeMismatchReason returns the Fault.Reason for a value of the wrong type, for
// example: a list is not a whole number. "A group of fields" is a YAML mapping,
// "a text" a string. got is a YAML type without the leading !!, want a Go type.
// value is empty if the error of the YAML library does not contain the value.
func typeMismatchReason(got, value, want string) string {
	expected := "a group of fields"
	switch {
	case want == "int":
		expected = "a whole number"
	case want == "float64":
		expected = "a number"
	case want == "bool":
		expected = "true or false"
	case want == "string":
		expected = "a text"
	case strings.HasPrefix(want, "["):
		expected = "a list"
	}
	if value == "" {
		value = map[string]string{"seq": "a list", "map": "a group of fields"}[got]
	} else {
		value = strconv.Quote(value)
	}
	return strings.TrimSpace(fmt.Sprintf("%s is not %s", value, expected))
}

// Encode returns the canonical text of a document whose defaults are filled in:
// JSON with all entries in the order of the document. The digest of a document is
// computed over this text. Parse can read it, since JSON is also valid YAML. Each
// VM encodes the document once per change, and encoding JSON takes a tenth of the
// time of encoding block YAML.
func Encode(doc *Document) ([]byte, error) { return json.Marshal(doc) }

// Format returns a document as block YAML for operators. Comments of the text
// that doc was parsed from are lost.
func Format(doc *Document) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(doc); err != nil {
		return nil, err
	}
	if err := enc.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// lineIndex maps the path of a value, such as .services[0].name, to the number of
// its line in the YAML text.
type lineIndex map[string]int

func (l lineIndex) add(path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.DocumentNode:
		l.add(path, n.Content[0])
		return
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			child := path + "." + n.Content[i].Value
			l.add(child, n.Content[i+1])
			l[child] = n.Content[i].Line
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			l.add(path+"["+strconv.Itoa(i)+"]", c)
		}
	}
	l[path] = n.Line
}

// lineOf returns the line of the value at path. If the text has no such value, it
// returns the line of the nearest enclosing value, so the error about a missing
// field has the line of the entry in which the field is missing.
func (l lineIndex) lineOf(path string) int {
	for {
		if line, ok := l[path]; ok || path == "" {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// position is the place of a value in a document. path numbers the entries of
// lists and is the key into lineIndex. display is shown to operators and has the
// names of entries in place of their numbers.
type position struct{ path, display string }

func (p position) field(name string) position {
	display := name
	if p.display != "" {
		display = p.display + "." + name
	}
	return position{path: p.path + "." + name, display: display}
}

func (p position) item(i int, name string) position {
	n := "[" + strconv.Itoa(i) + "]"
	if name == "" {
		return position{path: p.path + n, display: p.display + n}
	}
	return position{path: p.path + n, display: p.display + "[" + name + "]"}
}
