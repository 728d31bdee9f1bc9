// Package decoder reads JSON with comments strictly into Go types. It knows the
// place of every value, so that faults found later can be told with line and
// path, and it tells all faults of a text at once.
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

// maxDepth bounds how deep objects and arrays may nest.
const maxDepth = 32

// MaxFaults bounds the faults that are told of one text.
const MaxFaults = 1000

// Decoder reads one text and gathers its faults. Use New to make one. It is
// not safe for use by several goroutines.
type Decoder struct {
	text   []byte
	places map[string]int
	faulty map[string]bool
	faults []located
	fields map[reflect.Type]map[string]int
}

// New returns a Decoder of text.
func New(text []byte) *Decoder {
	return &Decoder{
		text:   text,
		places: map[string]int{"": 0},
		faulty: make(map[string]bool),
		fields: make(map[reflect.Type]map[string]int),
	}
}

// Decode fills v, a pointer to a struct, from the text. Field names must match
// their json tags exactly; unknown and repeated names, nulls and values of the
// wrong type are faults. It reports whether the text could be read as JSON:
// only then does it make sense to check the values.
func (d *Decoder) Decode(v any) bool {
	if i := invalidUTF8(d.text); i >= 0 {
		d.addAt(i, "", "the text is not valid UTF-8")
		return false
	}
	if i := tooDeep(d.text); i >= 0 {
		d.addAt(i, "", "objects and arrays nest deeper than "+strconv.Itoa(maxDepth)+" levels")
		return false
	}
	root, err := hujson.Parse(d.text)
	if err != nil {
		d.addSyntax(err)
		return false
	}
	d.value("", root, reflect.ValueOf(v).Elem())
	return true
}

// Fault adds a fault of the value at path. The place of a missing value is
// that of the nearest value around it. A value whose reading failed, or that
// lies inside such a one, gets no second fault.
func (d *Decoder) AddFault(path, message string) {
	if d.Full() {
		return
	}
	for p := path; p != ""; p = parent(p) {
		if d.faulty[p] {
			return
		}
	}
	p := path
	for p != "" {
		if _, ok := d.places[p]; ok {
			break
		}
		p = parent(p)
	}
	d.addAt(d.places[p], path, message)
}

// Full reports whether there are MaxFaults faults: no more are kept.
func (d *Decoder) Full() bool { return len(d.faults) >= MaxFaults }

// Err returns an *ErrFaults with all faults so far, or nil when there are none.
func (d *Decoder) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &ErrFaults{Faults: locate(d.text, d.faults), Truncated: d.Full()}
}

// parent returns the path around path.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func (d *Decoder) addAt(offset int, path, message string) {
	if d.Full() {
		return
	}
	d.faults = append(d.faults, located{min(offset, len(d.text)), Fault{Path: path, Message: message}})
}

// syntaxError matches the errors of hujson.Parse.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (d *Decoder) addSyntax(err error) {
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		d.addAt(0, "", err.Error())
		return
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	d.addAt(offsetOf(d.text, line, column), "", m[3])
}

func invalidUTF8(text []byte) int {
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// tooDeep returns the offset at which text nests too deep, or -1. The parser
// recurses, so this bounds its stack.
func tooDeep(text []byte) int {
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

// endOfString returns the offset of the quote that ends the string at i.
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
