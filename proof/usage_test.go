package proof

import (
	"strings"
	"testing"
)

// A job that exceeds its declared memory takes that of other jobs. It has to be checkpointed and stopped once its
// worker has too little memory, and not earlier, while a larger job within its declaration runs on. The next owner has
// to place the stopped job by its observed size, only where that fits.
func TestWorkBeyondItsMemoryIsStopped(t *testing.T) {
	t.Parallel()
	g := &cluster{t: t, platform: start(t, "stand", "platform", "--centres", "lausanne=1")}
	owner := g.entry("a").ready("link")
	g.applyTeams(owner, "teams: [{name: stock, weight: 1}]\n")
	other := g.entry("b").ready("link")
	query := func(words string) string {
		out, err := command(t, other, append([]string{"query"}, strings.Fields(words)...)...)
		if err != nil {
			return ""
		}
		return strings.Join(strings.Fields(out), " ")
	}
	// The first calls for usage fail or are not answered.
	g.fault(map[string]any{"mode": "down", "of": "works", "path": "/usage", "count": 1})
	g.fault(map[string]any{"mode": "silent", "of": "works", "path": "/usage", "count": 1})
	for _, job := range []string{"hog of stock 1x2 memory 10 checkpoint grace 1s", "calm of stock 1x2 memory 200"} {
		eventually(t, eventTimeout, "a job is submitted", func() bool { return query("job "+job) != "" })
	}
	eventually(t, eventTimeout, "both run", func() bool { return g.running("hog.") == 1 && g.running("calm.") == 1 })
	setUsage := func(job string, memory int) {
		post(t, g.platform.url("listen")+"/use", map[string]any{"job": job, "cores": 4, "memory": memory})
	}
	setUsage("calm", 190)
	setUsage("hog", 40)
	eventually(t, eventTimeout, "the owner shows the declared and the observed size", func() bool {
		out, _ := command(t, owner, "query", "show", "usage")
		return strings.Contains(strings.Join(strings.Fields(out), " "), "hog stock running 0 cores 10 GB 4 cores 40 GB")
	})
	if got := g.running("hog."); got != 1 {
		t.Errorf("a job beyond its declared memory on a worker with enough memory: got %d tasks running, want 1", got)
	}
	changed := g.platformTime()
	setUsage("hog", 120)
	eventually(t, eventTimeout, "the job is stopped", func() bool { return g.running("hog.") == 0 })
	t.Logf("stopped %v after the growth", g.platformTime()-changed)
	why := "stopped for exceeding its declared memory: used 120 GB, declared 10 GB"
	eventually(t, eventTimeout, "the reason is shown", func() bool { return strings.Contains(query("why hog"), why) })
	owner.kill()
	eventually(t, eventTimeout, "another owner shows the reason", func() bool {
		_, err := command(t, other, "query", "cancel", "nosuch")
		return err != nil && strings.Contains(query("why hog"), why) &&
			strings.Contains(query("show usage"), "hog stock queued 0 cores 10 GB 4 cores 120 GB 5 cores 150 GB")
	})
	saved := 0
	for _, e := range g.taskLog() {
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
	eventually(t, eventTimeout, "the job runs again where it fits", func() bool { return g.running("hog.") == 1 })
}
