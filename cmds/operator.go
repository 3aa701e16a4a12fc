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

// Exit codes of the operators' commands, in addition to exitOK, exitFail and exitUsage.
const (
	exitConflict    = 3
	exitLagging     = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// exitCodesHelp explains the exit codes in the help of the operators' commands.
const exitCodesHelp = `

Exit codes: 0 done; 1 failed; 2 wrong settings or input; 3 conflict with another change; 4 processes lag;
5 not reachable, without effect; 6 effect unknown.`

// callTimeout bounds one call to an entry: an entry spends up to 5 s on a change, and the network takes the rest.
const callTimeout = 8 * time.Second

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitCodeOf maps kinds of failures to exit codes; kinds without an entry exit with exitFail.
var exitCodeOf = map[admin.Kind]int{
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
	case errors.As(err, &failure) && exitCodeOf[failure.Kind] != 0:
		return exitCodeOf[failure.Kind]
	}
	return exitFail
}

// outputFlags select the output format.
type outputFlags struct {
	Output string `help:"Output format." enum:"table,json" default:"table"`
}

// print writes v as JSON with --output json, and otherwise calls table.
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

func (f *operatorFlags) validate(c *validator) {
	c.url("admin", f.Admin)
	c.token("token", f.Token)
}

func (f *operatorFlags) client() *admin.Client {
	return &admin.Client{URL: f.Admin, Token: f.Token, HTTP: &http.Client{Timeout: callTimeout}}
}

// author returns USER@HOST of the person who runs the command, to be recorded with a change.
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

// maxCallAttempts bounds the attempts at a call whose effect is unknown. Repeating a call with the same
// change identifier is idempotent.
const maxCallAttempts = 3

// retryUnknown makes a call until its effect is known or it was made maxCallAttempts times.
func retryUnknown[T any](call func() (T, error)) (T, error) {
	for attempts := 1; ; attempts++ {
		out, err := call()
		var failure *admin.Failure
		if attempts == maxCallAttempts || !errors.As(err, &failure) || failure.Kind != admin.KindUnknown {
			return out, err
		}
	}
}

// readFile reads at most maxDocumentBytes of a declaration; the name - stands for standard input.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxDocumentBytes))
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxDocumentBytes))
}

// maxDocumentBytes bounds how much of a file is read; the parser refuses declarations far smaller than this.
const maxDocumentBytes = 4 << 20

// unstoredNotice is printed for a change that was accepted during an outage of the store.
const unstoredNotice = "accepted, but not yet stored: the store is down; the change is lost if this entry ends before it is back"

// runStatement sends a statement of the query language to the entry and prints the answer.
func (f *operatorFlags) runStatement(s streams, text, change string) error {
	statement, err := query.Parse(text)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	client, ctx := f.client(), context.Background()
	send := func() (admin.QueryAnswer, error) {
		return client.Query(ctx, admin.QueryRequest{Text: text, Author: author(), Change: change})
	}
	// Only changes of the configuration are idempotent by their identifier and can be retried.
	var answer admin.QueryAnswer
	if statement.IsDeclarationChange() {
		answer, err = retryUnknown(send)
	} else {
		answer, err = send()
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
			_, err = fmt.Fprintln(w, unstoredNotice)
		}
		return err
	})
}
