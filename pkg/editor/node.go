package editor

import (
	"bytes"
	"strings"

	"github.com/tailscale/hujson"
)

// node is a value with its offsets in the text.
type node struct {
	hujson.Value
}

// member returns the value of an object's member, or nil if there is none.
func (n *node) member(name string) *node {
	obj, ok := n.Value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for _, m := range obj.Members {
		if m.Name.Value.(hujson.Literal).String() == name {
			return &node{m.Value}
		}
	}
	return nil
}

// element returns an element of an array.
func (n *node) element(i int) *node {
	return &node{n.Value.Value.(*hujson.Array).Elements[i]}
}

// item is one member of an object or element of an array. Its offsets are those of
// its start, its end, and the position of a comma after it, present or not.
type item struct {
	start, end, comma int
	// before is the whitespace and comments before it.
	before string
}

func (n *node) items() []item {
	var all []item
	switch v := n.Value.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			comma := m.Value.EndOffset + len(m.Value.AfterExtra)
			all = append(all, item{m.Name.StartOffset, m.Value.EndOffset, comma, string(m.Name.BeforeExtra)})
		}
	case *hujson.Array:
		for _, e := range v.Elements {
			comma := e.EndOffset + len(e.AfterExtra)
			all = append(all, item{e.StartOffset, e.EndOffset, comma, string(e.BeforeExtra)})
		}
	}
	return all
}

// appendItem returns the replacements that append an item to an object or array. If
// the last item is on a line of its own, so is the new one, with its indentation.
func (n *node) appendItem(text []byte, added string) []replacement {
	items := n.items()
	if len(items) == 0 {
		offset := n.StartOffset + 1
		return []replacement{{offset, offset, added}}
	}
	last := items[len(items)-1]
	trailing := text[last.comma] == ','
	newline := strings.LastIndexByte(last.before, '\n')
	if newline < 0 {
		return []replacement{{last.end, last.end, ", " + added}}
	}
	line := "\n" + leadingBlanks(last.before[newline+1:]) + added
	if trailing {
		offset := endOfLineComment(text, last.comma+1)
		return []replacement{{offset, offset, line + ","}}
	}
	offset := endOfLineComment(text, last.end)
	if offset == last.end {
		return []replacement{{offset, offset, "," + line}}
	}
	return []replacement{{last.end, last.end, ","}, {offset, offset, line}}
}

// leadingBlanks returns the spaces and tabs at the start of s.
func leadingBlanks(s string) string {
	return s[:len(s)-len(strings.TrimLeft(s, " \t"))]
}

// endOfLineComment returns the offset after the // comment that follows i on its
// line, or i if anything else follows.
func endOfLineComment(text []byte, i int) int {
	rest := text[i:]
	newline := bytes.IndexByte(rest, '\n')
	if newline < 0 {
		return i
	}
	if !bytes.HasPrefix(bytes.TrimLeft(rest[:newline], " \t"), []byte("//")) {
		return i
	}
	return i + newline
}

// removeItem returns the replacements that remove an item and one comma. Comments
// stay.
func (n *node) removeItem(text []byte, i int) []replacement {
	items := n.items()
	it := items[i]
	if text[it.comma] == ',' {
		return n.removeItemAndLine(text, it)
	}
	if i == 0 {
		return []replacement{{it.start, it.end, ""}}
	}
	previous := items[i-1]
	if strings.TrimSpace(it.before) == "" {
		return []replacement{{previous.comma, it.end, ""}}
	}
	return []replacement{{previous.comma, previous.comma + 1, ""}, {it.start, it.end, ""}}
}

// removeItemAndLine returns the replacements that remove an item followed by a
// comma, with its line if nothing else is on it.
func (n *node) removeItemAndLine(text []byte, it item) []replacement {
	if it.comma != it.end {
		return []replacement{{it.start, it.end, ""}, {it.comma, it.comma + 1, ""}}
	}
	start, end := it.start, it.comma+1
	for text[end] == ' ' || text[end] == '\t' {
		end++
	}
	lineStart := start - len(trailingBlanks(text[:start]))
	if text[end] == '\n' && lineStart > 0 && text[lineStart-1] == '\n' {
		return []replacement{{lineStart, end + 1, ""}}
	}
	return []replacement{{start, end, ""}}
}

// trailingBlanks returns the spaces and tabs at the end of b.
func trailingBlanks(b []byte) []byte {
	return b[len(bytes.TrimRight(b, " \t")):]
}
