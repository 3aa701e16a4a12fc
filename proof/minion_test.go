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

// minionArg makes the test binary run as a minion that logs each execution before it answers. The test reads the
// log, so that it can count the executions of a killed minion; "stand minion" would lose them with its process.
const minionArg = "proof-minion"

// defaultServiceTime is the default execution time of a request.
const defaultServiceTime = 20 * time.Millisecond

// maxUnsplitAnswer is the size in bytes above which a minion sends an answer in two parts with a pause in between, so that
// killing the minion truncates answers.
const maxUnsplitAnswer = 100_000

func init() {
	if len(os.Args) > 2 && os.Args[1] == minionArg {
		if err := serveMinion(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// serveMinion serves echo answers at address and logs each execution.
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
		wait := defaultServiceTime
		if d, err := time.ParseDuration(r.Header.Get(echo.Time)); err == nil {
			wait = d
		}
		time.Sleep(wait)
		size, _ := strconv.Atoi(r.Header.Get(echo.Size))
		out := echo.Answer(echo.Request{Method: r.Method, Path: r.URL.RequestURI(), ID: id, Key: key, Body: body}, size)
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
		if len(out) <= maxUnsplitAnswer {
			_, _ = w.Write(out)
			return
		}
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(defaultServiceTime)
		_, _ = w.Write(out[len(out)/2:])
	}))
}

// startMinion runs the test binary as a minion at address.
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

// execution is a minion's log line of one execution.
type execution struct {
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
}

// executions returns the executions that the minions have logged.
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
