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
	// maxLogBytes is the largest file of a published log.
	maxLogBytes = 256 << 20
	// readTimeout bounds the reading of a whole log from a platform.
	readTimeout = time.Minute
	// readsPerSecond is what one command may ask of a platform.
	readsPerSecond = 10
)

// publishedLog is a configuration and the records after it.
type publishedLog struct {
	start   *patch.Configuration
	records []currantturn.Record
}

// configurationAt returns the last configuration with a version, and the
// version that the log ends at.
func (l *publishedLog) configurationAt(want currantturn.Version) (*patch.Configuration, currantturn.Version, error) {
	last := l.start
	var found *patch.Configuration
	if last.Version == want {
		found = last
	}
	for i := range l.records {
		next, _, err := last.Next(&l.records[i])
		if err != nil {
			return nil, 0, err
		}
		last = next
		if last.Version == want {
			found = last
		}
	}
	if found == nil {
		return nil, 0, eris.Errorf("the log holds versions %d to %d, not %d", l.start.Version, last.Version, want)
	}
	return found, last.Version, nil
}

// readLog reads a published log from a file or from a platform's URL.
func readLog(ctx context.Context, source string) (*publishedLog, error) {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return readPlatform(ctx, source)
	}
	p, err := file.Read(source, maxLogBytes)
	if err != nil {
		return nil, eris.Wrap(command.ErrBadInput, err.Error())
	}
	records, err := decodeLog(bytes.NewReader(p))
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", source, err)
	}
	return &publishedLog{start: &patch.Configuration{}, records: records}, nil
}

// readPlatform reads the snapshot of a platform and every record after it.
func readPlatform(ctx context.Context, source string) (*publishedLog, error) {
	u, err := url.Parse(source)
	if err != nil {
		return nil, eris.Wrap(command.ErrBadInput, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c := platform.New(platform.Options{URLs: []*url.URL{u}, ReadsPerSecond: readsPerSecond})
	snapshot, err := c.Snapshot(ctx)
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
		records, err := c.Watch(ctx, after, 0)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			return l, nil
		}
		last := records[len(records)-1].Position
		if last <= after {
			return nil, eris.Wrapf(command.ErrBadInput, "%s: position %d after %d", source, last, after)
		}
		l.records = append(l.records, records...)
		after = last
	}
}

// logRecord is a record whose patch is JSON as published, or base64 of it.
type logRecord struct {
	Position uint64          `json:"position"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Patch    json.RawMessage `json:"patch"`
}

// decodeLog reads one JSON record after another, or arrays of records.
func decodeLog(r io.Reader) ([]currantturn.Record, error) {
	var all []currantturn.Record
	d := json.NewDecoder(r)
	for {
		var raw json.RawMessage
		err := d.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		records, err := decodeRecords(raw)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
}

func decodeRecords(raw json.RawMessage) ([]currantturn.Record, error) {
	if !bytes.HasPrefix(raw, []byte("[")) {
		raw = arrayOf(raw)
	}
	var in []logRecord
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	out := make([]currantturn.Record, len(in))
	for i, r := range in {
		out[i] = currantturn.Record{Position: r.Position, Author: r.Author, Time: r.Time, Patch: r.Patch}
		if bytes.HasPrefix(r.Patch, []byte(`"`)) {
			out[i].Patch = nil
			if err := json.Unmarshal(r.Patch, &out[i].Patch); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

// arrayOf makes an array of one record.
func arrayOf(raw json.RawMessage) json.RawMessage {
	return bytes.Join([][]byte{[]byte("["), raw, []byte("]")}, nil)
}
