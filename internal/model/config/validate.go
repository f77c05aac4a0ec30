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

// Validate returns all problems of the set, in a deterministic order.
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

// ValidateStructure returns the problems of everything but the teams, whose names it checks with hasTeam.
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

// keyProblems returns the problems of an object's name and of the key that the set lists it under.
func keyProblems(kind Kind, key, name string) []Problem {
	p := problems{ref: Ref{Kind: kind, Name: key}}
	p.require(key == name, "name", "%q, the name it is listed under, not %q", key, name)
	p.require(namePattern.MatchString(name), "name", nameExpected)
	return p.list
}

func poolProblems(s pool.Spec) []Problem {
	p := problems{ref: Ref{Kind: Pools, Name: s.Name}}
	kinds := []pool.Kind{pool.Engine, pool.Stage, pool.Service}
	p.require(slices.Contains(kinds, s.Kind), "kind", "one of %v, not %q", kinds, s.Kind)
	if s.Kind != pool.Engine {
		p.require(!s.ChecksFence, "checksFence", "only on a pool of kind engine")
		p.require(!s.Resumes, "resumes", "only on a pool of kind engine")
		p.require(len(s.Models) == 0, "models", "only on a pool of kind engine")
	}
	p.requireUnique("models", s.Models)
	p.require(!slices.Contains(s.Models, ""), "models", "no empty name")
	p.require(s.MinConcurrency >= 0, "minConcurrency", "0 or more")
	p.require(s.MaxConcurrency >= 0, "maxConcurrency", "0 or more")
	bounded := s.MaxConcurrency > 0
	p.require(!bounded || s.MinConcurrency <= s.MaxConcurrency, "minConcurrency", "not over maxConcurrency")
	p.require(s.SilentMs >= 0, "silentMs", "0 or more")
	return p.list
}

func (s Set) stageProblems(st stage.Spec) []Problem {
	p := problems{ref: Ref{Kind: Stages, Name: st.Name}}
	kinds := []stage.Kind{stage.Encode, stage.Retrieve, stage.Rerank, stage.Generate, stage.Service}
	p.require(slices.Contains(kinds, st.Kind), "kind", "one of %v, not %q", kinds, st.Kind)
	p.require(st.Repeatable != nil, "repeatable", "true or false: whether the stage may run twice")
	p.require(!declaredAction(st) || st.Kind == stage.Service, "repeatable",
		"true, as only a stage of kind service may be an action")
	p.require(st.Kind == stage.Generate || st.MaxTokens == 0, "maxTokens", "only on a stage of kind generate")
	targetPool, ok := s.Pools[st.Pool]
	if !ok {
		p.add("pool", "a pool that exists, not %q", st.Pool)
		return p.list
	}
	want := poolKind(st.Kind)
	p.require(want == "" || targetPool.Kind == want, "pool", "a pool of kind %s, but %q is of kind %s",
		want, st.Pool, targetPool.Kind)
	if st.Kind == stage.Generate {
		p.require(st.Model != "", "model", "the model to generate with")
		known := len(targetPool.Models) == 0 || slices.Contains(targetPool.Models, st.Model)
		p.require(known, "model", "one of the models of pool %q, not %q", st.Pool, st.Model)
	}
	return p.list
}

// declaredAction is like stage.Spec.IsAction, but false if Repeatable is not set, which is reported as its own problem.
func declaredAction(st stage.Spec) bool { return st.Repeatable != nil && !*st.Repeatable }

// poolKind returns the kind of pool that a stage needs, empty if the kind of the stage is unknown.
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

func (s Set) pipelineProblems(spec pipe.Spec) []Problem {
	p := problems{ref: Ref{Kind: Pipelines, Name: spec.Name}}
	p.require(len(spec.Stages) > 0, "stages", "at least one stage")
	p.requireUnique("stages", spec.Stages)
	actions := 0
	for _, name := range spec.Stages {
		st, ok := s.Stages[name]
		p.require(ok, "stages", "a stage that exists, not %q", name)
		if ok && declaredAction(st) {
			actions++
		}
	}
	p.require(actions <= 1, "stages",
		"at most one stage that is not repeatable, as a request has one key, not %d", actions)
	p.require(spec.DeadlineMs > 0, "deadlineMs", "a deadline over 0 ms")
	classes := []pipe.SizeClass{"", pipe.Short, pipe.Long}
	p.require(slices.Contains(classes, spec.SizeClass), "sizeClass", "short or long, not %q", spec.SizeClass)
	p.require(spec.MaxBodyBytes >= 0, "maxBodyBytes", "0 or more")
	p.requireUnique("optional", spec.Optional)
	for _, name := range spec.Optional {
		p.require(slices.Contains(spec.Stages, name), "optional", "a stage of the pipeline, not %q", name)
		p.require(!declaredAction(s.Stages[name]), "optional", "only repeatable stages, not the action %q", name)
	}
	return p.list
}

