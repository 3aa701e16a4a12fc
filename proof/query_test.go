package proof

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// startScheduler starts a platform with three workers of one data centre and an entry that schedules jobs on them.
func startScheduler(t *testing.T) *configFleet {
	f := &configFleet{
		t: t, dir: t.TempDir(), entries: map[string]*process{}, agents: map[string]*process{},
		regions: map[string]string{"e1": "west"},
	}
	f.platform = start(t, "stand", "platform", "--centres", "west/west-a=3")
	f.entries["e1"] = start(t, "wagtailhoist", "entry", "--id", "e1", "--region", "west", "--centre", "west-a",
		"--store", f.platform.url("listen"), "--works", f.platform.url("listen"), "--token", operatorToken).ready("link")
	return f
}

// Query answers have to agree with what the scheduler does: what runs where, what is reserved for which guarantee, why
// a job waits, and which jobs the reclaim of a guarantee would stop.
func TestOperatorsSeeAndChangeTheSchedule(t *testing.T) {
	f := startScheduler(t)
	query := func(words ...string) (int, string) {
		t.Helper()
		code, out := f.runCommand("e1", append([]string{"query"}, words...)...)
		return code, strings.Join(strings.Fields(out), " ")
	}
	awaitOutput := func(want string, words ...string) {
		t.Helper()
		var out string
		for end := time.Now().Add(inForceEverywhere); !strings.Contains(out, want); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%v: got %s, want it to contain %s", words, out, want)
			}
			_, out = query(words...)
		}
	}
	path := filepath.Join(f.dir, "teams.yaml")
	document := `teams:
- {name: trust, weight: 1, guarantees: [{name: nightly, grace: 3s, shape: {tasks: 2, gpus: 8, adjacent: rack}}]}
- {name: brennholz, weight: 3}
`
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := f.runCommand("e1", "apply", "--wait", path); code != 0 {
		t.Fatalf("apply: got exit code %d\n%s", code, out)
	}
	awaitOutput("trust nightly 2x8 adjacent rack 3s", "show", "anchors")
	if code, out := query("job", "loan", "of", "brennholz", "3x8", "checkpoint", "grace", "500ms", "at", "1"); code != 0 {
		t.Fatalf("job: got exit code %d, %s", code, out)
	}
	awaitOutput("loan brennholz running 3x8 spare west-a-w1:8 west-a-w2:8 west-a-w3:8", "show", "jobs")
	awaitOutput("loan west-a-w", "reclaim", "trust", "nightly")
	if code, out := query("job", "huge", "of", "brennholz", "9x8", "adjacent", "rack"); code != 0 {
		t.Fatalf("job: got exit code %d, %s", code, out)
	}
	awaitOutput("too large", "why", "huge")
	if code, out := query("job", "rebuild", "of", "trust", "2x8", "adjacent", "rack", "guarantee", "nightly", "urgent"); code != 0 {
		t.Fatalf("job: got exit code %d, %s", code, out)
	}
	awaitOutput("rebuild trust running 2x8 adjacent rack guarantee nightly", "show", "jobs")
	awaitOutput("loan", "show", "waiting")
	for _, tc := range []struct {
		code  int
		want  string
		words []string
	}{
		{3, "made for revision 7", []string{"cancel", "rebuild", "at", "7"}},
		{1, `no job "nosuch"`, []string{"why", "nosuch"}},
		{2, "expected show", []string{"show", "nothing"}},
		{0, "cancelled 2 jobs", []string{"cancel", "rebuild", "loan"}},
	} {
		if code, out := query(tc.words...); code != tc.code || !strings.Contains(out, tc.want) {
			t.Errorf("%v: got exit code %d, %s; want %d with %s", tc.words, code, out, tc.code, tc.want)
		}
	}
	// Three workers can't hold a guarantee of two beside another of two.
	code, out := query("shape", "brennholz", "routes", "2x8", "adjacent", "rack", "grace", "3s")
	if code != 2 || !strings.Contains(out, "trust/nightly") || !strings.Contains(out, "brennholz/routes") {
		t.Errorf("guarantees that can't be met together: got exit code %d, %s; want 2 with both names", code, out)
	}
	f.entries["e1"].stop()
}
