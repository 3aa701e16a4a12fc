package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Agents announce themselves only in their own region, so an entry knows agents of another region through that region's
// entries and has to send them requests. They must stop being candidates when no entry of their region is known to be
// alive, or when one reports the agent as lost.
func TestOtherRegionIsReached(t *testing.T) {
	t.Parallel()
	onceFleetSlots <- struct{}{}
	defer func() { <-onceFleetSlots }()
	platform, minion := start(t, "stand", "platform"), start(t, "stand", "minion")
	entry := func(id, region, links string) *process {
		return start(t, "wagtailhoist", "entry", "--id", id, "--region", region, "--centre", region+"-1",
			"--link", links, "--token", "t", "--store", platform.url("listen"), "--drain", "100ms")
	}
	west, east := entry("e1", "ch-west", freeAddress(t)), entry("e2", "ch-east", freeAddress(t))
	agent := func() *process {
		return start(t, "wagtailhoist", "agent", "--id", "m1", "--region", "ch-east", "--centre", "ch-east-1",
			"--minion", minion.url("listen"), "--join", east.addr("link"), "--token", "t")
	}
	m := agent()
	n := 0
	outcome := func() string {
		n++
		return sendKeyed(west.url("listen"), fmt.Sprint("far-", n), "0s", 2*time.Second)
	}
	within := func(limit time.Duration, what, want string) {
		t.Helper()
		begin := time.Now()
		eventually(t, limit, what, func() bool { return outcome() == want })
		t.Logf("%s: %v", what, time.Since(begin).Round(10*time.Millisecond))
	}
	within(15*time.Second, "the western entry answers through the eastern agent", "answered")
	// Entries of other regions don't get the agent's load; the agent has to stay a candidate without it.
	for range 10 {
		time.Sleep(500 * time.Millisecond)
		if got := outcome(); got != "answered" {
			t.Fatalf("request to the other region at rest: got %q, want answered", got)
		}
	}
	m.kill()
	within(10*time.Second, "requests are refused after the agent is killed", "not-run")
	m = agent()
	within(15*time.Second, "the replaced agent gets requests", "answered")
	east.kill()
	time.Sleep(7 * time.Second)
	if got := outcome(); got != "not-run" {
		t.Errorf("request after the only entry of the other region was killed: got %q, want not-run", got)
	}
	east = entry("e2", "ch-east", east.addr("link"))
	within(20*time.Second, "requests are answered after the entry of the other region was replaced", "answered")
	if code, body := post(t, west.url("listen")+"/price", "unkeyed"); code != http.StatusOK {
		t.Errorf("unkeyed request: status %d: %s", code, body)
	}
	m.stop()
	within(5*time.Second, "an agent that stopped gets no work", "not-run")
}
