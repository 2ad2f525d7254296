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

// MaxDocumentBytes bounds the YAML text of a document. 1,800 targets in 69
// services take about 200 KB. Unit: bytes.
const MaxDocumentBytes = 4 << 20

// Fault is one error or warning about a document. Line is 0 when the document
// did not come from YAML text.
type Fault struct {
	Line   int    `json:"line"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the form that operators see.
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

// FaultsError holds every fault of a document, by line.
type FaultsError struct {
	Faults []Fault
}

// Error implements the error interface. It has one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration, %d fault(s):", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a YAML document, fills in the defaults and validates it. Unknown
// fields are faults. The error is a *FaultsError that holds every fault found.
func Parse(data []byte) (*Document, error) {
	doc, _, err := parse(data)
	return doc, err
}

// Check is Parse with the warnings that Warnings returns, with line numbers.
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
	var more yaml.Node
	if err := dec.Decode(&more); err == nil {
		faults = append(faults, Fault{Line: more.Line, Reason: "more than one YAML document"})
	} else if !errors.Is(err, io.EOF) {
		faults = append(faults, yamlFaults(err)...)
	}
	return faults
}

var (
	yamlLine     = regexp.MustCompile(`^(?:yaml: )?(?:unmarshal errors:\s+)?line (\d+): (.*)$`)
	unknownField = regexp.MustCompile(`^field (.*) not found in type \S+$`)
	wrongType    = regexp.MustCompile("^cannot unmarshal !!(\\S+)(?: `(.*)`)? into (\\S+)$")
)

// yamlFaults turns an error of the YAML library into faults with line numbers.
func yamlFaults(err error) []Fault {
	texts := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		texts = typeErr.Errors
	}
	faults := make([]Fault, 0, len(texts))
	for _, text := range texts {
		f := Fault{Reason: strings.TrimPrefix(text, "yaml: ")}
		if m := yamlLine.FindStringSubmatch(text); m != nil {
			f.Line, _ = strconv.Atoi(m[1])
			f.Reason = m[2]
		}
		if m := unknownField.FindStringSubmatch(f.Reason); m != nil {
			f.Reason = fmt.Sprintf("unknown field %q", m[1])
		}
		if m := wrongType.FindStringSubmatch(f.Reason); m != nil {
			f.Reason = typeReason(m[1], m[2], m[3])
		}
		faults = append(faults, f)
	}
	return faults
}

// typeReason says what a value should be in place of what it is. got is a YAML
// type, want a Go type.
func typeReason(got, value, want string) string {
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

// Encode returns the canonical text of a document: JSON, which is YAML, too,
// with all defaults filled in and the entries in their order. Digest is taken
// over this text. Each VM encodes the document once per change, and JSON takes
// a tenth of the time of block YAML.
func Encode(doc *Document) ([]byte, error) { return json.Marshal(doc) }

// Format returns a document as block YAML for operators, without comments.
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

// lineIndex maps the path of a value, such as .services[0].name, to its line.
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

// of returns the line of a path, or of the nearest value around it, so that a
// missing field points to the entry that lacks it.
func (l lineIndex) of(path string) int {
	for {
		if line, ok := l[path]; ok || path == "" {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// position is a place in a document: path for the line lookup, and shown for
// operators, with the names of entries in place of their numbers.
type position struct{ path, shown string }

func (p position) field(name string) position {
	shown := name
	if p.shown != "" {
		shown = p.shown + "." + name
	}
	return position{path: p.path + "." + name, shown: shown}
}

func (p position) item(i int, name string) position {
	n := "[" + strconv.Itoa(i) + "]"
	if name == "" {
		return position{path: p.path + n, shown: p.shown + n}
	}
	return position{path: p.path + n, shown: p.shown + "[" + name + "]"}
}
