package assemble_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/entry/assemble"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

var id = &sidepb.Identity{RequestId: "r", Stage: "s", Attempt: 2}

// frame returns a frame of the attempt id with one chunk, whose index is seq.
func frame(seq uint64, chunk string) *sidepb.CallFrame {
	c := &sidepb.Chunk{Index: seq, Data: []byte(chunk)}
	return &sidepb.CallFrame{Id: id, Seq: seq, Body: &sidepb.CallFrame_Chunk{Chunk: c}}
}

// whole returns the last frame of a complete answer of the given chunks.
func whole(seq uint64, chunks ...string) *sidepb.CallFrame {
	d := ident.NewDigest()
	for _, c := range chunks {
		d.Add([]byte(c))
	}
	w := &sidepb.Whole{Count: d.Count(), Digest: d.Sum()}
	return &sidepb.CallFrame{Id: id, Seq: seq, Body: &sidepb.CallFrame_Whole{Whole: w}}
}

func TestDuplicateFramesAreDropped(t *testing.T) {
	c := qt.New(t)
	a := assemble.New(id, nil)
	for _, f := range []*sidepb.CallFrame{frame(0, "a"), frame(0, "a"), frame(1, "b"), frame(0, "a"), frame(1, "b")} {
		_, err := a.Add(f)
		c.Assert(err, qt.IsNil)
	}
	step, err := a.Add(whole(2, "a", "b"))
	c.Assert(err, qt.IsNil)
	c.Check(step, qt.Equals, assemble.Complete)
	c.Check(a.Chunks(), qt.HasLen, 2)
}

func TestMissingFrameIsAnError(t *testing.T) {
	c := qt.New(t)
	a := assemble.New(id, nil)
	_, err := a.Add(frame(1, "b"))
	c.Check(err, qt.ErrorMatches, `incomplete \(mayHaveRun\): .*`)
}

func TestFramesOfOtherAttemptsAreForeign(t *testing.T) {
	c := qt.New(t)
	a := assemble.New(id, nil)
	for _, other := range []*sidepb.Identity{
		{RequestId: "r", Stage: "s", Attempt: 1}, {RequestId: "r", Stage: "t", Attempt: 2}, {RequestId: "q", Stage: "s", Attempt: 2}, nil,
	} {
		f := frame(0, "a")
		f.Id = other
		step, err := a.Add(f)
		c.Assert(err, qt.IsNil)
		c.Check(step, qt.Equals, assemble.Foreign)
	}
	c.Check(a.Chunks(), qt.HasLen, 0)
}

// FuzzAnswer checks that an answer made of arbitrary frames is complete only if its count and digest match.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []*sidepb.CallFrame{frame(0, "a"), whole(0), whole(1, "a"), {Id: id}, {}} {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in sidepb.CallFrame
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		a := assemble.New(id, [][]byte{[]byte("held")})
		for seq := range uint64(3) {
			in.Seq = seq
			step, err := a.Add(&in)
			if step == assemble.Complete && (in.GetWhole().GetDigest() != a.Digest() || err != nil) {
				t.Fatalf("whole with digest %s, have %s", in.GetWhole().GetDigest(), a.Digest())
			}
		}
	})
}
