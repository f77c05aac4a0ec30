package publish

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	settings := map[string]string{
		"rapid.seed":       "4",
		"rapid.checks":     "500",
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "5m", // of virtual time, in which each try takes a second
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
