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

// envPrefix is the prefix of the environment variables of all settings.
const envPrefix = "WAGTAILHOIST"

// SettingProblem describes an invalid setting.
type SettingProblem struct {
	// Setting is the name of the flag, argument or environment variable.
	Setting string
	// Value is the invalid value; secrets are hidden.
	Value string
	// Allowed describes the valid values.
	Allowed string
}

// SettingsError lists all invalid settings of a command.
type SettingsError struct{ Problems []SettingProblem }

// Error returns a headline and a line for each problem.
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

// validatable is a command that validates its settings beyond the types of its flags.
type validatable interface{ validate(*validator) }

// flagValue is the value of a flag and the flag or environment variable that set it.
type flagValue struct{ setting, value string }

// settings resolves the flags of the selected command from the arguments and the environment.
type settings struct {
	app       *kong.Application
	flags     map[string]*kong.Flag
	shorts    map[string]*kong.Flag
	values    map[string]flagValue
	remaining []string
	command   *kong.Node
	validator validator
}

// parse reads args and the environment, and returns either the parsed command or a SettingsError with
// all problems. Kong alone would stop at the first problem.
func parse(parser *kong.Kong, args, environ []string) (*kong.Context, error) {
	s := &settings{
		app: parser.Model, flags: map[string]*kong.Flag{}, shorts: map[string]*kong.Flag{},
		values: map[string]flagValue{}, command: parser.Model.Node,
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
	ctx, err := parser.Parse(s.remaining)
	if err != nil {
		if len(s.validator.problems) == 0 {
			return nil, err
		}
		return nil, s.validator.err()
	}
	if c, ok := ctx.Selected().Target.Addr().Interface().(validatable); ok {
		c.validate(&s.validator)
	}
	return ctx, s.validator.err()
}

// selectCommand finds the command in args and collects its flags and those of the application.
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

// readArgs collects the values of flags in args; the command and its arguments go to s.remaining.
func (s *settings) readArgs(args []string) {
	for i := 0; i < len(args); i++ {
		name, value, hasValue := strings.Cut(args[i], "=")
		var flag *kong.Flag
		switch {
		case name == "--":
			s.remaining = append(s.remaining, args[i:]...)
			return
		case strings.HasPrefix(name, "--"):
			flag = s.flags[name[2:]]
		case len(name) == 2 && name[0] == '-':
			flag = s.shorts[name[1:]]
		default:
			s.remaining = append(s.remaining, args[i])
			continue
		}
		if flag == nil {
			s.validator.addProblem(name, value, "one of "+s.flagNames())
			if !hasValue && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-") {
				i++
			}
			continue
		}
		if !hasValue && flag.IsBool() {
			value, hasValue = "true", true
		}
		if !hasValue {
			if i+1 == len(args) {
				s.validator.failFlag(flag.Name, "", "a value: "+describeValues(flag.Value))
				continue
			}
			i++
			value = args[i]
		}
		s.setValue(flag, flagValue{"--" + flag.Name, value})
	}
}

// setValue records the value of a flag. Repeated values of a list are joined; a repeated flag that is not a list must
// have the same value.
func (s *settings) setValue(flag *kong.Flag, g flagValue) {
	if old, repeated := s.values[flag.Name]; repeated && old.value != g.value && !flag.IsSlice() {
		s.validator.failFlag(flag.Name, redact(flag, old.value+" and "+g.value), "one value")
		return
	}
	if old, repeated := s.values[flag.Name]; repeated && flag.IsSlice() {
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

// readEnviron collects the values of flags that args don't set from the environment. Variables of other
// commands' flags are accepted, so that all commands can share one environment.
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
			s.validator.addProblem(name, "", "the variables that wagtailhoist "+s.command.Name+" --help lists")
			continue
		}
		vars[name] = value
	}
	for _, flag := range s.flags {
		for _, env := range flag.Envs {
			value, set := vars[env]
			if _, byArg := s.values[flag.Name]; set && !byArg {
				s.values[flag.Name] = flagValue{env, value}
			}
		}
	}
}

// decode validates each value against the type of its flag and appends the valid ones to the arguments for kong.
func (s *settings) decode() {
	names := make([]string, 0, len(s.flags))
	for name := range s.flags {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		flag := s.flags[name]
		// The values are resolved and missing flags are reported here, so kong must neither read the
		// environment again nor stop at the first missing flag.
		flag.Tag.Envs = nil
		required := flag.Required
		flag.Required = false
		g, set := s.values[name]
		switch {
		case !set && required && !s.validator.hasFailed(name):
			s.validator.failFlag(name, "", "a value: "+describeValues(flag.Value))
		case set && !s.validator.hasFailed(name):
			if problem := decodeProblem(flag, g.value); problem != "" {
				s.validator.addProblem(g.setting, redact(flag, g.value), problem)
				s.validator.markFailed(name)
				continue
			}
			s.remaining = append(s.remaining, "--"+name+"="+g.value)
		}
	}
}

// decodeProblem returns a description of the valid values if value is invalid for the flag, and otherwise "".
func decodeProblem(flag *kong.Flag, value string) string {
	if flag.Enum != "" && !flag.EnumMap()[value] {
		return describeValues(flag.Value)
	}
	target := reflect.New(flag.Target.Type()).Elem()
	token := kong.Token{Type: kong.FlagValueToken, Value: value}
	if err := flag.Parse(kong.ScanFromTokens(token), target); err != nil {
		return describeValues(flag.Value)
	}
	return ""
}

// redact returns the value, or a placeholder for a secret.
func redact(flag *kong.Flag, value string) string {
	if strings.Contains(flag.Name, "token") {
		return "(hidden)"
	}
	return value
}

// describeValues describes the valid values of a flag by its type.
func describeValues(v *kong.Value) string {
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

// environ returns the environment variables; tests replace it.
var environ = os.Environ
