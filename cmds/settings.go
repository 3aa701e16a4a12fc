package cmds

import (
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"wagtailhoist/platform"
)

// envPrefix begins the environment variable of each setting.
const envPrefix = "WAGTAILHOIST"

// SettingProblem is one wrong setting.
type SettingProblem struct {
	// Setting is the flag, argument or environment variable.
	Setting string
	// Value is what it was set to; secrets are left out.
	Value string
	// Allowed says which values are possible.
	Allowed string
}

// SettingsError lists every wrong setting of a command.
type SettingsError struct{ Problems []SettingProblem }

// Error lists the problems, a line each.
func (e *SettingsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d wrong settings:", len(e.Problems))
	if len(e.Problems) == 1 {
		b.Reset()
		b.WriteString("1 wrong setting:")
	}
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s is %q; allowed: %s", p.Setting, p.Value, p.Allowed)
	}
	return b.String()
}

// checker is a command that checks its settings beyond the types of its flags.
type checker interface{ check(*checks) }

// given is the value of a flag and the setting that it came from.
type given struct{ setting, value string }

// settings resolves the flags of the command that args name.
type settings struct {
	app     *kong.Application
	flags   map[string]*kong.Flag
	shorts  map[string]*kong.Flag
	values  map[string]given
	rest    []string
	command *kong.Node
	checks  checks
}

// parse reads args and the environment, and returns either the parsed command or every
// problem at once. Kong by itself stops at the first problem.
func parse(parser *kong.Kong, args, environ []string) (*kong.Context, error) {
	s := &settings{
		app: parser.Model, flags: map[string]*kong.Flag{}, shorts: map[string]*kong.Flag{},
		values: map[string]given{}, command: parser.Model.Node,
	}
	for _, arg := range args {
		if arg == "-h" || arg == "--help" {
			return parser.Parse(args)
		}
	}
	s.selectCommand(args)
	if s.command.Type == kong.ApplicationNode {
		return parser.Parse(args)
	}
	s.readArgs(args)
	s.readEnviron(environ)
	s.decode()
	ctx, err := parser.Parse(s.rest)
	if err != nil {
		if len(s.checks.problems) == 0 {
			return nil, err
		}
		return nil, s.checks.err()
	}
	if c, ok := ctx.Selected().Target.Addr().Interface().(checker); ok {
		c.check(&s.checks)
	}
	return ctx, s.checks.err()
}

func (s *settings) selectCommand(args []string) {
	s.addFlags(s.command)
	for _, arg := range args {
		for _, child := range s.command.Children {
			if child.Name == arg {
				s.command = child
				s.addFlags(child)
				return
			}
		}
	}
}

func (s *settings) addFlags(node *kong.Node) {
	for _, flag := range node.Flags {
		s.flags[flag.Name] = flag
		if flag.Short != 0 {
			s.shorts[string(flag.Short)] = flag
		}
	}
}

// readArgs takes the flags out of args and leaves the command and its arguments in rest.
func (s *settings) readArgs(args []string) {
	for i := 0; i < len(args); i++ {
		name, value, has := strings.Cut(args[i], "=")
		var flag *kong.Flag
		switch {
		case name == "--":
			s.rest = append(s.rest, args[i:]...)
			return
		case strings.HasPrefix(name, "--"):
			flag = s.flags[name[2:]]
		case len(name) == 2 && name[0] == '-':
			flag = s.shorts[name[1:]]
		default:
			s.rest = append(s.rest, args[i])
			continue
		}
		if flag == nil {
			s.checks.add(name, value, "one of "+s.flagNames())
			if !has && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-") {
				i++
			}
			continue
		}
		if !has && flag.IsBool() {
			value, has = "true", true
		}
		if !has {
			if i+1 == len(args) {
				s.checks.fail(flag.Name, "", "a value: "+allowed(flag.Value))
				continue
			}
			i++
			value = args[i]
		}
		s.give(flag, given{"--" + flag.Name, value})
	}
}

func (s *settings) give(flag *kong.Flag, g given) {
	if old, twice := s.values[flag.Name]; twice && old.value != g.value && !flag.IsSlice() {
		s.checks.fail(flag.Name, shown(flag, old.value+" and "+g.value), "one value")
		return
	}
	if old, twice := s.values[flag.Name]; twice && flag.IsSlice() {
		g.value = old.value + "," + g.value
	}
	s.values[flag.Name] = g
}

func (s *settings) flagNames() string {
	names := make([]string, 0, len(s.flags))
	for name := range s.flags {
		if name != "help" {
			names = append(names, "--"+name)
		}
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// readEnviron takes settings from the environment. A variable of another command's flag is
// allowed, so that one environment can serve all commands.
func (s *settings) readEnviron(environ []string) {
	known := map[string]bool{}
	for _, leaf := range s.app.Leaves(false) {
		for _, flag := range leaf.Flags {
			for _, env := range flag.Envs {
				known[env] = true
			}
		}
	}
	vars := map[string]string{}
	sort.Strings(environ)
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, envPrefix+"_") || name == platform.SettingsVariable {
			continue
		}
		if !known[name] {
			s.checks.add(name, "", "the variables that wagtailhoist "+s.command.Name+" --help lists")
			continue
		}
		vars[name] = value
	}
	for _, flag := range s.flags {
		for _, env := range flag.Envs {
			value, set := vars[env]
			if _, byArg := s.values[flag.Name]; set && !byArg {
				s.values[flag.Name] = given{env, value}
			}
		}
	}
}

// decode checks each value against the type of its flag and passes the good ones on to kong.
func (s *settings) decode() {
	names := make([]string, 0, len(s.flags))
	for name := range s.flags {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		flag := s.flags[name]
		// Values were resolved here, so kong must neither read the variable again nor
		// stop at the first missing flag.
		flag.Tag.Envs = nil
		required := flag.Required
		flag.Required = false
		g, set := s.values[name]
		switch {
		case !set && required && !s.checks.failed(name):
			s.checks.fail(name, "", "a value: "+allowed(flag.Value))
		case set && !s.checks.failed(name):
			if problem := decodeProblem(flag, g.value); problem != "" {
				s.checks.add(g.setting, shown(flag, g.value), problem)
				s.checks.mark(name)
				continue
			}
			s.rest = append(s.rest, "--"+name+"="+g.value)
		}
	}
}

func decodeProblem(flag *kong.Flag, value string) string {
	if flag.Enum != "" && !flag.EnumMap()[value] {
		return allowed(flag.Value)
	}
	target := reflect.New(flag.Target.Type()).Elem()
	token := kong.Token{Type: kong.FlagValueToken, Value: value}
	if err := flag.Parse(kong.ScanFromTokens(token), target); err != nil {
		return allowed(flag.Value)
	}
	return ""
}

// shown hides secrets.
func shown(flag *kong.Flag, value string) string {
	if strings.Contains(flag.Name, "token") {
		return "(hidden)"
	}
	return value
}

// allowed describes the values of a flag's type.
func allowed(v *kong.Value) string {
	if v.Enum != "" {
		return strings.Join(v.EnumSlice(), ", ")
	}
	if v.Target.Type() == reflect.TypeFor[time.Duration]() {
		return "a time such as 500ms or 5s"
	}
	switch v.Target.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint, reflect.Uint64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return strings.TrimSuffix(v.Help, ".")
}

// environ is the environment that commands read; tests replace it.
var environ = os.Environ
