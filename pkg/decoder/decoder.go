// Package decoder strictly decodes JSON with comments and trailing commas into Go
// structs, and collects all faults of a text with their lines and paths.
//
// A caller creates a Decoder with New, calls Decode, adds faults that its own
// validation finds with AddFault, and gets them all from Err.
package decoder

import (
	"bytes"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of objects and arrays.
const maxDepth = 32

// MaxFaults bounds the faults that are reported for one text.
const MaxFaults = 1000

// Decoder decodes one text and collects its faults. It is not safe for concurrent
// use.
type Decoder struct {
	text         []byte
	offsets      map[string]int
	failedPaths  map[string]bool
	faults       []locatedFault
	structFields map[reflect.Type]map[string]int
}

// New returns a Decoder of text.
func New(text []byte) *Decoder {
	return &Decoder{
		text:         text,
		offsets:      map[string]int{"": 0},
		failedPaths:  make(map[string]bool),
		structFields: make(map[reflect.Type]map[string]int),
	}
}

// Decode decodes the text into v, a pointer to a struct. Names must match the json
// tags exactly; unknown and repeated names, nulls and values of the wrong type are
// faults. Decode reports whether the text is valid JSON with comments; only then
// can the values in v be validated. It panics if v has a field of an unsupported
// kind.
func (d *Decoder) Decode(v any) bool {
	if i := findInvalidUTF8(d.text); i >= 0 {
		d.addFaultAt(i, "", "the text is not valid UTF-8")
		return false
	}
	if i := findTooDeep(d.text); i >= 0 {
		d.addFaultAt(i, "", "objects and arrays nest deeper than "+strconv.Itoa(maxDepth)+" levels")
		return false
	}
	root, err := hujson.Parse(d.text)
	if err != nil {
		d.addSyntaxFault(err)
		return false
	}
	d.decodeValue("", root, reflect.ValueOf(v).Elem())
	return true
}

// AddFault adds a fault of the value at path, such as "services[2].slots". If the
// text has no such value, the fault's position is that of the innermost value around
// it. A value that could not be decoded, or that lies within one, gets no second
// fault.
func (d *Decoder) AddFault(path, message string) {
	if d.Full() {
		return
	}
	for p := path; p != ""; p = parentPath(p) {
		if d.failedPaths[p] {
			return
		}
	}
	p := path
	for p != "" {
		if _, ok := d.offsets[p]; ok {
			break
		}
		p = parentPath(p)
	}
	d.addFaultAt(d.offsets[p], path, message)
}

// Full reports whether there are MaxFaults faults. Further ones are dropped.
func (d *Decoder) Full() bool { return len(d.faults) >= MaxFaults }

// Err returns an *ErrFaults with the faults so far, or nil if there are none.
func (d *Decoder) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &ErrFaults{Faults: locate(d.text, d.faults), Truncated: d.Full()}
}

// parentPath returns the path of the object or array that contains path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func (d *Decoder) addFaultAt(offset int, path, message string) {
	if d.Full() {
		return
	}
	d.faults = append(d.faults, locatedFault{min(offset, len(d.text)), Fault{Path: path, Message: message}})
}

// syntaxErrorPattern matches the errors of hujson.Parse.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (d *Decoder) addSyntaxFault(err error) {
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		d.addFaultAt(0, "", err.Error())
		return
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	d.addFaultAt(offsetOf(d.text, line, column), "", m[3])
}

func findInvalidUTF8(text []byte) int {
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// findTooDeep returns the offset at which text exceeds maxDepth, or -1. It bounds
// the stack of hujson.Parse, which recurses.
func findTooDeep(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// endOfString returns the offset of the closing quote of the string at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment at i.
func endOfComment(text []byte, i int) int {
	rest := text[i:]
	end := "\n"
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(rest[2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}
