package config

import (
	"encoding/json"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
)

func loadYAML(c *qt.C, file string, into any) {
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(yaml.UnmarshalWithOptions(data, into, yaml.Strict()), qt.IsNil)
}

func TestProblems(t *testing.T) {
	c := qt.New(t)
	var base Objects
	loadYAML(c, "testdata/base.yaml", &base)
	var cases []struct {
		Name     string   `yaml:"name"`
		Set      Objects  `yaml:"set"`
		InForce  string   `yaml:"inForce"`
		Problems []string `yaml:"problems"`
	}
	loadYAML(c, "testdata/problems.yaml", &cases)
	for _, test := range cases {
		c.Run(test.Name, func(c *qt.C) {
			all := Objects{
				Pools:     append(slices.Clone(base.Pools), test.Set.Pools...),
				Stages:    append(slices.Clone(base.Stages), test.Set.Stages...),
				Pipelines: append(slices.Clone(base.Pipelines), test.Set.Pipelines...),
				Presets:   append(slices.Clone(base.Presets), test.Set.Presets...),
				Teams:     append(slices.Clone(base.Teams), test.Set.Teams...),
			}
			got := []string{}
			for _, p := range all.Set().WithInForce(test.InForce).Validate() {
				got = append(got, p.String())
			}
			slices.Sort(got)
			slices.Sort(test.Problems)
			c.Assert(got, qt.DeepEquals, test.Problems)
		})
	}
}

func TestKeyAndNameMustAgree(t *testing.T) {
	c := qt.New(t)
	var base Objects
	loadYAML(c, "testdata/base.yaml", &base)
	set := base.Set()
	set.Teams["other"] = set.Teams["acme"]
	delete(set.Teams, "acme")
	set.Presets["ordinary"], set.Presets["peak"] = set.Presets["peak"], set.Presets["ordinary"]
	var fields []string
	for _, p := range set.Validate() {
		fields = append(fields, p.Object+" "+p.Field)
	}
	c.Assert(fields, qt.DeepEquals, []string{
		"presets/ordinary name", "presets/peak name", "presets/peak shares", "teams/other name",
	})
}

func TestRefText(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"pools/a", "teams/a.b", "inForce"} {
		var r Ref
		c.Assert(r.UnmarshalText([]byte(text)), qt.IsNil)
		c.Assert(r.String(), qt.Equals, text)
	}
	for _, text := range []string{"", "teams", "teams/", "team/a", "inforce"} {
		_, err := ParseRef(text)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func TestDifferences(t *testing.T) {
	c := qt.New(t)
	var base Objects
	loadYAML(c, "testdata/base.yaml", &base)
	one, two := base.Presets[0], base.Presets[1]
	c.Assert(Differences(one, one), qt.HasLen, 0)
	got, err := json.Marshal(Differences(two, one))
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, `[`+
		`{"field":"name","yours":"\"peak\"","theirs":"\"ordinary\""},`+
		`{"field":"pipelines.summary","yours":"","theirs":"{}"},`+
		`{"field":"pipelines.summary.skip","yours":"[\"rerank\"]","theirs":""},`+
		`{"field":"shares.acme","yours":"0.2","theirs":""}]`)
}
