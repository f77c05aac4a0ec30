package cloud

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const readPollInterval = 5 * time.Millisecond // how often a long poll checks for new records

// record is one entry of a keyed topic; an empty value deletes the key.
type record struct {
	key   string
	value []byte
}

// Store is a stand-in for the metadata store: keyed topics with one partition each, which can fail and be trimmed.
// Its methods are safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	status int            // HTTP status of every answer; 0 while the store works
	era    int            // rises when the store comes back from a copy
	calls  map[string]int // by operation
}

// topic is one keyed topic; an offset is an index into its records.
type topic struct {
	first   int // offset of the oldest readable record
	records []record
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[string]*topic{}, calls: map[string]int{}} }

// Put appends a record as the operator or an upstream would; an empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key: key, value: value})
}

// serverEntry is the entry of an upstream in the list of servers, as the upstream itself writes it.
type serverEntry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
	Version  string `json:"version"`
	Cold     *int64 `json:"cold_remaining_ms,omitempty"`
}

// PutServer puts an upstream in zone-a on the list of servers, as the upstream itself would; version is that of its
// software, and born the start of its process in Unix ms.
func (s *Store) PutServer(id, pool, version, address, state string, slots int, born int64) {
	s.PutServerIn("zone-a", id, pool, version, address, state, slots, born)
}

// PutServerIn does the same for an upstream in the given zone.
func (s *Store) PutServerIn(zone, id, pool, version, address, state string, slots int, born int64) {
	s.putServer(id, serverEntry{Service: pool, Address: address, Zone: zone, Slots: slots, State: state, Sequence: 1,
		Born: born, Version: version})
}

// PutWarm puts an upstream in zone-a on the list that says that it is not cold.
func (s *Store) PutWarm(id, pool, address string) {
	s.putServer(id, serverEntry{Service: pool, Address: address, Zone: "zone-a", Slots: 4, State: "ready", Sequence: 1,
		Born: 1, Version: "v1", Cold: new(int64)})
}

func (s *Store) putServer(id string, entry serverEntry) {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	s.Put("keyed.servers", id, value)
}

// Evacuate evacuates a zone, as the operator would.
func (s *Store) Evacuate(zone string) { s.Put("keyed.op", "evacuate/"+zone, []byte("{}")) }

// Revoke revokes the evacuation of a zone, as the operator would.
func (s *Store) Revoke(zone string) { s.Put("keyed.op", "evacuate/"+zone, nil) }

// Trim makes all present records unreadable by offset, as a compaction does; the newest value of each key remains.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
}

// SetStatus makes every call fail with an HTTP status; 0 ends the outage.
func (s *Store) SetStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Copy returns a copy of all topics, for Restore.
func (s *Store) Copy() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for name, t := range s.topics {
		out[name] = len(t.records)
	}
	return out
}

// Restore brings the store back from a copy: records written since are gone, and the era rises.
func (s *Store) Restore(ends map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, t := range s.topics {
		t.records = t.records[:ends[name]]
		t.first = min(t.first, len(t.records))
	}
}

// Calls returns the number of calls of an operation, such as log-read.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP handles one call of the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, unchanged) }

// View returns a handler of the store for one reader, which sees each value as change returns it.
func (s *Store) View(change func(topic, key string, value []byte) []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, change) })
}

func unchanged(_, _ string, value []byte) []byte { return value }

func (s *Store) serve(w http.ResponseWriter, r *http.Request, change func(topic, key string, value []byte) []byte) {
	name := r.URL.Path[len("/ragworthatch/"):]
	s.mu.Lock()
	status := s.status
	s.calls[name]++
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch name {
	case "log-newest":
		s.serveNewest(w, r, change)
	case "log-read":
		s.serveRead(w, r, change)
	case "log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveNewest(
	w http.ResponseWriter, r *http.Request, change func(topic, key string, value []byte) []byte) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	var body struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   int    `json:"end"`
	}
	s.mu.Lock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	newest := map[string]int{}
	for i, rec := range t.records {
		newest[rec.key] = i
	}
	for key, i := range newest {
		if value := t.records[i].value; len(value) > 0 && key > r.URL.Query().Get("after") {
			body.Items = append(body.Items, item{key, base64.StdEncoding.EncodeToString(change(name, key, value)), i})
		}
	}
	body.End = len(t.records)
	s.mu.Unlock()
	slices.SortFunc(body.Items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	const pageSize = 3 // small, so that tests read more than one page
	if len(body.Items) > pageSize {
		body.Items, body.More = body.Items[:pageSize], true
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, change func(topic, key string, value []byte) []byte) {
	name := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(readPollInterval) {
		s.mu.Lock()
		t := s.topic(name)
		end, first := len(t.records), t.first
		var found []record
		if from <= end && from >= first {
			for _, rec := range t.records[from:] {
				found = append(found, record{rec.key, change(name, rec.key, rec.value)})
			}
		}
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, `{"first":%d}`, first)
			return
		}
		if len(found) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			_, _ = w.Write(encodeRecords(end, first, found))
			return
		}
	}
}

// encodeRecords returns the answer to log-read: the end and first offsets, then each record with its length, its key's
// length, its key and its value.
func encodeRecords(end, first int, records []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, rec := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	return out
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records []record
	for len(data) > 0 {
		if len(data) < 5 || len(data) < 4+int(binary.BigEndian.Uint32(data)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := data[4 : 4+binary.BigEndian.Uint32(data)]
		keyEnd := 1 + int(content[0])
		records = append(records, record{string(content[1:keyEnd]), content[keyEnd:]})
		data = data[4+len(content):]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	t.records = append(t.records, records...)
	_, _ = w.Write([]byte("{}"))
}
