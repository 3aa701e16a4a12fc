package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// Input from callers gets into log fields. It must not forge a line or make a line arbitrarily long.
func TestHostileFieldsStayInOneBoundedLine(t *testing.T) {
	long := strings.Repeat("é", 1<<16)
	forged := "x\n{\"level\":\"ERROR\",\"msg\":\"forged\"}\r\n\u2028"
	for _, tc := range []struct {
		name string
		log  func(*slog.Logger)
	}{
		{"string", func(l *slog.Logger) { l.Info("m", "v", forged+long) }},
		{"message", func(l *slog.Logger) { l.Info(forged + long) }},
		{"key", func(l *slog.Logger) { l.Info("m", forged+long, 1) }},
		{"error", func(l *slog.Logger) { l.Info("m", "v", errors.New(forged+long)) }},
		{"bytes", func(l *slog.Logger) { l.Info("m", "v", []byte(forged+long)) }},
		{"map", func(l *slog.Logger) { l.Info("m", "v", map[string]string{forged: long}) }},
		{"unencodable", func(l *slog.Logger) { l.Info("m", "v", []any{func() {}, forged + long}) }},
		{"group", func(l *slog.Logger) { l.Info("m", slog.Group("g", "v", forged+long)) }},
		{"with", func(l *slog.Logger) { l.With("v", forged+long).Info("m") }},
		{"many", func(l *slog.Logger) {
			var args []any
			for range 1000 {
				args = append(args, slog.String("v", forged+long))
			}
			l.Info("m", args...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var buf bytes.Buffer
			tc.log(New(&buf, slog.LevelInfo))
			if got, want := strings.Count(buf.String(), "\n"), 1; got != want {
				t.Errorf("lines: got %d, want %d", got, want)
			}
			// An escape sequence takes up to six bytes for one byte of the input.
			if got, want := buf.Len(), (maxFields+2)*(maxValueBytes+maxKeyBytes)*6; got > want {
				t.Errorf("length: got %d, want at most %d", got, want)
			}
			if !json.Valid(buf.Bytes()) {
				t.Errorf("not valid JSON: %.200q", buf.String())
			}
		})
	}
}

// Fields within the bounds keep their types: log readers fail on a number that has become a string.
func TestShortFieldsKeepTheirTypes(t *testing.T) {
	var buf bytes.Buffer
	New(&buf, slog.LevelInfo).Info("listening", "port", 80, "up", true, "list", []int{1, 2})
	if got, want := buf.String(), `"msg":"listening","port":80,"up":true,"list":[1,2]}`; !strings.Contains(got, want) {
		t.Errorf("line: got %s, want it to contain %s", got, want)
	}
}
