package proof

import (
	"strings"
	"testing"
	"time"
)

// startRelay starts a relay to target and returns its address and a function that sets the relay's fault mode.
func startRelay(t *testing.T, target string) (string, func(mode string)) {
	t.Helper()
	relay := start(t, "stand", "relay", "--target", target)
	return relay.addr("listen"), func(mode string) {
		t.Helper()
		if status, answer := post(t, relay.url("control")+"/faults", map[string]any{"mode": mode}); status >= 300 {
			t.Fatalf("setting a fault of the relay: got %d %s", status, answer)
		}
	}
}

// A region that is cut off from the store and the other region must keep its revision, report it as unconfirmed in
// processes that start meanwhile, and get the latest revision in time after the partition.
func TestPartitionedRegionKeepsItsRevisionAndCatchesUp(t *testing.T) {
	f := startProcesses(t, "e1", "a1")
	storeAddress, storeFault := startRelay(t, f.platform.addr("listen"))
	// The relay needs the entry's link address and the entry the relay's, so the former is reserved first.
	linkAddress := freeAddress(t)
	linkRelay, linkFault := startRelay(t, linkAddress)
	f.entries["e3"] = start(t, "wagtailhoist", "entry", "--id", "e3", "--region", "east", "--centre", "east-a",
		"--store", "http://"+storeAddress, "--token", operatorToken, "--link", linkAddress, "--advertise", linkRelay).ready("link")
	f.agents["a2"] = start(t, "wagtailhoist", "agent", "--id", "a2", "--region", "east", "--centre", "east-a",
		"--minion", f.minion.url("listen"), "--token", operatorToken, "--join", linkAddress).ready("link")
	f.within(startTimeout, "all processes", func() bool { return len(f.status("e1")) == 4 })
	f.inForceEverywhere(f.apply("e1", "before"), 1, "e1", "e3", "a1", "a2")

	storeFault("hold")
	linkFault("hold")
	code, out := f.runCommand("e1", "apply", "--wait", "--limit", "5s", f.writeDeclaration("during"))
	if code != 4 || !strings.Contains(out, "e3 (") || !strings.Contains(out, "a2 (") || strings.Contains(out, "a1 (") {
		t.Errorf("apply --wait during the partition: got exit code %d, want 4 with e3 and a2\n%s", code, out)
	}
	if got := f.ownStatus("e3"); got.Revision != 1 {
		t.Errorf("entry behind the partition: got %+v, want revision 1", got)
	}
	// An agent that starts in the partitioned region reaches neither the store nor the other region.
	f.agents["a2"].kill()
	f.agents["a2"] = start(t, "wagtailhoist", "agent", "--id", "a2", "--region", "east", "--centre", "east-a",
		"--minion", f.minion.url("listen"), "--token", operatorToken, "--join", linkAddress).ready("link")
	f.within(inForceEverywhere, "a2 has revision 1 unconfirmed", func() bool {
		p := f.status("e3")["a2"]
		return p.Revision == 1 && p.Config == "unconfirmed"
	})
	storeFault("clear")
	linkFault("clear")
	f.inForceEverywhere(time.Now(), 2, "e1", "e3", "a1", "a2")
}
