package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"wagtailhoist/stand/echo"
)

// minionArg makes the test binary run as a minion that logs each execution before it
// answers. The log is read by the test, so the executions of a killed minion stay known;
// those of stand minion are lost with the process.
const minionArg = "proof-minion"

// serviceTime is the time of an execution, unless the request asks for another.
const serviceTime = 20 * time.Millisecond

// halves is the length of answers, in bytes, above which a minion sends them in two parts
// with a pause between, so that a kill leaves truncated answers.
const halves = 100_000

func init() {
	if len(os.Args) > 2 && os.Args[1] == minionArg {
		if err := serveMinion(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func serveMinion(address string) error {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	log.Info("listening", "listen", l.Addr().String())
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		id, key := r.Header.Get(echo.ID), r.Header.Get(echo.Key)
		log.Info("executed", "id", id)
		wait := serviceTime
		if d, err := time.ParseDuration(r.Header.Get(echo.Time)); err == nil {
			wait = d
		}
		time.Sleep(wait)
		size, _ := strconv.Atoi(r.Header.Get(echo.Size))
		out := echo.Answer(echo.Request{Method: r.Method, Path: r.URL.RequestURI(), ID: id, Key: key, Body: body}, size)
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		if len(out) <= halves {
			_, _ = w.Write(out)
			return
		}
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(serviceTime)
		_, _ = w.Write(out[len(out)/2:])
	}))
}

// startMinion runs this test's binary as a minion at address.
func startMinion(t testing.TB, address string) *process {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	bin, err := filepath.Rel(binDir, self)
	if err != nil {
		t.Fatal(err)
	}
	return start(t, bin, minionArg, address)
}

// execution is a log line of a minion.
type execution struct {
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
}

// executions returns what the minions ran so far.
func executions(t testing.TB, minions ...*process) []execution {
	t.Helper()
	var out []execution
	for _, m := range minions {
		for _, line := range m.lines(`"executed"`) {
			var e execution
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				t.Fatalf("log line %q: %v", line, err)
			}
			out = append(out, e)
		}
	}
	return out
}
