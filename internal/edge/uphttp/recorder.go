package uphttp

import "io"

// recorder keeps a copy of what is read through it, while it is on.
type recorder struct {
	from  io.Reader
	on    bool
	bytes []byte
}

// Read reads from the source.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if r.on {
		r.bytes = append(r.bytes, p[:n]...)
	}
	return n, err
}

// start begins a record with bytes that were read before.
func (r *recorder) start(before []byte) { r.on, r.bytes = true, append([]byte(nil), before...) }

// stop ends the record and returns it without the last unused bytes.
func (r *recorder) stop(unused int) []byte {
	recorded := r.bytes[:len(r.bytes)-unused]
	r.on, r.bytes = false, nil
	return recorded
}
