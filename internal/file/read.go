package file

import (
	"io"
	"os"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Read returns the contents of a file, or ErrTooLarge if it has more than limit
// bytes.
func Read(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	p, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(p)) > limit {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "%s is larger than %d bytes", path, limit)
	}
	return p, nil
}
