package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
)

// MaxStatementBytes is the largest size of a statement; it leaves room to cancel hundreds of jobs at once.
const MaxStatementBytes = 64 << 10

// maxQuotedBytes limits the part of a statement that an error quotes.
const maxQuotedBytes = 64

// SyntaxError reports a statement that is not valid.
type SyntaxError struct {
	// Line and Column are the position of the error, counted from 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Text says what was found and what was expected.
	Text string `json:"text"`
}

// Error returns the position and the text.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Text) }

// parser parses one statement.
var parser = participle.MustBuild[Statement](
	participle.Lexer(tokens),
	participle.Elide("space"),
	participle.Unquote("Name"),
)

// statementForms holds the form of each kind of statement, by its first word.
var statementForms = map[string]string{
	"show":    "show jobs|waiting|anchors|shortfalls|workers|teams|minions|usage [of TEAM] [in CENTRE] [on WORKER]",
	"why":     "why JOB",
	"reclaim": "reclaim TEAM GUARANTEE",
	"team":    "team TEAM weight N [quota N] [at REVISION], or team TEAM remove",
	"shape": "shape TEAM NAME 3x8 grace TIME [cores N] [memory N] [adjacent rack|worker] [centre CENTRE]" +
		" [at REVISION], or shape TEAM NAME remove",
	"job": "job JOB of TEAM 2x8 [cores N] [memory N] [adjacent rack|worker] [class NAME] [guarantee NAME]" +
		" [estimate TIME] [grace TIME] [checkpoint] [urgent] [at REVISION]",
	"cancel": "cancel JOB... [at REVISION]",
	"drain":  "drain NODE [at REVISION]",
	"aside":  "aside WORKER [at REVISION]",
	"back":   "back WORKER [at REVISION]",
}

// statementVerbs lists the first words of statements for error messages.
const statementVerbs = "show, why, reclaim, team, shape, job, cancel, drain, aside or back"

// Parse parses one statement. The error is a SyntaxError.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxStatementBytes {
		return nil, &SyntaxError{1, 1, fmt.Sprintf("the statement has %d bytes; the limit is %d", len(text), MaxStatementBytes)}
	}
	s, err := parser.ParseString("", text)
	if err != nil {
		return nil, translateParseError(text, err)
	}
	if s.At != nil && !s.IsChange() {
		return nil, &SyntaxError{s.At.Pos.Line, s.At.Pos.Column, "a query has no revision; expected the end"}
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// IsChange reports whether the statement is a change.
func (s *Statement) IsChange() bool { return s.Show == nil && s.Why == nil && s.Reclaim == nil }

// translateParseError returns a SyntaxError that says what was found, and what was expected by the form of the statement.
func translateParseError(text string, err error) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return &SyntaxError{1, 1, err.Error()}
	}
	out := &SyntaxError{Line: max(parseErr.Position().Line, 1), Column: max(parseErr.Position().Column, 1)}
	offset := min(parseErr.Position().Offset, len(text))
	found, expected := "the end", ""
	if rest := text[offset:]; strings.TrimSpace(rest) != "" {
		found = fmt.Sprintf("%q", firstWord(rest))
	}
	verb := firstWord(text)
	form, known := statementForms[verb]
	if !known {
		out.Text = fmt.Sprintf("found %s; expected %s", found, statementVerbs)
		return out
	}
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		_, fragment, _ := strings.Cut(parseErr.Message(), " (expected ")
		expected = describeFirstToken(fragment)
	}
	if expected != "" {
		expected += " as in "
	}
	out.Text = fmt.Sprintf("found %s; expected %s%s", found, expected, form)
	return out
}

// firstWord returns the first word of text, cut to maxQuotedBytes.
func firstWord(text string) string {
	word := strings.Fields(text + " .")[0]
	if len(word) > maxQuotedBytes {
		word = strings.ToValidUTF8(word[:maxQuotedBytes], "") + "..."
	}
	return word
}

// describeFirstToken returns the description of the first element of a grammar fragment if that is a single token, and
// otherwise an empty string.
func describeFirstToken(fragment string) string {
	for prefix, text := range map[string]string{
		"(<word>": "a name", "<word>": "a name", "<number>": "a number", "<time>": "a time such as 5s",
		"<shape>": "a shape such as 3x8", `"of"`: `"of"`,
	} {
		if strings.HasPrefix(fragment, prefix) {
			return text
		}
	}
	return ""
}
