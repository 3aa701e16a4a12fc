package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// traceCmd prints the lines about a job in the logs of several processes.
type traceCmd struct {
	ID    string   `arg:"" help:"Id of the job."`
	Files []string `arg:"" optional:"" help:"Files with the log lines of one or more processes. Without them, standard input is read."`
}

// traceLine is a decoded log line about the traced job.
type traceLine struct {
	at      time.Time
	node    string
	message string
	fields  []string
}

// maxTraceLine is the length of the longest accepted log line in bytes.
const maxTraceLine = 1 << 20

// Run prints the log lines about a job ordered by time.
func (c *traceCmd) Run(s streams) error {
	var lines []traceLine
	if len(c.Files) == 0 {
		found, err := traceLines(os.Stdin, c.ID)
		if err != nil {
			return errors.Wrap(err, "reading log lines from standard input")
		}
		lines = found
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		found, err := traceLines(f, c.ID)
		_ = f.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Newf("no line names job %s", c.ID)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		fmt.Fprintf(s.out, "%s  %-18s %-14s %s\n", l.at.Format("15:04:05.000"), l.node, l.message, strings.Join(l.fields, " "))
	}
	return nil
}

// traceLines returns the lines of a log that are about a job. It skips text before the JSON object of a line, and
// lines without a valid object.
func traceLines(r io.Reader, id string) ([]traceLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxTraceLine)
	var lines []traceLine
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(strings.NewReader(text[begin:]))
		// Numbers are printed with the digits they have in the log.
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil || !concernsJob(fields, id) {
			continue
		}
		lines = append(lines, newTraceLine(fields))
	}
	return lines, scanner.Err()
}

// concernsJob reports whether a log line is about a job: by its field job, by the id of one of its tasks, or by the
// path of a request.
func concernsJob(fields map[string]any, id string) bool {
	if fields["job"] == id {
		return true
	}
	task, _ := fields["task"].(string)
	path, _ := fields["path"].(string)
	return strings.HasPrefix(task, id+".") || strings.HasSuffix(path, "/"+id)
}

func newTraceLine(fields map[string]any) traceLine {
	l := traceLine{}
	text, _ := fields["time"].(string)
	// The time stays zero for a line without a valid one, which sorts it first.
	l.at, _ = time.Parse(time.RFC3339Nano, text)
	l.node, _ = fields["node"].(string)
	l.message, _ = fields["msg"].(string)
	for _, key := range []string{"time", "node", "msg", "level", "job"} {
		delete(fields, key)
	}
	for key, value := range fields {
		if value != "" {
			l.fields = append(l.fields, fmt.Sprintf("%s=%v", key, value))
		}
	}
	sort.Strings(l.fields)
	return l
}
