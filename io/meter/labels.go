package meter

import (
	"strings"
	"sync"
	"unicode"
)

// labels admits a bounded number of label values for each name; later ones share a value.
type labels struct {
	limit int

	mu    sync.RWMutex
	known map[string]map[string]string
}

// value returns the label value to use for raw.
func (l *labels) value(name, raw string) string {
	l.mu.RLock()
	v, ok := l.known[name][raw]
	l.mu.RUnlock()
	if ok {
		return v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	values := l.known[name]
	if v, ok := values[raw]; ok {
		return v
	}
	if len(values) >= l.limit || len(raw) > maxLabel {
		return other
	}
	if values == nil {
		if l.known == nil {
			l.known = map[string]map[string]string{}
		}
		values = map[string]string{}
		l.known[name] = values
	}
	v = clean(raw)
	values[raw] = v
	return v
}

// clean replaces characters that a label value must not hold; an empty value reads as "none",
// because Prometheus treats an empty label as absent.
func clean(raw string) string {
	if raw == "" {
		return "none"
	}
	return strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, raw)
}
