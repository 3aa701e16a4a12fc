package proof

import (
	"strings"
	"testing"
)

// Guards against work that takes the memory of others: a job that exceeds its declaration is stopped with a checkpoint
// when its worker doesn't hold it any more, and not before. The job beside it, which is larger but within its
// declaration, runs on. The size that was observed survives the owner: the job is placed again only where it fits.
func TestWorkBeyondItsMemoryIsStopped(t *testing.T) {
	t.Parallel()
	g := &gangs{t: t, platform: start(t, "stand", "platform", "--centres", "lausanne=1")}
	owner := g.entry("a").ready("link")
	g.applyTeams(owner, "teams: [{name: stock, weight: 1}]\n")
	other := g.entry("b").ready("link")
	ask := func(words string) string {
		out, err := command(t, other, append([]string{"query"}, strings.Fields(words)...)...)
		if err != nil {
			return ""
		}
		return strings.Join(strings.Fields(out), " ")
	}
	// The first calls for usage fail, and some are not answered at all.
	g.fault(map[string]any{"mode": "down", "of": "works", "path": "/usage", "count": 1})
	g.fault(map[string]any{"mode": "silent", "of": "works", "path": "/usage", "count": 1})
	for _, job := range []string{"hog of stock 1x2 memory 10 checkpoint grace 1s", "calm of stock 1x2 memory 200"} {
		eventually(t, gangWait, "a job is submitted", func() bool { return ask("job "+job) != "" })
	}
	eventually(t, gangWait, "both run", func() bool { return g.running("hog.") == 1 && g.running("calm.") == 1 })
	use := func(job string, memory int) {
		post(t, g.platform.url("listen")+"/use", map[string]any{"job": job, "cores": 4, "memory": memory})
	}
	use("calm", 190)
	use("hog", 40)
	eventually(t, gangWait, "the owner shows declared and observed size", func() bool {
		out, _ := command(t, owner, "query", "show", "usage")
		return strings.Contains(strings.Join(strings.Fields(out), " "), "hog stock running 0 cores 10 GB 4 cores 40 GB")
	})
	if got := g.running("hog."); got != 1 {
		t.Errorf("a job beyond its declaration whose worker holds it: got %d tasks running, want 1", got)
	}
	changed := g.clock()
	use("hog", 120)
	eventually(t, gangWait, "the job is stopped", func() bool { return g.running("hog.") == 0 })
	t.Logf("stopped %v after the growth", g.clock()-changed)
	why := "stopped for exceeding its declared memory: used 120 GB, declared 10 GB"
	eventually(t, gangWait, "the reason is shown", func() bool { return strings.Contains(ask("why hog"), why) })
	owner.kill()
	eventually(t, gangWait, "another owner shows the reason", func() bool {
		_, err := command(t, other, "query", "cancel", "nosuch")
		return err != nil && strings.Contains(ask("why hog"), why) && strings.Contains(ask("show usage"), "hog stock queued 0 cores 10 GB 4 cores 120 GB 5 cores 150 GB")
	})
	saved := 0
	for _, e := range g.log() {
		if e.Event == "saved" && strings.HasPrefix(e.Task, "hog.") {
			saved++
		}
		if strings.HasPrefix(e.Task, "calm.") && e.Event != "prepared" && e.Event != "running" {
			t.Errorf("the job within its declaration: got event %+v, want it to run on", e)
		}
		if strings.HasPrefix(e.Task, "hog.2.") {
			t.Errorf("got event %+v, want no placement beside 200 GB", e)
		}
	}
	if saved != 1 {
		t.Errorf("checkpoints of the stopped job: got %d, want 1", saved)
	}
	post(t, g.platform.url("listen")+"/finish", map[string]any{"job": "calm"})
	eventually(t, gangWait, "the job runs again where it fits", func() bool { return g.running("hog.") == 1 })
}
