package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a process that waits for an output which takes no lines.
func TestBoundedDoesNotWaitForItsOutput(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	log, closer := Bounded(out, slog.LevelInfo)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * queued {
			log.Warn("line")
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("the logger waits for its output")
	}
	close(out.release)
	closer()
}

// Guards against a volume without bound, and against warnings that are left out with the rest.
func TestBoundedKeepsItsBudget(t *testing.T) {
	var out bytes.Buffer
	log, closer := Bounded(&out, slog.LevelInfo)
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
		t.Error("a warning was left out")
	}
	if !strings.Contains(out.String(), `"lines":50`) {
		t.Error("the lines that were left out aren't counted")
	}
}
