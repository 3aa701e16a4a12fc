package decl

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Line and Column count from 1; 0 means that the problem has no position.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the value, for example teams[0].weight.
	Path string `json:"path"`
	// Text says what is wrong and what is expected.
	Text string `json:"text"`
}

// String formats the problem as line:column: path: text.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text)
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Path, p.Text)
}

// ProblemsError lists the problems of a document in the order of their positions.
type ProblemsError struct{ Problems []Problem }

// Error lists the problems, one per line.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// maxProblems limits the listed problems; a file that is not a declaration could give one for each line.
const maxProblems = 100

// problemsError returns a ProblemsError of the problems sorted by position, at most maxProblems, or nil if there are none.
func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}
		return problems[i].Column < problems[j].Column
	})
	return &ProblemsError{Problems: problems[:min(len(problems), maxProblems)]}
}
