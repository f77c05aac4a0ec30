package feed

// ring holds the newest records, contiguous, and evicts the oldest above maxBytes.
type ring struct {
	first    int64 // offset of records[0]
	records  [][]byte
	bytes    int
	maxBytes int
}

// reset empties the ring; the next record to be added has offset first.
func (r *ring) reset(first int64) {
	r.first = first
	r.records = nil
	r.bytes = 0
}

// add appends the record after the newest one.
func (r *ring) add(record []byte) {
	r.records = append(r.records, record)
	r.bytes += len(record)
	for r.bytes > r.maxBytes && len(r.records) > 0 {
		r.bytes -= len(r.records[0])
		r.records[0] = nil
		r.records = r.records[1:]
		r.first++
	}
}

// after returns up to limit records after offset, with their offsets; false means that some have been evicted.
func (r *ring) after(offset int64, limit int) ([]int64, [][]byte, bool) {
	from := offset + 1
	end := r.first + int64(len(r.records))
	if from < r.first {
		return nil, nil, false
	}
	var offsets []int64
	var records [][]byte
	for at := from; at < end && len(records) < limit; at++ {
		offsets = append(offsets, at)
		records = append(records, r.records[at-r.first])
	}
	return offsets, records, true
}
