package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswer  = 4 * time.Millisecond // time of an answer, as on the sheets
	readKilobyte = 1024                 // default of maximum_kilobytes in log-read
	newestItems  = 500                  // most items of an answer to log-newest
	newestBytes  = 1 << 20              // most bytes of their values
)

// logRecord is one record of a keyed topic; one without a value drops its key.
type logRecord struct {
	key   string
	value []byte
}

// size is the size of the record in an answer to log-read.
func (r logRecord) size() int { return 4 + 1 + len(r.key) + len(r.value) }

// store is a stand-in for the platform's metadata store: a log with keyed topics of one partition. It loses nothing, and
// keeps everything, as no script runs for as long as keep_s.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	topics  map[string][]logRecord
	server  *http.Server
	address string
}

func newStore(address string) (*store, error) {
	s := &store{topics: map[string][]logRecord{}, address: address}
	s.changed = sync.NewCond(&s.mu)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put appends a record, as the operator or a runner does, and returns the time of the acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], logRecord{key, value})
	s.changed.Broadcast()
	return time.Now()
}

// bytesOf returns the size of all records of a topic.
func (s *store) bytesOf(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.topics[topic] {
		n += r.size()
	}
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	query := r.URL.Query()
	topic := query.Get("topic")
	if query.Get("part") != "0" || !strings.HasPrefix(topic, "keyed.") {
		http.Error(w, "no such partition here", http.StatusBadRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /ragworthatch/log-read":
		s.read(w, r, topic)
	case "GET /ragworthatch/log-newest":
		s.newest(w, topic, query.Get("after"))
	case "POST /ragworthatch/log-append":
		s.append(w, r, topic)
	default:
		http.NotFound(w, r)
	}
}

// read answers with records from an offset on, up to maximum_kilobytes, as soon as there is one.
func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	kilobytes, err := strconv.Atoi(query.Get("maximum_kilobytes"))
	if err != nil {
		kilobytes = readKilobyte
	}
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until), s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	for from == len(s.topics[topic]) && time.Now().Before(until) {
		s.changed.Wait()
	}
	records := s.topics[topic]
	s.mu.Unlock()
	if from > len(records) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	size := 0
	for _, rec := range records[from:] {
		if size += rec.size(); size > kilobytes<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(rec.size()-4))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = w.Write(out)
}

// newest answers with the newest record of each key, in pages.
func (s *store) newest(w http.ResponseWriter, topic, after string) {
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
	records := s.topics[topic]
	s.mu.Unlock()
	body.Items, body.End = []item{}, len(records)
	latest := map[string]int{}
	for i, rec := range records {
		latest[rec.key] = i
	}
	var keys []string
	for key, i := range latest {
		if len(records[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		value := records[latest[key]].value
		if size += len(value); len(body.Items) >= newestItems || size > newestBytes {
			body.More = true
			break
		}
		body.Items = append(body.Items, item{key, base64.StdEncoding.EncodeToString(value), latest[key]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// append appends the records of a call, all or none.
func (s *store) append(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records []logRecord
	for len(data) > 0 {
		if len(data) < 5 || len(data)-4 < int(binary.BigEndian.Uint32(data)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := data[4 : 4+binary.BigEndian.Uint32(data)]
		data = data[4+len(content):]
		keyEnd := 1 + int(content[0])
		if keyEnd > len(content) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, logRecord{string(content[1:keyEnd]), content[keyEnd:]})
	}
	s.mu.Lock()
	first := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": first})
		return
	}
	s.topics[topic] = append(s.topics[topic], records...)
	s.changed.Broadcast()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": first + len(records)})
}