func (s Set) presetProblems(spec preset.Spec, hasTeam func(string) bool) []Problem {
	p := problems{ref: Ref{Kind: Presets, Name: spec.Name}}
	for name := range s.Pipelines {
		_, ok := spec.Pipelines[name]
		p.require(ok, "pipelines", "a line for pipeline %q", name)
	}
	for name, settings := range spec.Pipelines {
		s.pipelineSettingsProblems(&p, name, settings)
	}
	for name, share := range spec.Shares {
		p.require(hasTeam(name), "shares", "a team that exists, not %q", name)
		p.require(isFraction(share), "shares."+name, "between 0 and 1")
	}
	p.require(spec.RatePerSecond >= 0, "ratePerSecond", "0 or more")
	p.require(isFraction(spec.HedgeBudget), "hedgeBudget", "between 0 and 1")
	p.require(isFraction(spec.RetryBudget), "retryBudget", "between 0 and 1")
	p.require(isFraction(spec.SpillCap), "spillCap", "between 0 and 1")
	p.requireUnique("maintenanceZones", spec.MaintenanceZones)
	for _, zone := range spec.MaintenanceZones {
		p.require(namePattern.MatchString(zone), "maintenanceZones",
			"names of availability zones, not %q: %s", zone, nameExpected)
	}
	for model, n := range spec.Runners {
		p.require(s.servesModel(model), "runners", "models of a pool of kind engine, not %q", model)
		p.require(n >= 0, "runners."+model, "0 or more")
	}
	return p.list
}

func (s Set) pipelineSettingsProblems(p *problems, name string, settings preset.PipelineSettings) {
	field := "pipelines." + name
	pipeline, ok := s.Pipelines[name]
	if !ok {
		p.add(field, "a pipeline that exists")
		return
	}
	p.require(settings.Weight >= 0, field+".weight", "0 or more")
	p.requireUnique(field+".skip", settings.Skip)
	for _, st := range settings.Skip {
		p.require(slices.Contains(pipeline.Optional, st), field+".skip", "optional stages of the pipeline, not %q", st)
	}
	p.require(len(settings.Skip) < len(pipeline.Stages) || len(pipeline.Stages) == 0, field+".skip",
		"at least one stage left to run")
}

// servesModel reports whether the engines of any pool may load the model.
func (s Set) servesModel(model string) bool {
	for _, p := range s.Pools {
		if p.Kind == pool.Engine && slices.Contains(p.Models, model) {
			return true
		}
	}
	return false
}

// ValidateTeam returns the problems of one team on its own.
func ValidateTeam(t team.Spec, hasPipeline func(string) bool) []Problem {
	p := problems{ref: Ref{Kind: Teams, Name: t.Name}}
	p.require(namePattern.MatchString(t.Name), "name", nameExpected)
	p.require(digestPattern.MatchString(t.TokenDigest), "tokenDigest",
		"the SHA-256 of the token as 64 lower-case hex digits")
	p.require(isFraction(t.Share), "share", "between 0 and 1")
	p.require(t.RatePerSecond >= 0, "ratePerSecond", "0 or more")
	p.require(t.Weight >= 0, "weight", "0 or more")
	p.requireUnique("pipelines", t.Pipelines)
	for _, name := range t.Pipelines {
		p.require(hasPipeline(name), "pipelines", "a pipeline that exists, not %q", name)
	}
	return p.list
}

// tokenProblems returns a problem for each team that has the token of another.
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

// TokenProblem returns the problem of a team that has the same token as another.
func TokenProblem(name, owner string) Problem {
	return Problem{
		Object:   Ref{Kind: Teams, Name: name}.String(),
		Field:    "tokenDigest",
		Expected: "a token of its own, not that of team " + owner,
	}
}

// shareProblems returns a problem for each preset under which the teams' shares add up to more than 1, and one if they
// do so without a preset.
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

func isFraction(f float64) bool { return f >= 0 && f <= 1 }
