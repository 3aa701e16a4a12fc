package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"wagtailhoist/core/check"
)

// Node is a value of a Document with its position.
type Node struct {
	offset, end int
	// Members are those of an object, Elements those of an array.
	Members  []Member
	Elements []*Node
}

// Member is a member of an object.
type Member struct {
	Name  string
	Value *Node
	// offset is that of the name.
	offset int
}

// runeStride is the distance in bytes of the offsets for which a document stores the number of characters before them.
// Columns in a file of one long line would otherwise be counted from its beginning each time.
const runeStride = 64

// Document is a text with the positions of its lines and, if it is valid JSON, of its values.
type Document struct {
	// Root is the outermost value; nil if the text isn't valid JSON.
	Root *Node

	data []byte
	// lines are the offsets at which lines begin.
	lines []int
	// runes are the numbers of characters before each multiple of runeStride.
	runes []int
}

// Parse indexes the lines and characters of a text, and parses its values if it is valid JSON.
func Parse(data []byte) *Document {
	d := &Document{data: data, lines: []int{0}}
	count := 0
	for i, b := range data {
		if i%runeStride == 0 {
			d.runes = append(d.runes, count)
		}
		if utf8.RuneStart(b) {
			count++
		}
		if b == '\n' {
			d.lines = append(d.lines, i+1)
		}
	}
	if json.Valid(data) {
		p := &parser{data: data}
		d.Root = p.value()
	}
	return d
}

// runesBefore returns the number of characters before an offset.
func (d *Document) runesBefore(offset int) int {
	if len(d.runes) == 0 {
		return 0
	}
	i := min(offset/runeStride, len(d.runes)-1)
	count := d.runes[i]
	for _, b := range d.data[i*runeStride : offset] {
		if utf8.RuneStart(b) {
			count++
		}
	}
	return count
}

// place returns the place of an offset.
func (d *Document) place(offset int, path string) check.Place {
	offset = max(0, min(offset, len(d.data)))
	line := sort.SearchInts(d.lines, offset+1)
	return check.Place{Line: line, Column: d.runesBefore(offset) - d.runesBefore(d.lines[line-1]) + 1, Path: path}
}

// Text returns the JSON text of a value.
func (d *Document) Text(n *Node) []byte { return d.data[n.offset:n.end] }

// Compact returns the JSON text of a value without spaces.
func (d *Document) Compact(n *Node) string {
	var b bytes.Buffer
	// A valid text can always be compacted.
	_ = json.Compact(&b, d.Text(n))
	return b.String()
}

// IsArray reports whether a value, which may be nil, is an array.
func (d *Document) IsArray(n *Node) bool { return n != nil && d.data[n.offset] == '[' }

// AddSyntaxError adds the finding of a text that isn't valid JSON. The error is that of its decoder.
func (d *Document) AddSyntaxError(err error, findings *check.Findings) {
	offset := len(d.data)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		// The offset is that behind the last byte read, which is the wrong one unless the text ends too early.
		offset = int(syntax.Offset)
		if offset < len(d.data) || !strings.Contains(syntax.Error(), "unexpected end") {
			offset--
		}
	}
	findings.Add(check.Error, func() check.Finding {
		return check.Finding{Place: d.place(offset, ""), Text: fmt.Sprint(err), Fix: "correct the syntax"}
	})
}

// Get returns the value of the last member of an object that encoding/json decodes into the field of the given name, or nil.
func (n *Node) Get(name string) *Node {
	if n == nil {
		return nil
	}
	for i := len(n.Members) - 1; i >= 0; i-- {
		if m := &n.Members[i]; m.Name == name || strings.EqualFold(m.Name, name) {
			return m.Value
		}
	}
	return nil
}

// Element returns an element of an array, or nil if the array is nil or shorter.
func (n *Node) Element(i int) *Node {
	if n == nil || i >= len(n.Elements) {
		return nil
	}
	return n.Elements[i]
}

// parser reads valid JSON.
type parser struct {
	data []byte
	pos  int
}

func (p *parser) skipSpace() {
	for p.pos < len(p.data) && strings.IndexByte(" \t\r\n", p.data[p.pos]) >= 0 {
		p.pos++
	}
}

// skipString moves behind the string that begins at the position.
func (p *parser) skipString() {
	for p.pos++; p.data[p.pos] != '"'; p.pos++ {
		if p.data[p.pos] == '\\' {
			p.pos++
		}
	}
	p.pos++
}

func (p *parser) value() *Node {
	p.skipSpace()
	n := &Node{offset: p.pos}
	switch p.data[p.pos] {
	case '{':
		p.list('}', func() {
			m := Member{offset: p.pos}
			p.skipString()
			m.Name = decodeName(p.data[m.offset:p.pos])
			p.skipSpace()
			p.pos++
			m.Value = p.value()
			n.Members = append(n.Members, m)
		})
	case '[':
		p.list(']', func() { n.Elements = append(n.Elements, p.value()) })
	case '"':
		p.skipString()
	default:
		for p.pos < len(p.data) && strings.IndexByte(" \t\r\n,]}", p.data[p.pos]) < 0 {
			p.pos++
		}
	}
	n.end = p.pos
	return n
}

// decodeName decodes a valid JSON string.
func decodeName(quoted []byte) string {
	for _, b := range quoted {
		if b == '\\' || b >= utf8.RuneSelf {
			var name string
			// A valid string is always decodable.
			_ = json.Unmarshal(quoted, &name)
			return name
		}
	}
	return string(quoted[1 : len(quoted)-1])
}

// list reads the items between brackets, which are separated by commas.
func (p *parser) list(closing byte, item func()) {
	p.pos++
	for p.skipSpace(); p.data[p.pos] != closing; p.skipSpace() {
		if p.data[p.pos] == ',' {
			p.pos++
			p.skipSpace()
		}
		item()
	}
	p.pos++
}
