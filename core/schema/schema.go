package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"wagtailhoist/core/check"
)

// Type is the type that a value must have.
type Type int

// Types of values. The zero value allows any.
const (
	AnyType Type = iota
	ObjectType
	ArrayType
	StringType
	IntegerType
	NumberType
	BooleanType
)

// Schema describes a value.
type Schema struct {
	Type Type
	// Strict makes another type an error instead of a warning: the decoder of the text refuses it.
	Strict bool
	// Properties describes the members of an object by their names; nil allows any.
	Properties map[string]Schema
	// Items describes the elements of an array; nil allows any.
	Items *Schema
}

// Validate adds the names and types in a document that don't agree with a schema to the findings. The document must be valid JSON.
func (d *Document) Validate(s Schema, findings *check.Findings) {
	v := &validator{d, findings}
	v.value(d.Root, s, "")
}

// validator collects the wrong types and names of a document.
type validator struct {
	*Document
	findings *check.Findings
}

func (v *validator) add(s check.Severity, offset int, path, text, fix string) {
	v.findings.Add(s, func() check.Finding { return check.Finding{Place: v.place(offset, path), Text: text, Fix: fix} })
}

// value finds wrong types and names in a value. Like encoding/json, it allows null anywhere.
func (v *validator) value(n *Node, s Schema, path string) {
	text := v.Text(n)
	if string(text) == "null" {
		return
	}
	if problem := typeProblem(text, s.Type); problem != "" {
		severity, fix := check.Warning, "correct the value"
		if s.Strict {
			severity = check.Error
		}
		v.add(severity, n.offset, path, problem, fix)
		return
	}
	if s.Type == ArrayType && s.Items != nil {
		for i, element := range n.Elements {
			v.value(element, *s.Items, fmt.Sprintf("%s[%d]", path, i))
		}
	}
	if s.Type == ObjectType && s.Properties != nil {
		v.members(n, s, path)
	}
}

func (v *validator) members(n *Node, s Schema, path string) {
	first := map[string]int{}
	for i := range n.Members {
		m := &n.Members[i]
		name := propertyName(s.Properties, m.Name)
		memberPath := Join(path, m.Name)
		if name == "" {
			names := make([]string, 0, len(s.Properties))
			for known := range s.Properties {
				names = append(names, known)
			}
			slices.Sort(names)
			v.add(check.Warning, m.offset, memberPath, "unknown name, which is ignored; expected one of "+strings.Join(names, ", "),
				"remove it or correct the name")
			continue
		}
		if name != m.Name {
			v.add(check.Warning, m.offset, memberPath, "the name is read as "+name, "write "+name)
		}
		if offset, twice := first[name]; twice {
			v.add(check.Warning, m.offset, memberPath,
				fmt.Sprintf("the name occurs before, at line %d; the last value counts", v.place(offset, "").Line), "remove one of the two")
		} else {
			first[name] = m.offset
		}
		v.value(m.Value, s.Properties[name], Join(path, name))
	}
}

// propertyName returns the property as which encoding/json reads a name, which it compares without regard to case, or "".
func propertyName(properties map[string]Schema, name string) string {
	if _, known := properties[name]; known {
		return name
	}
	for property := range properties {
		if strings.EqualFold(property, name) {
			return property
		}
	}
	return ""
}

// Join returns the path of a member of the value at a path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// typeProblem says what is wrong with the type of a value that is not null, or returns "".
func typeProblem(text []byte, t Type) string {
	switch t {
	case ObjectType:
		return expectFirst(text, "{", "an object")
	case ArrayType:
		return expectFirst(text, "[", "a list")
	case StringType:
		return expectFirst(text, `"`, "a text")
	case BooleanType:
		return expectFirst(text, "tf", "true or false")
	case IntegerType:
		return numberProblem(text, new(int64), "a whole number")
	case NumberType:
		return numberProblem(text, new(float64), "a number")
	}
	return ""
}

func expectFirst(text []byte, first, expected string) string {
	if strings.IndexByte(first, text[0]) < 0 {
		return "wrong type; expected " + expected
	}
	return ""
}

// numberProblem says what is wrong with a number, by decoding it into a target of its type.
func numberProblem(text []byte, target any, expected string) string {
	switch {
	case json.Unmarshal(text, target) == nil:
		return ""
	case strings.IndexByte("-0123456789", text[0]) < 0:
		return "wrong type; expected " + expected
	case len(text) > 40:
		return "number out of range; expected " + expected
	case bytes.ContainsAny(text, ".eE"):
		return fmt.Sprintf("%s is not %s, or out of range", text, expected)
	}
	return fmt.Sprintf("%s is out of range", text)
}
