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
	// Path identifies the value by the names of its team and guarantee, for example teams.brennholz.weight.
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

// Diff returns the differences from old to new, ordered by path. It ignores the order of teams and guarantees, and the order
// and the number of occurrences of evacuated data centres.
func Diff(old, new model.Declaration) []Change {
	before, after := flatten(old), flatten(new)
	var changes []Change
	for path, value := range before {
		if after[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: after[path]})
		}
	}
	for path, value := range after {
		if _, existed := before[path]; !existed {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

// flatten returns the text of each value that is set, keyed by its path.
func flatten(d model.Declaration) map[string]string {
	out := map[string]string{"policy.compact": fmt.Sprint(d.Policy.Compact)}
	for _, centre := range d.Evacuate {
		out["evacuate."+string(centre)] = "true"
	}
	for _, team := range d.Teams {
		path := "teams." + string(team.Name)
		out[path+".weight"] = fmt.Sprint(team.Weight)
		if team.Quota != 0 {
			out[path+".quota"] = fmt.Sprint(team.Quota)
		}
		for _, g := range team.Guarantees {
			guaranteePath := path + ".guarantees." + g.Name
			out[guaranteePath+".shape"] = FormatShape(g.Shape)
			out[guaranteePath+".grace"] = g.Grace.String()
			if g.Centre != "" {
				out[guaranteePath+".centre"] = string(g.Centre)
			}
		}
	}
	return out
}

// FormatShape formats a shape in the syntax of the query language.
func FormatShape(s model.Shape) string {
	text := fmt.Sprintf("%dx%d", s.Tasks, s.GPUs)
	if s.Cores != 0 {
		text += fmt.Sprintf(" cores %d", s.Cores)
	}
	if s.Memory != 0 {
		text += fmt.Sprintf(" memory %d", s.Memory)
	}
	if s.Adjacent != model.SameCentre {
		text += " adjacent " + string(s.Adjacent)
	}
	return text
}

// Format returns d as a YAML document. It fails if Parse would not read an equal declaration from the document.
func Format(d model.Declaration) ([]byte, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("formatting the declaration: %w", err)
	}
	reparsed, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if len(Diff(d, reparsed)) > 0 || !reflect.DeepEqual(d.Policy, reparsed.Policy) {
		return nil, fmt.Errorf("formatting the declaration: it differs after being written as YAML and parsed again")
	}
	return data, nil
}
