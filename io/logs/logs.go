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
	// maxField bounds a field's value, in bytes. Identifiers and error messages fit; a
	// request header or a document that a caller controls doesn't grow the line further.
	maxField = 512
	// maxKey bounds a field's key, in bytes.
	maxKey = 64
	// maxFields bounds the number of fields of a line.
	maxFields = 32
	// cut marks a value that was shortened.
	cut = "..."
)

// New returns a logger that writes JSON lines to w. The JSON encoding escapes line breaks,
// so that a value cannot begin a line of its own.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	inner := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: bound})
	return slog.New(&handler{inner: inner})
}

// handler bounds the message and the number of fields before the inner handler formats them.
type handler struct{ inner slog.Handler }

// Enabled reports whether lines of the level are written.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle writes the record with a bounded message and at most maxFields fields.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	short := slog.NewRecord(r.Time, r.Level, shorten(r.Message, maxField), r.PC)
	kept := 0
	r.Attrs(func(a slog.Attr) bool {
		if kept == maxFields {
			short.AddAttrs(slog.Int("dropped", r.NumAttrs()-maxFields))
			return false
		}
		short.AddAttrs(a)
		kept++
		return true
	})
	return h.inner.Handle(ctx, short)
}

// WithAttrs returns a handler that adds attrs to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{inner: h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts later fields under name.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{inner: h.inner.WithGroup(name)}
}

// bound shortens the key and the value of a field.
func bound(_ []string, a slog.Attr) slog.Attr {
	a.Key = shorten(a.Key, maxKey)
	switch a.Value.Kind() {
	case slog.KindString:
		a.Value = slog.StringValue(shorten(a.Value.String(), maxField))
	case slog.KindAny:
		a.Value = boundAny(a.Value.Any())
	}
	return a
}

func boundAny(v any) slog.Value {
	switch v := v.(type) {
	case slog.Level, *slog.Source:
		return slog.AnyValue(v)
	case error:
		return slog.StringValue(shorten(v.Error(), maxField))
	case []byte:
		return slog.StringValue(shorten(string(v), maxField))
	case fmt.Stringer:
		return slog.StringValue(shorten(v.String(), maxField))
	}
	data, err := json.Marshal(v)
	if err != nil {
		return slog.StringValue(shorten(fmt.Sprint(v), maxField))
	}
	if len(data) > maxField {
		return slog.StringValue(shorten(string(data), maxField))
	}
	return slog.AnyValue(json.RawMessage(data))
}

// shorten cuts s to at most limit bytes at the boundary of a rune.
func shorten(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	end := limit - len(cut)
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + cut
}
