package query

import "github.com/alecthomas/participle/v2/lexer"

// tokens is the lexer of the language. The order of Shape, Time and Number matters, because a later one would match the
// beginning of an earlier one.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Shape", Pattern: `[0-9]+x[0-9]+\b`},
	{Name: "Time", Pattern: `([0-9]+(\.[0-9]+)?(ms|s|m|h))+\b`},
	{Name: "Number", Pattern: `[0-9]+\b`},
	{Name: "Word", Pattern: `[a-zA-Z][a-zA-Z0-9_.:/-]*`},
	{Name: "Name", Pattern: `"[^"\n]*"`},
	{Name: "space", Pattern: `\s+`},
})

// Statement is a query or a change; exactly one of the fields other than At is set.
type Statement struct {
	Show    *Show    `parser:"( 'show' @@"`
	Why     *Why     `parser:"| 'why' @@"`
	Reclaim *Reclaim `parser:"| 'reclaim' @@"`
	Team    *Team    `parser:"| 'team' @@"`
	Shape   *Shape   `parser:"| 'shape' @@"`
	Job     *Submit  `parser:"| 'job' @@"`
	Cancel  *Cancel  `parser:"| 'cancel' @@"`
	Drain   *Drain   `parser:"| 'drain' @@"`
	Aside   *Aside   `parser:"| 'aside' @@"`
	Back    *Back    `parser:"| 'back' @@ )"`
	// At is the revision that a change was made for.
	At *At `parser:"@@?"`
}

// At is the revision that a change was made for, with its position in the statement.
type At struct {
	Pos      lexer.Position `parser:""`
	Revision string         `parser:"'at' @Number"`
}

// Show lists objects of a kind.
type Show struct {
	Pos     lexer.Position `parser:""`
	What    string         `parser:"@('jobs' | 'waiting' | 'anchors' | 'shortfalls' | 'workers' | 'teams' | 'minions' | 'usage')"`
	Filters []*Filter      `parser:"@@*"`
}

// Filter restricts a list; exactly one of the fields is set.
type Filter struct {
	Pos    lexer.Position `parser:""`
	Team   string         `parser:"( 'of' @(Word|Name)"`
	Centre string         `parser:"| 'in' @(Word|Name)"`
	Worker string         `parser:"| 'on' @(Word|Name) )"`
}

// Why queries why a job waits.
type Why struct {
	Job string `parser:"@(Word|Name)"`
}

// Reclaim queries which jobs a claim of a guarantee would stop.
type Reclaim struct {
	Team      string `parser:"@(Word|Name)"`
	Guarantee string `parser:"@(Word|Name)"`
}

// Team declares a team, or removes it from the declaration.
type Team struct {
	Pos     lexer.Position `parser:""`
	Name    string         `parser:"@(Word|Name)"`
	Remove  bool           `parser:"( @'remove'"`
	Options []*Option      `parser:"| @@+ )"`
}

// Shape declares a guarantee of a team, or removes it from the declaration.
type Shape struct {
	Pos     lexer.Position `parser:""`
	Team    string         `parser:"@(Word|Name)"`
	Name    string         `parser:"@(Word|Name)"`
	Remove  bool           `parser:"( @'remove'"`
	Size    string         `parser:"| @Shape"`
	Options []*Option      `parser:"@@+ )"`
}

// Submit submits a job.
type Submit struct {
	Pos     lexer.Position `parser:""`
	ID      string         `parser:"@(Word|Name)"`
	Team    string         `parser:"'of' @(Word|Name)"`
	Size    string         `parser:"@Shape"`
	Options []*Option      `parser:"@@*"`
}

// Option is one property of a team, shape or job; exactly one of the fields is set.
type Option struct {
	Pos        lexer.Position `parser:""`
	Weight     string         `parser:"( 'weight' @Number"`
	Quota      string         `parser:"| 'quota' @Number"`
	Cores      string         `parser:"| 'cores' @Number"`
	Memory     string         `parser:"| 'memory' @Number"`
	Adjacent   string         `parser:"| 'adjacent' @('rack' | 'worker')"`
	Centre     string         `parser:"| 'centre' @(Word|Name)"`
	Grace      string         `parser:"| 'grace' @Time"`
	Class      string         `parser:"| 'class' @(Word|Name)"`
	Guarantee  string         `parser:"| 'guarantee' @(Word|Name)"`
	Estimate   string         `parser:"| 'estimate' @Time"`
	Checkpoint bool           `parser:"| @'checkpoint'"`
	Urgent     bool           `parser:"| @'urgent' )"`
}

// Cancel cancels jobs.
type Cancel struct {
	Jobs []string `parser:"(?! 'at' Number) @(Word|Name) ( (?! 'at' Number) @(Word|Name) )*"`
}

// Drain makes an entry or agent finish its accepted work and accept no more.
type Drain struct {
	Node string `parser:"@(Word|Name)"`
}

// Aside stops the placement of jobs on a worker.
type Aside struct {
	Worker string `parser:"@(Word|Name)"`
}

// Back allows the placement of jobs on a worker again.
type Back struct {
	Worker string `parser:"@(Word|Name)"`
}
