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

// namePattern matches identifiers of nodes, regions, data centres and services. They become parts of
// store keys and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// validator collects the invalid settings of a command. Each of its methods validates one flag; the
// first problem of a flag is reported, later ones are ignored.
type validator struct {
	problems    []SettingProblem
	failedFlags map[string]bool
}

// err returns a SettingsError with the problems found so far, or nil.
func (c *validator) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &SettingsError{Problems: c.problems}
}

func (c *validator) addProblem(setting, value, allowed string) {
	c.problems = append(c.problems, SettingProblem{Setting: setting, Value: value, Allowed: allowed})
}

func (c *validator) markFailed(flag string) {
	if c.failedFlags == nil {
		c.failedFlags = map[string]bool{}
	}
	c.failedFlags[flag] = true
}

func (c *validator) hasFailed(flag string) bool { return c.failedFlags[flag] }

// failFlag adds a problem of a flag unless the flag has one already.
func (c *validator) failFlag(flag, value, allowed string) {
	if c.hasFailed(flag) {
		return
	}
	c.markFailed(flag)
	c.addProblem("--"+flag, value, allowed)
}

// name validates an identifier.
func (c *validator) name(flag, value string) {
	if !namePattern.MatchString(value) {
		c.failFlag(flag, value, "1 to 63 characters of a-z, 0-9, - and ., with a letter or digit at both ends")
	}
}

// listen validates an address to listen on; port 0 stands for any free port. Other processes dial the
// address, so the host has to be an IP address that they can reach.
func (c *validator) listen(flag, value string) {
	if !validAddress(value, 0) {
		c.failFlag(flag, value, "IP:port, port 0 for a free one")
		return
	}
	host, _, _ := net.SplitHostPort(value)
	if net.ParseIP(host).IsUnspecified() {
		c.failFlag(flag, value, "the IP address that other processes reach, not the unspecified one")
	}
}

// distinct validates that no two listeners have the same address. Its arguments alternate between flag and value.
func (c *validator) distinct(flagsAndValues ...string) {
	seen := map[string]string{}
	for i := 0; i+1 < len(flagsAndValues); i += 2 {
		flag, value := flagsAndValues[i], flagsAndValues[i+1]
		if value == "" || strings.HasSuffix(value, ":0") {
			continue
		}
		if other, duplicate := seen[value]; duplicate {
			c.failFlag(flag, value, "an address other than that of --"+other)
		}
		seen[value] = flag
	}
}

// join validates addresses of other processes.
func (c *validator) join(flag string, values []string) {
	for _, value := range values {
		if !validAddress(value, 1) {
			c.failFlag(flag, strings.Join(values, ","), "IP:port, separated by commas")
		}
	}
}

// validAddress reports whether value is IP:port with a port from minPort.
func validAddress(value string, minPort int) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= minPort && n <= 65535
}

// url validates the base URL of an HTTP service.
func (c *validator) url(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.failFlag(flag, value, "http://host:port")
	}
}

// token validates a shared secret without showing its value.
func (c *validator) token(flag, value string) {
	if value == "" || strings.ContainsFunc(value, unicode.IsSpace) {
		c.failFlag(flag, "(hidden)", "at least one character, and no spaces")
	}
}

// count validates that a number is from low to high.
func (c *validator) count(flag string, value, low, high int) {
	if value < low || value > high {
		c.failFlag(flag, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

// duration validates that a duration is from low to high.
func (c *validator) duration(flag string, value, low, high time.Duration) {
	if value < low || value > high {
		c.failFlag(flag, value.String(), fmt.Sprintf("%v to %v", low, high))
	}
}

// nodeFlags are the settings that all long-running processes share.
type nodeFlags struct {
	ID     string   `help:"Name of this process, unique among all processes." required:""`
	Region string   `help:"Region of this process." required:""`
	Centre string   `help:"Data centre of this process." required:""`
	Join   []string `help:"IP:port of the link listeners of entries to join, separated by commas."`
	Token  string   `help:"Secret that the system's processes share." required:""`
	Level  string   `help:"Lowest level of log lines." enum:"debug,info,warn,error" default:"info"`
}

// validate validates the shared settings.
func (f *nodeFlags) validate(c *validator) {
	c.name("id", f.ID)
	c.name("region", f.Region)
	c.name("centre", f.Centre)
	c.join("join", f.Join)
	c.token("token", f.Token)
}
