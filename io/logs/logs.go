package logs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"unicode/utf8"
)

const (
	// maxValueBytes bounds the value of a field. Identifiers and error messages fit; request headers and documents,
	// whose length the caller controls, are shortened.
	maxValueBytes = 512
	// maxKeyBytes bounds the key of a field.
	maxKeyBytes = 64
	// maxFields bounds the number of fields of a line.
	maxFields = 32
	// ellipsis ends a key or value that was shortened.
	ellipsis = "..."
)

// New returns a logger that writes JSON lines to w. The JSON encoding escapes line breaks, so that a value can't forge
// a line.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	inner := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: boundAttr})
	return slog.New(&handler{inner: inner})
}

// handler bounds the message and the number of fields before the inner handler formats them.
type handler struct{ inner slog.Handler }

// Enabled reports whether lines of the level are written.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle writes the record with a bounded message and at most maxFields fields. The field "dropped" gives the number
// of those beyond.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	bounded := slog.NewRecord(r.Time, r.Level, shorten(r.Message, maxValueBytes), r.PC)
	added := 0
	r.Attrs(func(a slog.Attr) bool {
		if added == maxFields {
			bounded.AddAttrs(slog.Int("dropped", r.NumAttrs()-maxFields))
			return false
		}
		bounded.AddAttrs(a)
		added++
		return true
	})
	return h.inner.Handle(ctx, bounded)
}

// WithAttrs returns a handler that adds attrs to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{inner: h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts later fields under name.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{inner: h.inner.WithGroup(name)}
}

// boundAttr shortens the key and the value of a field.
func boundAttr(_ []string, a slog.Attr) slog.Attr {
	a.Key = shorten(a.Key, maxKeyBytes)
	switch a.Value.Kind() {
	case slog.KindString:
		a.Value = slog.StringValue(shorten(a.Value.String(), maxValueBytes))
	case slog.KindAny:
		a.Value = boundAnyValue(a.Value.Any())
	}
	return a
}

// boundAnyValue returns v as a bounded string, or as it is if its JSON encoding is short enough.
func boundAnyValue(v any) slog.Value {
	switch v := v.(type) {
	case slog.Level, *slog.Source:
		return slog.AnyValue(v)
	case error:
		return slog.StringValue(shorten(v.Error(), maxValueBytes))
	case []byte:
		return slog.StringValue(shorten(string(v), maxValueBytes))
	case fmt.Stringer:
		return slog.StringValue(shorten(v.String(), maxValueBytes))
	}
	data, err := json.Marshal(v)
	if err != nil {
		return slog.StringValue(shorten(fmt.Sprint(v), maxValueBytes))
	}
	if len(data) > maxValueBytes {
		return slog.StringValue(shorten(string(data), maxValueBytes))
	}
	return slog.AnyValue(json.RawMessage(data))
}

// shorten truncates s to at most limit bytes, without splitting a rune.
func shorten(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	end := limit - len(ellipsis)
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + ellipsis
}
