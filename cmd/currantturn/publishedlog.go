package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/internal/transport/platform"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

const (
	// maxLogBytes is the size limit of a file with a published log.
	maxLogBytes = 256 << 20
	// platformTimeout limits reading a whole log from a platform.
	platformTimeout = time.Minute
	// readsPerSecond limits the requests of one command to a platform.
	readsPerSecond = 10
)

// publishedLog is a configuration and the records published after it.
type publishedLog struct {
	start   *patch.Configuration
	records []currantturn.Record
}

// configurationAt returns the newest configuration of a version, and the last
// version in the log.
func (l *publishedLog) configurationAt(version currantturn.Version) (*patch.Configuration, currantturn.Version, error) {
	current := l.start
	var found *patch.Configuration
	if current.Version == version {
		found = current
	}
	for i := range l.records {
		next, _, err := current.Next(&l.records[i])
		if err != nil {
			return nil, 0, err
		}
		current = next
		if current.Version == version {
			found = current
		}
	}
	if found == nil {
		return nil, 0, eris.Errorf("the log contains versions %d to %d, not %d", l.start.Version, current.Version, version)
	}
	return found, current.Version, nil
}

// readLog reads a published log from a file or from a platform's URL.
func readLog(ctx context.Context, source string) (*publishedLog, error) {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return readPlatformLog(ctx, source)
	}
	content, err := file.Read(source, maxLogBytes)
	if err != nil {
		return nil, eris.Wrap(command.ErrBadInput, err.Error())
	}
	records, err := decodeLog(bytes.NewReader(content))
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", source, err)
	}
	return &publishedLog{start: &patch.Configuration{}, records: records}, nil
}

// readPlatformLog reads the snapshot of a platform and every record after it.
func readPlatformLog(ctx context.Context, source string) (*publishedLog, error) {
	u, err := url.Parse(source)
	if err != nil {
		return nil, eris.Wrap(command.ErrBadInput, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	client := platform.New(platform.Options{URLs: []*url.URL{u}, ReadsPerSecond: readsPerSecond})
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	l := &publishedLog{start: &patch.Configuration{}}
	if len(snapshot) > 0 {
		if l.start, err = configuration.DecodeSnapshot(snapshot); err != nil {
			return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", source, err)
		}
	}
	after := l.start.Position
	for {
		records, err := client.Watch(ctx, after, 0)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			return l, nil
		}
		last := records[len(records)-1].Position
		if last <= after {
			return nil, eris.Wrapf(command.ErrBadInput, "%s: record at position %d follows position %d", source, last, after)
		}
		l.records = append(l.records, records...)
		after = last
	}
}

// logRecord is a record in a file. Its patch is the JSON as published, or a string
// with the JSON in base64.
type logRecord struct {
	Position uint64          `json:"position"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Patch    json.RawMessage `json:"patch"`
}

// decodeLog decodes a sequence of JSON values, each a record or an array of records.
func decodeLog(r io.Reader) ([]currantturn.Record, error) {
	var records []currantturn.Record
	decoder := json.NewDecoder(r)
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, err
		}
		decoded, err := decodeRecords(raw)
		if err != nil {
			return nil, err
		}
		records = append(records, decoded...)
	}
}

func decodeRecords(raw json.RawMessage) ([]currantturn.Record, error) {
	if !bytes.HasPrefix(raw, []byte("[")) {
		raw = wrapInArray(raw)
	}
	var decoded []logRecord
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return nil, err
	}
	records := make([]currantturn.Record, len(decoded))
	for i, r := range decoded {
		records[i] = currantturn.Record{Position: r.Position, Author: r.Author, Time: r.Time, Patch: r.Patch}
		if bytes.HasPrefix(r.Patch, []byte(`"`)) {
			records[i].Patch = nil
			if err := json.Unmarshal(r.Patch, &records[i].Patch); err != nil {
				return nil, err
			}
		}
	}
	return records, nil
}

// wrapInArray returns a JSON array with one element.
func wrapInArray(raw json.RawMessage) json.RawMessage {
	return bytes.Join([][]byte{[]byte("["), raw, []byte("]")}, nil)
}
