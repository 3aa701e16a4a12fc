package meter

import (
	"strings"
	"sync"
	"unicode"
)

// labels bounds the number of values of a label for each metric name. Values beyond the limit are replaced by
// overflowLabel.
type labels struct {
	limit int

	mu sync.RWMutex
	// admitted maps the metric name and the raw value to the label value.
	admitted map[string]map[string]string
}

// value returns the label value for raw, and admits raw if the limit allows it.
func (l *labels) value(name, raw string) string {
	l.mu.RLock()
	v, ok := l.admitted[name][raw]
	l.mu.RUnlock()
	if ok {
		return v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	values := l.admitted[name]
	if v, ok := values[raw]; ok {
		return v
	}
	if len(values) >= l.limit || len(raw) > maxLabelBytes {
		return overflowLabel
	}
	if values == nil {
		if l.admitted == nil {
			l.admitted = map[string]map[string]string{}
		}
		values = map[string]string{}
		l.admitted[name] = values
	}
	v = sanitizeValue(raw)
	values[raw] = v
	return v
}

// sanitizeValue replaces characters that can't be printed or decoded. An empty value becomes "none", because Prometheus
// treats an empty label as absent.
func sanitizeValue(raw string) string {
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
