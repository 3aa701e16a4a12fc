package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"wagtailhoist/core/query"
	"wagtailhoist/io/admin"
)

// Exit codes of the operators' commands, beside exitOK, exitFail and exitUsage.
const (
	exitConflict    = 3
	exitLagging     = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// exitCodes is the part of the help that explains them.
const exitCodes = `

Exit codes: 0 done; 1 failed; 2 wrong settings or input; 3 conflict with another change; 4 processes lag;
5 not reachable, without effect; 6 effect unknown.`

// callLimit bounds one call to an entry: the 5 s that an entry gives a change, and the way.
const callLimit = 8 * time.Second

// exitError is an error with the exit code that it gives the process.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without the code.
func (e *exitError) Unwrap() error { return e.err }

// codes are the exit codes of the kinds of failures.
var codes = map[admin.Kind]int{
	admin.KindInvalid:     exitUsage,
	admin.KindTooLarge:    exitUsage,
	admin.KindConflict:    exitConflict,
	admin.KindUnavailable: exitUnavailable,
	admin.KindTooMany:     exitUnavailable,
	admin.KindUnknown:     exitUnknown,
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var exit *exitError
	var failure *admin.Failure
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &failure) && codes[failure.Kind] != 0:
		return codes[failure.Kind]
	}
	return exitFail
}

// outputFlags choose the form of the output.
type outputFlags struct {
	Output string `help:"Form of the output." enum:"table,json" default:"table"`
}

// print writes v as JSON, or calls table.
func (f *outputFlags) print(w io.Writer, v any, table func(io.Writer) error) error {
	if f.Output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	return table(w)
}

// operatorFlags are the settings of commands that call an entry.
type operatorFlags struct {
	Admin string `help:"URL of the operators' listener of an entry." required:""`
	Token string `help:"Operators' secret." required:""`
	outputFlags
}

func (f *operatorFlags) check(c *checks) {
	c.url("admin", f.Admin)
	c.token("token", f.Token)
}

func (f *operatorFlags) client() *admin.Client {
	return &admin.Client{URL: f.Admin, Token: f.Token, HTTP: &http.Client{Timeout: callLimit}}
}

// author names the person who runs the command.
func author() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

// sendTries is how often a call whose effect is unknown is made; a repeated call with the same
// change identifier has no second effect.
const sendTries = 3

// repeat makes a call again while its effect is unknown.
func repeat[T any](call func() (T, error)) (T, error) {
	for tries := 1; ; tries++ {
		out, err := call()
		var failure *admin.Failure
		if tries == sendTries || !errors.As(err, &failure) || failure.Kind != admin.KindUnknown {
			return out, err
		}
	}
}

// readFile reads a document; - stands for the standard input.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxFile))
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFile))
}

// maxFile bounds what is read of a document, in bytes; the parser refuses documents well below it.
const maxFile = 4 << 20

// unstored is the line about a change that was accepted during an outage of the store.
const unstored = "accepted, but not yet stored: the store is down; the change is lost if this entry ends before it is back"

// askQuery sends a statement and prints the answer.
func (f *operatorFlags) askQuery(s streams, text, change string) error {
	statement, err := query.Parse(text)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	client, ctx := f.client(), context.Background()
	ask := func() (admin.QueryAnswer, error) {
		return client.Query(ctx, admin.QueryRequest{Text: text, Author: author(), Change: change})
	}
	// Only changes of the configuration carry an identifier that makes a repetition safe.
	var answer admin.QueryAnswer
	if statement.Edits() {
		answer, err = repeat(ask)
	} else {
		answer, err = ask()
	}
	if err != nil {
		return err
	}
	return f.print(s.out, answer, func(w io.Writer) error {
		if answer.Answer != nil {
			return answer.WriteTable(w)
		}
		_, err := fmt.Fprintln(w, answer.Done)
		if err == nil && answer.Unstored {
			_, err = fmt.Fprintln(w, unstored)
		}
		return err
	})
}
