package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// maxLogBytes is the largest file of a published log.
const maxLogBytes = 256 << 20

// checkPatch folds the log and judges the patch at the version it builds on.
func checkPatch(ctx context.Context, c command.PatchCheck) (*command.PatchVerdict, error) {
	records, err := readLog(ctx, c.Log)
	if err != nil {
		return nil, err
	}
	base, head, err := configurationAt(records, c.Against)
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", c.Log, err)
	}
	verdict, diff := patch.Check(base, c.Patch)
	out := &command.PatchVerdict{Accepted: verdict.Outcome == patch.InForce, Version: verdict.Version, Head: head}
	for _, r := range verdict.Reasons {
		out.Reasons = append(out.Reasons, r.Error())
	}
	for _, change := range diff {
		out.Changes = append(out.Changes, change.String())
	}
	return out, nil
}

// configurationAt returns the last configuration with a version, and the
// version that the log ends at.
func configurationAt(records []currantturn.Record, want currantturn.Version) (*patch.Configuration, currantturn.Version, error) {
	last := &patch.Configuration{}
	var found *patch.Configuration
	if want == 0 {
		found = last
	}
	for i := range records {
		next, _, err := last.Next(&records[i])
		if err != nil {
			return nil, 0, err
		}
		last = next
		if last.Version == want {
			found = last
		}
	}
	if found == nil {
		return nil, 0, eris.Errorf("the log ends at version %d, before version %d", last.Version, want)
	}
	return found, last.Version, nil
}

// readLog reads the records of a file; reading a platform's URL is not part of
// this build.
func readLog(_ context.Context, source string) ([]currantturn.Record, error) {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return nil, eris.Wrap(command.ErrNotWired, "reading a log by URL")
	}
	p, err := file.Read(source, maxLogBytes)
	if err != nil {
		return nil, eris.Wrap(command.ErrBadInput, err.Error())
	}
	records, err := decodeLog(bytes.NewReader(p))
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", source, err)
	}
	return records, nil
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
