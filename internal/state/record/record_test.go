package record

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
)

func sample(c *qt.C) Record {
	base := map[config.Ref]int64{config.InForceRef(): 4, {Kind: config.Teams, Name: "acme"}: config.Absent}
	r, err := New(Preset, NewNonce(7, uuid.UUID{1}), "ann", 1700000000000, base, PresetBody{Name: "peak"})
	c.Assert(err, qt.IsNil)
	return r
}

func encoded(c *qt.C, r Record) []byte {
	data, err := Encode(r)
	c.Assert(err, qt.IsNil)
	return data
}

func reason(err error) Reason {
	var e *Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Reason
}

func TestFormatOne(t *testing.T) {
	c := qt.New(t)
	data := encoded(c, sample(c))
	c.Assert(string(data), qt.Equals, `{"format":1,"kind":"preset",`+
		`"nonce":"7-01000000-0000-0000-0000-000000000000","author":"ann","timeMs":1700000000000,`+
		`"base":{"inForce":4,"teams/acme":-1},"payload":{"name":"peak"},"checksum":"cdef50ef283c7864"}`)
	r, err := Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(r, qt.DeepEquals, sample(c))
}

func TestTruncationAndFlippedBitsAreDetected(t *testing.T) {
	c := qt.New(t)
	data := encoded(c, sample(c))
	for n := range data {
		_, err := Decode(data[:n])
		c.Assert(reason(err), qt.Equals, Truncated)
	}
	for i := range len(data) * 8 {
		bad := append([]byte(nil), data...)
		bad[i/8] ^= 1 << (i % 8)
		_, err := Decode(bad)
		c.Assert(err, qt.IsNotNil, qt.Commentf("bit %d", i))
	}
}

func TestUnreadableRecords(t *testing.T) {
	c := qt.New(t)
	newer := sample(c)
	newer.Format = Format + 1
	older := sample(c)
	older.Format = 0
	noNonce := sample(c)
	noNonce.Nonce = "7"
	for _, test := range []struct {
		data []byte
		want Reason
	}{
		{encoded(c, newer), NewerFormat},
		{appendChecksum([]byte(`{"format":2,"sort":"newer"`)), NewerFormat},
		{appendChecksum([]byte(`{"format":1,"sort":"unknown field"`)), Malformed},
		{appendChecksum([]byte(`{"format":1`)), Malformed},
		{appendChecksum([]byte(`[`)), Malformed},
		{encoded(c, older), Malformed},
		{encoded(c, noNonce), Malformed},
	} {
		_, err := Decode(test.data)
		c.Assert(reason(err), qt.Equals, test.want, qt.Commentf("%s", test.data))
	}
}

func TestIsSnapshot(t *testing.T) {
	c := qt.New(t)
	r := sample(c)
	c.Assert(IsSnapshot(encoded(c, r)), qt.IsFalse)
	r.Kind = Snapshot
	c.Assert(IsSnapshot(encoded(c, r)), qt.IsTrue)
}

func TestNonceOffset(t *testing.T) {
	c := qt.New(t)
	next, err := NonceOffset(NewNonce(12, uuid.New()))
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.Equals, int64(12))
	for _, bad := range []string{"", "12", "-1-" + uuid.Nil.String(), "x-" + uuid.Nil.String(), "1-abc"} {
		_, err := NonceOffset(bad)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
}

func FuzzDecode(f *testing.F) {
	c := qt.New(f)
	data := encoded(c, sample(c))
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add(appendChecksum([]byte(`{"format":2`)))
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, in := range [][]byte{data, appendChecksum(append([]byte(nil), data...))} {
			r, err := Decode(in)
			if err != nil {
				if reason(err) == "" {
					t.Fatalf("untyped error %v", err)
				}
				continue
			}
			again, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode(again); err != nil {
				t.Fatalf("decoded record cannot be decoded again: %v", err)
			}
		}
	})
}
