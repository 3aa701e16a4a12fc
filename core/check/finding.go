package check

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says whether a finding is an error or a warning.
type Severity string

// Severities of findings.
const (
	// Error marks what the product refuses, or accepts but can't serve as written.
	Error Severity = "error"
	// Warning marks what the product serves, but probably not as intended.
	Warning Severity = "warning"
)

// Place is where a value is declared.
type Place struct {
	// Line and Column count from 1; 0 means that the position is not known.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the value in the terms of the file, for example routes[0].prefix; it is empty for the whole file.
	Path string `json:"path"`
}

// Finding is one fault of a file.
type Finding struct {
	Place
	Severity Severity `json:"severity"`
	// Text says what is wrong, Fix what to do.
	Text string `json:"text"`
	Fix  string `json:"fix"`
}

// String formats the finding as line:column: severity: path: text; fix.
func (f Finding) String() string {
	text := fmt.Sprintf("%s: %s; %s", f.Severity, f.Text, f.Fix)
	if f.Path != "" {
		text = fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Path, f.Text, f.Fix)
	}
	if f.Line == 0 {
		return text
	}
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, text)
}

// maxFindings limits the listed findings; one repeated fault could give one for each line of a file.
const maxFindings = 100

// Report lists findings, errors first, each in the order of the file.
type Report struct {
	Findings []Finding `json:"findings"`
	// Errors and Warnings count all findings, including those that are not listed.
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
}

// maxKept limits the findings of each severity that are kept until they are sorted, so that a large file of nothing but faults
// doesn't fill the memory.
const maxKept = 1000

// Findings collects findings. It counts all and keeps the first thousand of each severity.
type Findings struct {
	keptErrors, keptWarnings []Finding
	// Errors and Warnings count all findings.
	Errors, Warnings int
}

// Add counts a finding and, if it is kept, calls compose for it.
func (l *Findings) Add(s Severity, compose func() Finding) {
	kept, count := &l.keptWarnings, &l.Warnings
	if s == Error {
		kept, count = &l.keptErrors, &l.Errors
	}
	*count++
	if len(*kept) < maxKept {
		f := compose()
		f.Severity = s
		*kept = append(*kept, f)
	}
}

// Report sorts the findings and lists at most the first hundred.
func (l *Findings) Report() Report {
	byPlace := func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) }
	errors, warnings := slices.Clone(l.keptErrors), slices.Clone(l.keptWarnings)
	slices.SortStableFunc(errors, byPlace)
	slices.SortStableFunc(warnings, byPlace)
	findings := append([]Finding{}, append(errors, warnings...)...)
	return Report{Findings: findings[:min(len(findings), maxFindings)], Errors: l.Errors, Warnings: l.Warnings}
}

// Omitted returns how many findings are counted but not listed.
func (r *Report) Omitted() int { return r.Errors + r.Warnings - len(r.Findings) }
