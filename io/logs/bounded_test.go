package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// A log output that blocks must not block the process.
func TestBoundedDoesNotBlockOnItsOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, closer := NewBounded(out, slog.LevelInfo)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * maxQueuedLines {
			log.Warn("line")
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("writing log lines blocked on the output")
	}
	close(out.release)
	closer()
}

// The volume of the log is bounded, but warnings must not be omitted with the other lines.
func TestBoundedLimitsLinesButNotWarnings(t *testing.T) {
	var out bytes.Buffer
	log, closer := NewBounded(&out, slog.LevelInfo)
	at := time.Unix(1000, 0)
	write := func(level slog.Level, text string) {
		if err := log.Handler().Handle(context.Background(), slog.NewRecord(at, level, text, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for range lineBudget + 50 {
		write(slog.LevelInfo, "plain")
	}
	write(slog.LevelWarn, "important")
	at = at.Add(time.Second)
	write(slog.LevelInfo, "plain")
	closer()
	if got, want := strings.Count(out.String(), `"plain"`), lineBudget+1; got != want {
		t.Errorf("got %d plain lines, want %d", got, want)
	}
	if !strings.Contains(out.String(), `"important"`) {
		t.Error("a warning was omitted")
	}
	if !strings.Contains(out.String(), `"lines":50`) {
		t.Error("the number of omitted lines was not logged")
	}
}
