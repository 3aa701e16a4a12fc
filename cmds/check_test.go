package cmds

import (
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wagtailhoist/platform/fakes"
)

// TestCheckExitCodes guards the exit codes of check, by which scripts decide whether to send a desired state.
func TestCheckExitCodes(t *testing.T) {
	server := httptest.NewServer(&fakes.Store{})
	defer server.Close()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	warned := write("warned.json", `{"version":1}`)
	wrong := write("wrong.json", `{"version":"1"}`)
	large := write("large.json", strings.Repeat(" ", maxDocumentBytes)+warned)
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"warning", []string{warned}, exitOK},
		{"warning that counts", []string{"--strict", warned}, exitUsage},
		{"error", []string{wrong}, exitUsage},
		{"error in JSON output", []string{"--output", "json", wrong}, exitUsage},
		{"no such file", []string{filepath.Join(dir, "none.json")}, exitUsage},
		{"file of which only a part is read", []string{large}, exitUsage},
		{"wrong setting", []string{"--gpus", "-1", warned}, exitUsage},
		{"empty store", []string{"--store", server.Listener.Addr().String(), warned}, exitOK},
		{"no store", []string{"--store", "127.0.0.1:1", warned}, exitUnavailable},
	}
	for _, test := range tests {
		if got := Main(append([]string{"check"}, test.args...), io.Discard, io.Discard); got != test.want {
			t.Errorf("%s: got exit code %d, want %d", test.name, got, test.want)
		}
	}
}
