package proof

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// A process that can't read the latest revision, because a newer version wrote it, has to report that. If it counted as
// up to date, operators would believe that the change is in force. A process that never read a revision must not become
// ready.
func TestUnreadableRevisionIsReported(t *testing.T) {
	f := startProcesses(t, "e1", "a1")
	f.putRevision(1, "teams: []\nsetting-of-a-newer-version: 1\n")
	f.agents["a2"] = start(t, "wagtailhoist", "agent", "--id", "a2", "--region", "west", "--centre", "west-a",
		"--minion", f.minion.url("listen"), "--token", operatorToken, "--join", f.addresses())
	for _, id := range []string{"e1", "a1", "a2"} {
		f.within(inForceEverywhere, id+" reports that it can't read revision 1", func() bool {
			p := f.status("e1")[id]
			return p.Revision == 0 && p.Config == "unconfirmed" && strings.Contains(p.Fault, "can't be read")
		})
	}
	resp, err := http.Get(f.agents["a2"].url("link") + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness of an agent that could read no revision: got %d, want 503", resp.StatusCode)
	}
	// The store already has a revision with the change identifier "outside", so apply writes nothing and only waits.
	code, out := f.runCommand("e1", "apply", "--wait", "--limit", "2s", "--at", "0", "--change", "outside", f.writeDeclaration("same"))
	if code != 4 || !strings.Contains(out, "e1 (ready, revision 0: revision 1 can't be read") || !strings.Contains(out, "a1 (") {
		t.Errorf("apply --wait: got exit code %d, want 4 with the reason of e1 and a1\n%s", code, out)
	}
	accepted := time.Now()
	if code, out := f.runCommand("e1", "apply", "--at", "1", f.writeDeclaration("readable")); code != 0 {
		t.Fatalf("apply of a readable declaration: got exit code %d, want 0\n%s", code, out)
	}
	f.inForceEverywhere(accepted, 2, "e1", "a1", "a2")
}
