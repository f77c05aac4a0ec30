package demo

import (
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// declared is the configuration that the demo publishes.
func declared() config.Objects {
	yes, no := true, false
	return config.Objects{
		Pools: []pool.Spec{
			{Name: "encoders", Kind: pool.Stage},
			{Name: "retrievers", Kind: pool.Stage},
			{Name: "rerankers", Kind: pool.Stage},
			{Name: "runners", Kind: pool.Engine, Resumes: true, ChecksFence: true, Models: []string{"summarizer"}},
			{Name: "ledger", Kind: pool.Service},
		},
		Stages: []stage.Spec{
			{Name: "embed", Kind: stage.Encode, Pool: "encoders", Repeatable: &yes},
			{Name: "find", Kind: stage.Retrieve, Pool: "retrievers", Repeatable: &yes},
			{Name: "order", Kind: stage.Rerank, Pool: "rerankers", Repeatable: &yes},
			{Name: "write", Kind: stage.Generate, Pool: "runners", Model: "summarizer", Repeatable: &yes, MaxTokens: 64},
			{Name: "move", Kind: stage.Service, Pool: "ledger", Repeatable: &no},
		},
		Pipelines: []pipe.Spec{
			{Name: "summary", Stages: []string{"embed", "find", "order", "write"}, DeadlineMs: 11000, SizeClass: pipe.Long, Optional: []string{"order"}},
			{Name: "lookup", Stages: []string{"embed", "find"}, DeadlineMs: 3000},
			{Name: "transfer", Stages: []string{"move"}, DeadlineMs: 5000},
		},
		Presets: []preset.Spec{
			{Name: "ordinary", Pipelines: map[string]preset.Line{"summary": {}, "lookup": {}, "transfer": {}}},
			{Name: "peak", Pipelines: map[string]preset.Line{"summary": {Skip: []string{"order"}}, "lookup": {}, "transfer": {}}},
		},
		Teams: []team.Spec{
			{Name: "collectors", TokenDigest: digest(callersToken), Share: 0.6},
			{Name: "operators", TokenDigest: digest(opsToken), Operator: true},
		},
	}
}
