package cmds

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// names are what identifiers of nodes, regions and data centres look like. They become
// parts of store keys and of metric labels.
var names = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checks collects the problems of settings. Each method checks one flag and reports
// at most one problem for it.
type checks struct {
	problems []SettingProblem
	marked   map[string]bool
}

func (c *checks) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &SettingsError{Problems: c.problems}
}

func (c *checks) add(setting, value, allowed string) {
	c.problems = append(c.problems, SettingProblem{Setting: setting, Value: value, Allowed: allowed})
}

func (c *checks) mark(flag string) {
	if c.marked == nil {
		c.marked = map[string]bool{}
	}
	c.marked[flag] = true
}

func (c *checks) failed(flag string) bool { return c.marked[flag] }

// fail reports a problem of a flag unless one is known already.
func (c *checks) fail(flag, value, allowed string) {
	if c.failed(flag) {
		return
	}
	c.mark(flag)
	c.add("--"+flag, value, allowed)
}

// name checks an identifier.
func (c *checks) name(flag, value string) {
	if !names.MatchString(value) {
		c.fail(flag, value, "1 to 63 characters of a-z, 0-9, - and ., with a letter or digit at both ends")
	}
}

// listen checks an address to listen on; port 0 takes a free port. A process announces the
// address, so the host has to be an IP address that others reach.
func (c *checks) listen(flag, value string) {
	if !address(value, 0) {
		c.fail(flag, value, "IP:port, port 0 for a free one")
		return
	}
	host, _, _ := net.SplitHostPort(value)
	if net.ParseIP(host).IsUnspecified() {
		c.fail(flag, value, "the IP address that other processes reach, not the unspecified one")
	}
}

// distinct checks that listeners don't claim the same address. The flags alternate with values.
func (c *checks) distinct(flagsAndValues ...string) {
	seen := map[string]string{}
	for i := 0; i+1 < len(flagsAndValues); i += 2 {
		flag, value := flagsAndValues[i], flagsAndValues[i+1]
		if value == "" || strings.HasSuffix(value, ":0") {
			continue
		}
		if other, taken := seen[value]; taken {
			c.fail(flag, value, "an address other than that of --"+other)
		}
		seen[value] = flag
	}
}

// join checks addresses of other processes.
func (c *checks) join(flag string, values []string) {
	for _, value := range values {
		if !address(value, 1) {
			c.fail(flag, strings.Join(values, ","), "IP:port, separated by commas")
		}
	}
}

func address(value string, minPort int) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= minPort && n <= 65535
}

// url checks the root of an HTTP service.
func (c *checks) url(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.fail(flag, value, "http://host:port")
	}
}

// token checks a shared secret; its value is never shown.
func (c *checks) token(flag, value string) {
	if value == "" || strings.ContainsFunc(value, unicode.IsSpace) {
		c.fail(flag, "(hidden)", "at least one character, and no spaces")
	}
}

// count checks a whole number with bounds.
func (c *checks) count(flag string, value, low, high int) {
	if value < low || value > high {
		c.fail(flag, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

// duration checks a time with bounds.
func (c *checks) duration(flag string, value, low, high time.Duration) {
	if value < low || value > high {
		c.fail(flag, value.String(), fmt.Sprintf("%v to %v", low, high))
	}
}

// nodeFlags are the settings that entries and agents share.
type nodeFlags struct {
	ID     string   `help:"Name of this process, unique in the system." required:""`
	Region string   `help:"Region of this process." required:""`
	Centre string   `help:"Data centre of this process." required:""`
	Join   []string `help:"IP:port of the link listeners of entries to join, separated by commas."`
	Token  string   `help:"Secret that the system's processes share." required:""`
	Level  string   `help:"Lowest level of log lines." enum:"debug,info,warn,error" default:"info"`
}

// check checks the shared settings.
func (f *nodeFlags) check(c *checks) {
	c.name("id", f.ID)
	c.name("region", f.Region)
	c.name("centre", f.Centre)
	c.join("join", f.Join)
	c.token("token", f.Token)
}
