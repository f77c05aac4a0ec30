package origin

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Keys of records in the store.
const (
	basePrefix    = "base/"    // and a pool: the base version of the pool
	streamsPrefix = "streams/" // and a unique name: streams that began at other versions
)

// baseValue is the value of a record of a base version.
type baseValue struct {
	Version string `json:"version"`
	Era     int64  `json:"era"` // of the store when it was written
}

// streamsValue is the value of a record of streams.
type streamsValue struct {
	Streams []streamGroup `json:"streams"`
}

// streamGroup lists the streams that began at one version.
type streamGroup struct {
	Pool    string   `json:"pool"`
	Version string   `json:"version"`
	Repeats int      `json:"repeats,omitempty"`
	Keys    []string `json:"keys"` // in hexadecimal
}

// recordedStream is what a record says of a stream.
type recordedStream struct {
	Origin
	repeats int // see lead.Stream
}

// encodeStreams encodes the value of a record of streams.
func encodeStreams(streams map[uint64]recordedStream) ([]byte, error) {
	keys := map[recordedStream][]string{}
	for key, r := range streams {
		keys[r] = append(keys[r], strconv.FormatUint(key, 16))
	}
	var value streamsValue
	for r, list := range keys {
		value.Streams = append(value.Streams, streamGroup{Pool: r.Pool, Version: r.Version, Repeats: r.repeats, Keys: list})
	}
	return json.Marshal(value)
}

// decodeStreams decodes the value of a record of streams. It fails on malformed JSON and keys.
func decodeStreams(data []byte) (map[uint64]recordedStream, error) {
	var value streamsValue
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	out := map[uint64]recordedStream{}
	for _, group := range value.Streams {
		for _, text := range group.Keys {
			key, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("key of a stream: %w", err)
			}
			out[key] = recordedStream{Origin{group.Pool, group.Version}, group.Repeats}
		}
	}
	return out, nil
}

// recordKey returns the key of a record of streams; number counts those of its writer.
func recordKey(writer string, number int) string {
	return fmt.Sprintf("%s%s/%d", streamsPrefix, writer, number)
}

// writerOf returns the writer of a record of streams, and its number.
func writerOf(key string) (writer string, number int, err error) {
	name, text, _ := strings.Cut(strings.TrimPrefix(key, streamsPrefix), "/")
	number, err = strconv.Atoi(text)
	return name, number, err
}

// poolOf returns the pool of a record of a base version.
func poolOf(key string) (pool string, ok bool) { return strings.CutPrefix(key, basePrefix) }

func encodeBase(value baseValue) ([]byte, error) { return json.Marshal(value) }

// decodeBase decodes the value of a record of a base version. It fails on malformed JSON and without a version.
func decodeBase(data []byte) (value baseValue, err error) {
	if err = json.Unmarshal(data, &value); err == nil && value.Version == "" {
		err = errors.New("no version")
	}
	return value, err
}
