package schema

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wagtailhoist/core/check"
)

// testSchema has a value of each type.
var testSchema = Schema{Type: ObjectType, Strict: true, Properties: map[string]Schema{
	"any": {}, "object": {Type: ObjectType, Strict: true, Properties: map[string]Schema{"inner": {Type: IntegerType, Strict: true}}},
	"array": {Type: ArrayType, Strict: true, Items: &Schema{Type: StringType, Strict: true}}, "open": {Type: ArrayType},
	"string": {Type: StringType, Strict: true}, "integer": {Type: IntegerType, Strict: true},
	"number": {Type: NumberType, Strict: true}, "boolean": {Type: BooleanType, Strict: true}, "lenient": {Type: StringType},
}}

// TestValidate guards the finding of each kind of fault, with its place: one that is missed reaches the decoder, which names no line.
func TestValidate(t *testing.T) {
	long := strings.Repeat("é", 3*runeStride)
	tests := []struct {
		name, text string
		// want lists line, column, severity and path of each finding.
		want string
	}{
		{"right types", `{"any":[1,{}],"object":{"inner":1},"array":["a"],"open":[1,"a"],"string":"a","integer":-1,"number":1e2,"boolean":true}`, ""},
		{"null", `{"any":null,"object":null,"array":[null],"string":null,"integer":null,"number":null,"boolean":null}`, ""},
		{"root", " []", "1:2 error "},
		{"object", `{"object":1}`, "1:11 error object"},
		{"inner", "{\"object\":\n {\"inner\":\"1\"}}", "2:11 error object.inner"},
		{"array", `{"array":{}}`, "1:10 error array"},
		{"element", "{\"array\":[\"a\",\n3]}", "2:1 error array[1]"},
		{"string", `{"string":1}`, "1:11 error string"},
		{"integer", `{"integer":1.5}`, "1:12 error integer"},
		{"integer out of range", `{"integer":99999999999999999999}`, "1:12 error integer"},
		{"integer of many digits", `{"integer":` + strings.Repeat("9", 50) + `}`, "1:12 error integer"},
		{"number", `{"number":"1"}`, "1:11 error number"},
		{"number out of range", `{"number":1e400}`, "1:11 error number"},
		{"boolean", `{"boolean":0}`, "1:12 error boolean"},
		{"lenient", `{"lenient":1}`, "1:12 warning lenient"},
		{"unknown name", `{"other":1}`, "1:2 warning other"},
		{"other case", `{"INTEGER":1}`, "1:2 warning INTEGER"},
		{"escaped name", `{"int\u0065ger":"1"}`, "1:17 error integer"},
		{"repeated name", `{"integer":1,"integer":2}`, "1:14 warning integer"},
		{"behind a long line", `{"any":"` + long + `","integer":[]}`, fmt.Sprintf("1:%d error integer", len(`{"any":"`)+3*runeStride+len(`","integer":`)+1)},
	}
	for _, test := range tests {
		var findings check.Findings
		Parse([]byte(test.text)).Validate(testSchema, &findings)
		var got []string
		for _, f := range findings.Report().Findings {
			got = append(got, fmt.Sprintf("%d:%d %s %s", f.Line, f.Column, f.Severity, f.Path))
			if f.Text == "" || f.Fix == "" {
				t.Errorf("%s: got the finding %+v, want a text and what to do", test.name, f)
			}
		}
		if got := strings.Join(got, ", "); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// TestSyntaxErrorHasItsPlace guards the place of a syntax error, which is the wrong byte, or the end of a text that ends too early.
func TestSyntaxErrorHasItsPlace(t *testing.T) {
	for text, want := range map[string]check.Place{
		"": {Line: 1, Column: 1}, "{\"a\":\n": {Line: 2, Column: 1}, "{\n \"a\": x}": {Line: 2, Column: 7}, "{}\n 7": {Line: 2, Column: 2},
	} {
		d := Parse([]byte(text))
		if d.Root != nil {
			t.Errorf("%q: got values, want none", text)
		}
		var value any
		var findings check.Findings
		d.AddSyntaxError(json.Unmarshal([]byte(text), &value), &findings)
		if got := findings.Report().Findings; len(got) != 1 || got[0].Place != want || got[0].Severity != check.Error {
			t.Errorf("%q: got %v, want an error at %v", text, got, want)
		}
	}
}

// TestAbsentMembersHaveThePlaceOfTheirParent guards findings about values that are missing: they must point into the file.
func TestAbsentMembersHaveThePlaceOfTheirParent(t *testing.T) {
	d := Parse([]byte("{\n \"here\": {\"n\": 7, \"N\": 8, \"s\": [1, 2]}}"))
	root := d.Object(d.Root, "", check.Place{})
	here := d.Object(root.Get("here"), "here", root.Place)
	absent := d.Object(root.Get("absent"), "absent", root.Place)
	for _, test := range []struct {
		name      string
		got, want check.Place
	}{
		{"member", here.PlaceOf("n"), check.Place{Line: 2, Column: 24, Path: "here.n"}},
		{"absent member", here.PlaceOf("x"), check.Place{Line: 2, Column: 10, Path: "here.x"}},
		{"member of an absent object", absent.PlaceOf("x"), check.Place{Line: 1, Column: 1, Path: "absent.x"}},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, test.got, test.want)
		}
	}
	// The decoder takes the last one of repeated names.
	if got := here.Integer("n").Value; got != 8 {
		t.Errorf("repeated member: got %d, want 8", got)
	}
	if got := here.Integer("s").Value; got != 0 {
		t.Errorf("member of another type: got %d, want 0", got)
	}
	if got := here.Text("s") + absent.Text("s"); got != "[1,2]unset" {
		t.Errorf("texts: got %q, want [1,2] and unset", got)
	}
	if absent.Get("x").Element(0) != nil || here.Get("s").Element(2) != nil {
		t.Error("got an element of an absent or shorter array, want none")
	}
}

