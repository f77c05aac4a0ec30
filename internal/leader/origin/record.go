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
	Keys    []string `json:"keys"` // in hexadecimal
}

// encodeStreams encodes the value of a record of streams.
func encodeStreams(streams map[uint64]Origin) ([]byte, error) {
	keys := map[Origin][]string{}
	for key, o := range streams {
		keys[o] = append(keys[o], strconv.FormatUint(key, 16))
	}
	var value streamsValue
	for o, list := range keys {
		value.Streams = append(value.Streams, streamGroup{Pool: o.Pool, Version: o.Version, Keys: list})
	}
	return json.Marshal(value)
}

// decodeStreams decodes the value of a record of streams. It fails on malformed JSON and keys.
func decodeStreams(data []byte) (map[uint64]Origin, error) {
	var value streamsValue
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	out := map[uint64]Origin{}
	for _, group := range value.Streams {
		for _, text := range group.Keys {
			key, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("key of a stream: %w", err)
			}
			out[key] = Origin{Pool: group.Pool, Version: group.Version}
		}
	}
	return out, nil
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
