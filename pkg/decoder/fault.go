package decoder

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Fault is one error in a text.
type Fault struct {
	// Line and Column count from 1. Columns are Unicode characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path identifies the value, such as "services[2].upstreams[0].region". It is
	// empty for the whole text.
	Path string `json:"path"`
	// Message describes the fault in one line.
	Message string `json:"message"`
}

// String returns the fault as one line: line, column, path and message.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// InFile returns the fault as one line that begins with its position in the form
// file:line:column, which editors can follow.
func (f Fault) InFile(file string) string {
	place := fmt.Sprintf("%s:%d:%d: ", file, f.Line, f.Column)
	if f.Path == "" {
		return place + f.Message
	}
	return place + f.Path + ": " + f.Message
}

// ErrFaults holds the faults of one text, in the order of their positions.
type ErrFaults struct {
	// File is the name of the text's file, empty if unknown.
	File   string
	Faults []Fault
	// Truncated is set if there are MaxFaults faults; others may have been dropped.
	Truncated bool
}

// Error returns the faults, one per line.
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

// locatedFault is a fault with its byte offset in the text.
type locatedFault struct {
	offset int
	fault  Fault
}

// locate sorts faults by offset and sets their lines and columns. It scans the text
// only once for all faults.
func locate(text []byte, located []locatedFault) []Fault {
	slices.SortStableFunc(located, func(a, b locatedFault) int { return cmp.Compare(a.offset, b.offset) })
	faults := make([]Fault, 0, len(located))
	line, column, offset := 1, 1, 0
	for _, l := range located {
		passed := text[offset:l.offset]
		if n := bytes.Count(passed, []byte("\n")); n > 0 {
			line += n
			column = 1
			passed = passed[bytes.LastIndexByte(passed, '\n')+1:]
		}
		column += utf8.RuneCount(passed)
		offset = l.offset
		l.fault.Line, l.fault.Column = line, column
		faults = append(faults, l.fault)
	}
	return faults
}

// offsetOf returns the offset of a line and a column in bytes, both from 1.
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