// drawValue draws a value as encoding/json decodes it.
func drawValue(t *rapid.T, depth int) any {
	switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
	case kind == 0 && depth > 0:
		object := map[string]any{}
		for range rapid.IntRange(0, 4).Draw(t, "members") {
			object[rapid.String().Draw(t, "name")] = drawValue(t, depth-1)
		}
		return object
	case kind == 1 && depth > 0:
		array := []any{}
		for range rapid.IntRange(0, 4).Draw(t, "elements") {
			array = append(array, drawValue(t, depth-1))
		}
		return array
	case kind == 2:
		return rapid.Float64Range(-1e6, 1e6).Draw(t, "number")
	case kind == 3:
		return rapid.Bool().Draw(t, "boolean")
	case kind == 4:
		return nil
	}
	return rapid.String().Draw(t, "string")
}

// decode puts a value together from the texts of its parts.
func decode(t *rapid.T, d *Document, n *Node) any {
	text := d.Text(n)
	switch text[0] {
	case '{':
		object := map[string]any{}
		for _, m := range n.Members {
			object[m.Name] = decode(t, d, m.Value)
		}
		return object
	case '[':
		array := []any{}
		for _, element := range n.Elements {
			array = append(array, decode(t, d, element))
		}
		return array
	}
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatalf("text %q of a value: %v", text, err)
	}
	return value
}

// TestParseAgreesWithTheDecoder guards the positions of values: if the texts of the parts don't give the value that encoding/json
// decodes, findings and differences are about other values than those in force.
func TestParseAgreesWithTheDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := json.Marshal(drawValue(t, 3))
		if rapid.Bool().Draw(t, "indented") && err == nil {
			var want any
			_ = json.Unmarshal(text, &want)
			text, err = json.MarshalIndent(want, "", "\t")
		}
		if err != nil {
			t.Fatal(err)
		}
		var want any
		if err := json.Unmarshal(text, &want); err != nil {
			t.Fatal(err)
		}
		d := Parse(text)
		if got := decode(t, d, d.Root); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v from %s", got, want, text)
		}
	})
}
