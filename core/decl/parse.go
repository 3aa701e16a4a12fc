package decl

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"wagtailhoist/core/model"
)

const (
	// MaxDocumentBytes is the largest document, in bytes. The store accepts values of up to 1 MB, and the document is
	// stored inside a JSON record.
	MaxDocumentBytes = 700 << 10
	// maxDepth limits nested flow collections, and maxColumn nested block collections: the parser recurses, and a
	// deeply nested document would exhaust the stack.
	maxDepth  = 32
	maxColumn = 256
)

// Parse decodes and validates a YAML document. The error is a ProblemsError with all problems, up to maxProblems.
func Parse(document []byte) (model.Declaration, error) {
	var d model.Declaration
	if len(document) > MaxDocumentBytes {
		return d, problemsError([]Problem{{
			Line: 1, Column: 1, Text: fmt.Sprintf("the document has %d bytes; the limit is %d", len(document), MaxDocumentBytes),
		}})
	}
	w := walker{positions: map[string]*token.Position{}}
	tokens := lexer.Tokenize(string(document))
	w.checkDepth(tokens)
	if len(w.problems) > 0 {
		return d, problemsError(w.problems)
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return d, problemsError([]Problem{syntaxProblem(err)})
	}
	switch {
	case len(file.Docs) == 0 || file.Docs[0].Body == nil:
		w.problems = append(w.problems, Problem{Line: 1, Column: 1, Text: "the document is empty; expected policy and teams"})
	case len(file.Docs) > 1:
		w.addProblem(file.Docs[1].Body, "", "the input has a second document; expected one")
	default:
		w.walk(file.Docs[0].Body, reflect.ValueOf(&d).Elem(), "")
	}
	for _, f := range Check(d) {
		if !w.hasProblem(f.Path) {
			w.problems = append(w.problems, w.locate(f))
		}
	}
	return d, problemsError(w.problems)
}

// syntaxProblem converts an error of the YAML parser.
func syntaxProblem(err error) Problem {
	p := Problem{Line: 1, Column: 1, Text: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		p.Text = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			p.Line, p.Column = t.Position.Line, t.Position.Column
		}
	}
	return p
}

// walker decodes the nodes of a document into a value. It continues after a problem, to report all of them; the
// library's strict decoder stops at the first.
type walker struct {
	problems []Problem
	// positions holds the position of each decoded value by its path.
	positions map[string]*token.Position
}

// checkDepth reports a document that is nested more deeply than maxDepth or maxColumn allows.
func (w *walker) checkDepth(tokens token.Tokens) {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType, token.MappingKeyType:
			if t.Position.Column > maxColumn {
				depth = maxDepth + 1
			}
		}
		if depth > maxDepth {
			w.problems = append(w.problems, Problem{
				Line: t.Position.Line, Column: t.Position.Column, Text: "the document is nested too deeply",
			})
			return
		}
	}
}

// addProblem records a problem at the position of node. It ignores problems beyond maxProblems: hasProblem compares
// with each of them, which would take minutes for a large file that is not a declaration.
func (w *walker) addProblem(node ast.Node, path, text string) {
	if len(w.problems) >= maxProblems {
		return
	}
	p := Problem{Line: 1, Column: 1, Path: path, Text: text}
	if node != nil && node.GetToken() != nil {
		p.Line, p.Column = node.GetToken().Position.Line, node.GetToken().Position.Column
	}
	w.problems = append(w.problems, p)
}

// hasProblem reports whether a problem is already recorded for the value at path or one that encloses it.
func (w *walker) hasProblem(path string) bool {
	for _, p := range w.problems {
		if p.Path != "" && (path == p.Path || strings.HasPrefix(path, p.Path+".") || strings.HasPrefix(path, p.Path+"[")) {
			return true
		}
	}
	return false
}

// locate returns p with the position of its value, or of the nearest enclosing value that has one.
func (w *walker) locate(p Problem) Problem {
	p.Line, p.Column = 1, 1
	for path := p.Path; path != ""; {
		if pos, ok := w.positions[path]; ok {
			p.Line, p.Column = pos.Line, pos.Column
			break
		}
		parentEnd := strings.LastIndexAny(path, ".[")
		path = path[:max(parentEnd, 0)]
	}
	return p
}

// walk decodes node into target, the value at path.
func (w *walker) walk(node ast.Node, target reflect.Value, path string) {
	if node != nil && node.GetToken() != nil {
		w.positions[path] = node.GetToken().Position
	}
	switch node.(type) {
	case nil, *ast.NullNode:
		w.addProblem(node, path, "no value; expected "+describeType(target.Type()))
		return
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode, *ast.MergeKeyNode:
		w.addProblem(node, path, "anchors, aliases and tags are not supported")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		w.walkStruct(node, target, path)
	case reflect.Slice:
		w.walkSlice(node, target, path)
	default:
		w.walkScalar(node, target, path)
	}
}

func (w *walker) walkStruct(node ast.Node, target reflect.Value, path string) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		w.addProblem(node, path, "expected "+describeType(target.Type()))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, entry := range mapping.Values {
		name := entry.Key.GetToken().Value
		childPath := joinPath(path, name)
		index, known := fields.index[name]
		switch {
		case !known:
			w.addProblem(entry.Key, childPath, "unknown key; expected one of "+strings.Join(fields.names, ", "))
		case seen[name]:
			w.addProblem(entry.Key, childPath, "duplicate key")
		default:
			seen[name] = true
			w.walk(entry.Value, target.Field(index), childPath)
		}
	}
}

func (w *walker) walkSlice(node ast.Node, target reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		w.addProblem(node, path, "expected a list")
		return
	}
	for i, value := range sequence.Values {
		element := reflect.New(target.Type().Elem()).Elem()
		w.walk(value, element, fmt.Sprintf("%s[%d]", path, i))
		target.Set(reflect.Append(target, element))
	}
}

// walkScalar decodes a scalar with the library, after checking that its kind is that of the target: a time without
// a unit or a number in quotes is likely a mistake.
func (w *walker) walkScalar(node ast.Node, target reflect.Value, path string) {
	ok := false
	switch node := node.(type) {
	case *ast.StringNode:
		ok = target.Kind() == reflect.String || isDuration(target.Type())
	case *ast.IntegerNode:
		ok = target.Kind() == reflect.Int || target.Kind() == reflect.Float64
	case *ast.FloatNode:
		ok = target.Kind() == reflect.Float64
	case *ast.BoolNode:
		ok = target.Kind() == reflect.Bool
	case *ast.LiteralNode:
		ok = target.Kind() == reflect.String && node.Value != nil
	}
	if ok {
		ok = yaml.NodeToValue(node, target.Addr().Interface()) == nil
	}
	if !ok {
		target.SetZero()
		w.addProblem(node, path, "expected "+describeType(target.Type()))
	}
}

func isDuration(t reflect.Type) bool { return t == reflect.TypeFor[time.Duration]() }

// describeType returns what a value of the type is called in error messages.
func describeType(t reflect.Type) string {
	if isDuration(t) {
		return "a time such as 500ms or 5s"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping with " + strings.Join(fieldsOf(t).names, ", ")
	case reflect.Slice:
		return "a list"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a string"
}

// yamlFields holds the YAML names of the fields of a struct in order, and the field index of each.
type yamlFields struct {
	names []string
	index map[string]int
}

func fieldsOf(t reflect.Type) yamlFields {
	f := yamlFields{index: map[string]int{}}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "-" {
			continue
		}
		f.names = append(f.names, name)
		f.index[name] = i
	}
	return f
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
