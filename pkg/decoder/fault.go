package decoder

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Fault is one thing wrong with a text.
type Fault struct {
	// Line and Column count from 1; a column is one character.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the value, such as "services[2].upstreams[0].region". It is
	// empty for the whole text.
	Path string `json:"path"`
	// Message says what is wrong, in one line.
	Message string `json:"message"`
}

// String returns the fault as one line: line, column, path and message.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// In returns the fault as one line that begins with its place in a file, in the
// form that editors follow: file:line:column.
func (f Fault) InFile(file string) string {
	place := fmt.Sprintf("%s:%d:%d: ", file, f.Line, f.Column)
	if f.Path == "" {
		return place + f.Message
	}
	return place + f.Path + ": " + f.Message
}

// ErrFaults holds all faults of one text, in the order of their places.
type ErrFaults struct {
	// File is the name of the text's file, empty if it is not known.
	File   string
	Faults []Fault
	// More says that there are MaxFaults faults, and that more may follow.
	Truncated bool
}

// Error returns the faults, one a line.
func (e *ErrFaults) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		if e.File != "" {
			lines = append(lines, f.InFile(e.File))
		} else {
			lines = append(lines, f.String())
		}
	}
	if e.Truncated {
		lines = append(lines, "more faults may follow")
	}
	return strings.Join(lines, "\n")
}

// located is a fault with the offset of its place.
type located struct {
	offset int
	fault  Fault
}

// locate sorts faults by place and fills in their lines and columns. It reads
// the text once, however many faults there are.
func locate(text []byte, all []located) []Fault {
	slices.SortStableFunc(all, func(a, b located) int { return cmp.Compare(a.offset, b.offset) })
	faults := make([]Fault, 0, len(all))
	line, column, at := 1, 1, 0
	for _, l := range all {
		passed := text[at:l.offset]
		if n := bytes.Count(passed, []byte("\n")); n > 0 {
			line += n
			column = 1
			passed = passed[bytes.LastIndexByte(passed, '\n')+1:]
		}
		column += utf8.RuneCount(passed)
		at = l.offset
		l.fault.Line, l.fault.Column = line, column
		faults = append(faults, l.fault)
	}
	return faults
}

// offsetOf returns the offset of a line and of a column that counts bytes.
func offsetOf(text []byte, line, column int) int {
	offset := 0
	for ; line > 1; line-- {
		n := bytes.IndexByte(text[offset:], '\n')
		if n < 0 {
			break
		}
		offset += n + 1
	}
	return min(offset+column-1, len(text))
}
