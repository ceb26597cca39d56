package platform

import (
	"context"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// ReadLog returns the whole published log, for operators' tools. It reports
// ErrMalformed if positions are missing.
func ReadLog(ctx context.Context, p currantturn.Platform) ([]currantturn.Record, error) {
	var all []currantturn.Record
	for {
		records, err := p.Watch(ctx, uint64(len(all)), 0)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			return all, nil
		}
		for i := range records {
			if records[i].Position != uint64(len(all))+1 {
				return nil, eris.Wrapf(currantturn.ErrMalformed, "position %d follows position %d", records[i].Position, len(all))
			}
			all = append(all, records[i])
		}
	}
}
