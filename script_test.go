package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wagtailhoist/cmds"
	"wagtailhoist/platform"
	"wagtailhoist/platform/fakes"
	"wagtailhoist/stand/plat"
	"wagtailhoist/stand/serve"
	"wagtailhoist/stand/tasks"
)

// readyTimeout bounds the wait for an entry to become ready, and that of the until command.
const readyTimeout = 15 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wagtailhoist": func() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata/scripts. Each has its own platform at $PLATFORM, its own store of desired states
// at $STORE, and free addresses for the listeners of an entry in $LINK and $ADMIN.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"ready": ready, "until": until, "store": storeDesired},
	})
}

func setup(env *testscript.Env) error {
	workers, err := tasks.ParseWorkers("west/west-a=3", 128, 512, 8)
	if err != nil {
		return err
	}
	platform := plat.New(workers, 0)
	server := httptest.NewServer(platform.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-tick.C:
				platform.Keys.Expire(now)
			}
		}
	}()
	env.Defer(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	env.Setenv("PLATFORM", server.URL)
	desired := &fakes.Store{}
	store := httptest.NewServer(desired)
	env.Defer(store.Close)
	env.Values[desiredStoreKey{}] = desired
	env.Setenv("STORE", store.Listener.Addr().String())
	for _, name := range []string{"LINK", "ADMIN"} {
		addr, release, err := serve.ReserveAddress("127.0.0.1:0")
		if err != nil {
			return err
		}
		env.Defer(release)
		env.Setenv(name, addr)
	}
	env.Setenv("WAGTAILHOIST_TOKEN", "operators")
	return nil
}

// desiredStoreKey is the key of a script's store of desired states.
type desiredStoreKey struct{}

// storeDesired writes a file into the store as the desired state in force.
func storeDesired(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: store file")
	}
	ts.Value(desiredStoreKey{}).(*fakes.Store).Put(platform.DesiredKey, []byte(ts.ReadFile(args[0])))
}

// ready waits until the entry at $LINK is ready.
func ready(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) > 0 {
		ts.Fatalf("usage: ready")
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + ts.Getenv("LINK") + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	ts.Fatalf("the entry is not ready within %v", readyTimeout)
}

// until repeats a command until its output matches a pattern, because changes take effect asynchronously.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until pattern command args...")
	}
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err := ts.Exec(args[1], args[2:]...); err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("no match for %s within %v", pattern, readyTimeout)
}
