package config

import (
	"regexp"
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameExpected = "1 to 64 letters, digits, dots, underscores and hyphens, the first a letter or digit"

// Validate returns all faults of the whole set, in a fixed order.
func (s Set) Validate() []Problem {
	hasTeam := func(name string) bool { _, ok := s.Teams[name]; return ok }
	hasPipeline := func(name string) bool { _, ok := s.Pipelines[name]; return ok }
	list := s.ValidateStructure(hasTeam)
	for key, t := range s.Teams {
		if key != t.Name {
			list = append(list, keyProblems(Teams, key, t.Name)...)
		}
		list = append(list, ValidateTeam(t, hasPipeline)...)
	}
	list = append(list, s.tokenProblems()...)
	list = append(list, s.shareProblems()...)
	return sortProblems(list)
}

// ValidateStructure returns the faults of the set without its teams, which it knows only by hasTeam.
func (s Set) ValidateStructure(hasTeam func(string) bool) []Problem {
	var list []Problem
	for key, p := range s.Pools {
		list = append(list, keyProblems(Pools, key, p.Name)...)
		list = append(list, poolProblems(p)...)
	}
	for key, st := range s.Stages {
		list = append(list, keyProblems(Stages, key, st.Name)...)
		list = append(list, s.stageProblems(st)...)
	}
	for key, p := range s.Pipelines {
		list = append(list, keyProblems(Pipelines, key, p.Name)...)
		list = append(list, s.pipelineProblems(p)...)
	}
	for key, p := range s.Presets {
		list = append(list, keyProblems(Presets, key, p.Name)...)
		list = append(list, s.presetProblems(p, hasTeam)...)
	}
	if _, ok := s.Presets[s.InForce]; !ok && s.InForce != "" {
		p := problems{ref: InForceRef()}
		p.add("name", "a preset that exists, not %q", s.InForce)
		list = append(list, p.list...)
	}
	return sortProblems(list)
}

func keyProblems(kind Kind, key, name string) []Problem {
	p := problems{ref: Ref{Kind: kind, Name: key}}
	p.need(key == name, "name", "%q, the name it is listed under, not %q", key, name)
	p.need(namePattern.MatchString(name), "name", nameExpected)
	return p.list
}

func poolProblems(s pool.Spec) []Problem {
	p := problems{ref: Ref{Kind: Pools, Name: s.Name}}
	kinds := []pool.Kind{pool.Engine, pool.Stage, pool.Service}
	p.need(slices.Contains(kinds, s.Kind), "kind", "one of %v, not %q", kinds, s.Kind)
	if s.Kind != pool.Engine {
		p.need(!s.ChecksFence, "checksFence", "only on a pool of kind engine")
		p.need(!s.Resumes, "resumes", "only on a pool of kind engine")
		p.need(len(s.Models) == 0, "models", "only on a pool of kind engine")
	}
	p.unique("models", s.Models)
	p.need(!slices.Contains(s.Models, ""), "models", "no empty name")
	p.need(s.MinConcurrency >= 0, "minConcurrency", "0 or more")
	p.need(s.MaxConcurrency >= 0, "maxConcurrency", "0 or more")
	bounded := s.MaxConcurrency > 0
	p.need(!bounded || s.MinConcurrency <= s.MaxConcurrency, "minConcurrency", "not over maxConcurrency")
	p.need(s.SilentMs >= 0, "silentMs", "0 or more")
	return p.list
}

func (s Set) stageProblems(st stage.Spec) []Problem {
	p := problems{ref: Ref{Kind: Stages, Name: st.Name}}
	kinds := []stage.Kind{stage.Encode, stage.Retrieve, stage.Rerank, stage.Generate, stage.Service}
	p.need(slices.Contains(kinds, st.Kind), "kind", "one of %v, not %q", kinds, st.Kind)
	p.need(st.Repeatable != nil, "repeatable", "true or false: whether the stage may run twice")
	p.need(!declaredAction(st) || st.Kind == stage.Service, "repeatable", "true, as only a stage of kind service may be an action")
	p.need(st.Kind == stage.Generate || st.MaxTokens == 0, "maxTokens", "only on a stage of kind generate")
	on, ok := s.Pools[st.Pool]
	if !ok {
		p.add("pool", "a pool that exists, not %q", st.Pool)
		return p.list
	}
	want := poolKind(st.Kind)
	p.need(want == "" || on.Kind == want, "pool", "a pool of kind %s, but %q is of kind %s", want, st.Pool, on.Kind)
	if st.Kind == stage.Generate {
		p.need(st.Model != "", "model", "the model to generate with")
		known := len(on.Models) == 0 || slices.Contains(on.Models, st.Model)
		p.need(known, "model", "one of the models of pool %q, not %q", st.Pool, st.Model)
	}
	return p.list
}

// declaredAction is like stage.Spec.IsAction, but false where repeatability is not said, which is a problem by itself.
func declaredAction(st stage.Spec) bool { return st.Repeatable != nil && !*st.Repeatable }

func poolKind(k stage.Kind) pool.Kind {
	switch k {
	case stage.Generate:
		return pool.Engine
	case stage.Service:
		return pool.Service
	case stage.Encode, stage.Retrieve, stage.Rerank:
		return pool.Stage
	}
	return ""
}

func (s Set) pipelineProblems(line pipe.Spec) []Problem {
	p := problems{ref: Ref{Kind: Pipelines, Name: line.Name}}
	p.need(len(line.Stages) > 0, "stages", "at least one stage")
	p.unique("stages", line.Stages)
	actions := 0
	for _, name := range line.Stages {
		st, ok := s.Stages[name]
		p.need(ok, "stages", "a stage that exists, not %q", name)
		if ok && declaredAction(st) {
			actions++
		}
	}
	p.need(actions <= 1, "stages", "at most one stage that is not repeatable, as a request has one key, not %d", actions)
	p.need(line.DeadlineMs > 0, "deadlineMs", "a deadline over 0 ms")
	classes := []pipe.SizeClass{"", pipe.Short, pipe.Long}
	p.need(slices.Contains(classes, line.SizeClass), "sizeClass", "short or long, not %q", line.SizeClass)
	p.need(line.MaxBodyBytes >= 0, "maxBodyBytes", "0 or more")
	p.unique("optional", line.Optional)
	for _, name := range line.Optional {
		p.need(slices.Contains(line.Stages, name), "optional", "a stage of the pipeline, not %q", name)
		p.need(!declaredAction(s.Stages[name]), "optional", "only repeatable stages, not the action %q", name)
	}
	return p.list
}

func (s Set) presetProblems(spec preset.Spec, hasTeam func(string) bool) []Problem {
	p := problems{ref: Ref{Kind: Presets, Name: spec.Name}}
	for name := range s.Pipelines {
		_, ok := spec.Pipelines[name]
		p.need(ok, "pipelines", "a line for pipeline %q", name)
	}
	for name, line := range spec.Pipelines {
		s.lineProblems(&p, name, line)
	}
	for name, share := range spec.Shares {
		p.need(hasTeam(name), "shares", "a team that exists, not %q", name)
		p.need(fraction(share), "shares."+name, "between 0 and 1")
	}
	p.need(spec.RatePerSecond >= 0, "ratePerSecond", "0 or more")
	p.need(fraction(spec.HedgeBudget), "hedgeBudget", "between 0 and 1")
	p.need(fraction(spec.RetryBudget), "retryBudget", "between 0 and 1")
	p.need(fraction(spec.SpillCap), "spillCap", "between 0 and 1")
	p.unique("maintenanceZones", spec.MaintenanceZones)
	for _, zone := range spec.MaintenanceZones {
		p.need(namePattern.MatchString(zone), "maintenanceZones", "names of availability zones, not %q: %s", zone, nameExpected)
	}
	for model, n := range spec.Runners {
		p.need(s.servesModel(model), "runners", "models of a pool of kind engine, not %q", model)
		p.need(n >= 0, "runners."+model, "0 or more")
	}
	return p.list
}

func (s Set) lineProblems(p *problems, name string, line preset.PipelineSettings) {
	field := "pipelines." + name
	on, ok := s.Pipelines[name]
	if !ok {
		p.add(field, "a pipeline that exists")
		return
	}
	p.need(line.Weight >= 0, field+".weight", "0 or more")
	p.unique(field+".skip", line.Skip)
	for _, st := range line.Skip {
		p.need(slices.Contains(on.Optional, st), field+".skip", "optional stages of the pipeline, not %q", st)
	}
	p.need(len(line.Skip) < len(on.Stages) || len(on.Stages) == 0, field+".skip", "at least one stage left to run")
}

func (s Set) servesModel(model string) bool {
	for _, p := range s.Pools {
		if p.Kind == pool.Engine && slices.Contains(p.Models, model) {
			return true
		}
	}
	return false
}

// ValidateTeam returns the faults of one team by itself.
func ValidateTeam(t team.Spec, hasPipeline func(string) bool) []Problem {
	p := problems{ref: Ref{Kind: Teams, Name: t.Name}}
	p.need(namePattern.MatchString(t.Name), "name", nameExpected)
	p.need(digestPattern.MatchString(t.TokenDigest), "tokenDigest", "the SHA-256 of the token as 64 lower-case hex digits")
	p.need(fraction(t.Share), "share", "between 0 and 1")
	p.need(t.RatePerSecond >= 0, "ratePerSecond", "0 or more")
	p.need(t.Weight >= 0, "weight", "0 or more")
	p.unique("pipelines", t.Pipelines)
	for _, name := range t.Pipelines {
		p.need(hasPipeline(name), "pipelines", "a pipeline that exists, not %q", name)
	}
	return p.list
}

func (s Set) tokenProblems() []Problem {
	owners := map[string]string{}
	var list []Problem
	for _, name := range sortedNames(s.Teams) {
		digest := s.Teams[name].TokenDigest
		if owner, ok := owners[digest]; ok {
			list = append(list, TokenProblem(name, owner))
			continue
		}
		owners[digest] = name
	}
	return list
}

// TokenProblem is the fault of a team whose token is that of another.
func TokenProblem(name, owner string) Problem {
	return Problem{
		Object:   Ref{Kind: Teams, Name: name}.String(),
		Field:    "tokenDigest",
		Expected: "a token of its own, not that of team " + owner,
	}
}

func (s Set) shareProblems() []Problem {
	var list []Problem
	if total := s.ShareTotal(""); total > FullShare {
		list = append(list, ShareProblem("", total))
	}
	for name := range s.Presets {
		if total := s.ShareTotal(name); total > FullShare {
			list = append(list, ShareProblem(name, total))
		}
	}
	return list
}

func fraction(f float64) bool { return f >= 0 && f <= 1 }
