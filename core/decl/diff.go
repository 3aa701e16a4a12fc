package decl

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"wagtailhoist/core/model"
)

// Change is one difference between two declarations.
type Change struct {
	// Path names the value by the names of team and guarantee, for example teams.brennholz.weight.
	Path string `json:"path"`
	// Old and New are empty where the value does not exist.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change with + for added, - for removed and ~ for changed values.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences from old to new, ordered by path. The order of teams and of
// guarantees does not count.
func Diff(old, new model.Declaration) []Change {
	before, after := flatten(old), flatten(new)
	var changes []Change
	for path, value := range before {
		if after[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: after[path]})
		}
	}
	for path, value := range after {
		if _, there := before[path]; !there {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

// flatten maps the path of each value that is set to its text.
func flatten(d model.Declaration) map[string]string {
	out := map[string]string{"policy.compact": fmt.Sprint(d.Policy.Compact)}
	for _, team := range d.Teams {
		path := "teams." + string(team.Name)
		out[path+".weight"] = fmt.Sprint(team.Weight)
		if team.Quota != 0 {
			out[path+".quota"] = fmt.Sprint(team.Quota)
		}
		for _, g := range team.Guarantees {
			at := path + ".guarantees." + g.Name
			out[at+".shape"] = Shape(g.Shape)
			out[at+".grace"] = g.Grace.String()
			if g.Centre != "" {
				out[at+".centre"] = string(g.Centre)
			}
		}
	}
	return out
}

// Shape formats a shape in the words of the query language.
func Shape(s model.Shape) string {
	text := fmt.Sprintf("%dx%d", s.Tasks, s.GPUs)
	if s.Cores != 0 {
		text += fmt.Sprintf(" cores %d", s.Cores)
	}
	if s.Memory != 0 {
		text += fmt.Sprintf(" memory %d", s.Memory)
	}
	if s.Adjacent != model.AnyPlace {
		text += " adjacent " + string(s.Adjacent)
	}
	return text
}

// Format writes d as a YAML document that Parse reads back to an equal declaration.
func Format(d model.Declaration) ([]byte, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("formatting the declaration: %w", err)
	}
	back, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if len(Diff(d, back)) > 0 || !reflect.DeepEqual(d.Policy, back.Policy) {
		return nil, fmt.Errorf("the declaration changes when it is written as YAML")
	}
	return data, nil
}
