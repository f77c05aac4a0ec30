package ident

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMintTime(t *testing.T) {
	const id = "0190a5c4-7c00-7abc-8def-0123456789ab"
	for _, tc := range []struct {
		name, id string
		ok       bool
	}{
		{"canonical", id, true},
		{"upper case", strings.ToUpper(id), false},
		{"in braces", "{" + id + "}", false},
		{"without dashes", strings.ReplaceAll(id, "-", ""), false},
		{"version 4", "0190a5c4-7c00-4abc-8def-0123456789ab", false},
		{"empty", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at, ok := MintTime(tc.id)
			qt.Assert(t, ok, qt.Equals, tc.ok)
			if ok {
				qt.Assert(t, at.Equal(time.UnixMilli(0x0190a5c47c00)), qt.IsTrue)
			}
		})
	}
}
