package decl

import (
	"fmt"
	"regexp"
	"time"

	"wagtailhoist/core/model"
)

// Limits of declared values.
const (
	maxTeams      = 2000 // five times the target size of 380
	maxGuarantees = 64   // per team
	maxTasks      = 64   // per gang
	maxGPUs       = 64   // per task; current workers have 8
	maxCores      = 1024
	maxMemoryGB   = 1 << 14 // gigabytes
	maxWeight     = 1000
	maxQuota      = 1 << 20
	maxEvacuated  = 1000
	minGrace      = 100 * time.Millisecond // covers several control intervals
	maxGrace      = time.Hour
)

// namePattern matches the names of teams, guarantees, jobs and data centres. The query language and metric labels accept these
// characters without quotes.
var namePattern = regexp.MustCompile(`^[a-z]([a-z0-9_-]{0,46}[a-z0-9])?$`)

// nameRule describes namePattern in error messages.
const nameRule = "1 to 48 characters of a-z, 0-9, - and _, beginning with a letter and ending with a letter or digit"

// ValidName reports whether a team, guarantee or job may have the name.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Check validates the values of d and returns the problems found, up to maxProblems, without positions.
func Check(d model.Declaration) []Problem {
	var c checker
	if c.negativeOrNaN(d.Policy.Compact) || d.Policy.Compact > 1 {
		c.add("policy.compact", "%v is out of range; expected 0 to 1", d.Policy.Compact)
	}
	if len(d.Teams) > maxTeams {
		c.add("teams", "%d teams; expected at most %d", len(d.Teams), maxTeams)
	}
	seen := map[model.Team]int{}
	for i, team := range d.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if first, duplicate := seen[team.Name]; duplicate {
			c.add(path+".name", "the name %q is taken by teams[%d]", team.Name, first)
		} else {
			seen[team.Name] = i
		}
		c.team(path, team)
	}
	c.evacuate(d.Evacuate)
	return c.problems
}

// CheckJob validates a job and returns the problems found, without positions.
func CheckJob(job model.JobSpec) []Problem {
	var c checker
	c.name("id", string(job.ID))
	c.name("team", string(job.Team))
	if job.Class != "" {
		c.name("class", job.Class)
	}
	c.shape("shape", job.Shape)
	if job.Estimate < 0 {
		c.add("estimate", "%v is negative", job.Estimate)
	}
	if job.Grace < 0 || job.Grace > maxGrace {
		c.add("grace", "%v is out of range; expected 0s to %v", job.Grace, maxGrace)
	}
	return c.problems
}

// checker collects the problems of the values that it validates.
type checker struct{ problems []Problem }

// add records a problem unless maxProblems are recorded already.
func (c *checker) add(path, format string, args ...any) {
	if len(c.problems) >= maxProblems {
		return
	}
	c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// negativeOrNaN reports whether v is below 0 or NaN, which compares false with every number.
func (c *checker) negativeOrNaN(v float64) bool { return !(v >= 0) }

// name checks a name against namePattern.
func (c *checker) name(path, name string) {
	if !ValidName(name) {
		c.add(path, "%q is not a name; expected %s", name, nameRule)
	}
}

// between checks that v is within low and high, both included.
func (c *checker) between(path string, v, low, high int) {
	if v < low || v > high {
		c.add(path, "%d is out of range; expected %d to %d", v, low, high)
	}
}

func (c *checker) team(path string, team model.TeamSpec) {
	c.name(path+".name", string(team.Name))
	c.between(path+".weight", team.Weight, 1, maxWeight)
	c.between(path+".quota", team.Quota, 0, maxQuota)
	if len(team.Guarantees) > maxGuarantees {
		c.add(path+".guarantees", "%d guarantees; expected at most %d", len(team.Guarantees), maxGuarantees)
	}
	seen := map[string]int{}
	size := 0
	for i, g := range team.Guarantees {
		guaranteePath := fmt.Sprintf("%s.guarantees[%d]", path, i)
		if first, duplicate := seen[g.Name]; duplicate {
			c.add(guaranteePath+".name", "the name %q is taken by guarantees[%d] of the team", g.Name, first)
		} else {
			seen[g.Name] = i
		}
		c.guarantee(guaranteePath, g)
		size += min(g.Shape.Size(), maxQuota)
	}
	if team.Quota > 0 && size > team.Quota {
		c.add(path+".quota", "%d is below the %d accelerators of the team's guarantees", team.Quota, size)
	}
}

// evacuate checks the evacuated data centres. One that is listed twice is no problem, because the list is a set.
func (c *checker) evacuate(centres []model.Centre) {
	if len(centres) > maxEvacuated {
		c.add("evacuate", "%d data centres; expected at most %d", len(centres), maxEvacuated)
	}
	for i, centre := range centres {
		c.name(fmt.Sprintf("evacuate[%d]", i), string(centre))
	}
}

func (c *checker) guarantee(path string, g model.Guarantee) {
	c.name(path+".name", g.Name)
	if g.Centre != "" {
		c.name(path+".centre", string(g.Centre))
	}
	if g.Grace < minGrace || g.Grace > maxGrace {
		c.add(path+".grace", "%v is out of range; expected %v to %v", g.Grace, minGrace, maxGrace)
	}
	c.shape(path+".shape", g.Shape)
	if g.Shape.GPUs < 1 {
		c.add(path+".shape.gpus", "a guarantee needs accelerators; expected 1 to %d", maxGPUs)
	}
}

func (c *checker) shape(path string, s model.Shape) {
	c.between(path+".tasks", s.Tasks, 1, maxTasks)
	c.between(path+".gpus", s.GPUs, 0, maxGPUs)
	c.between(path+".cores", s.Cores, 0, maxCores)
	c.between(path+".memory", s.Memory, 0, maxMemoryGB)
	switch s.Adjacent {
	case model.SameCentre, model.SameRack, model.SameWorker:
	default:
		c.add(path+".adjacent", "%q is unknown; expected %s or %s", s.Adjacent, model.SameRack, model.SameWorker)
	}
}
