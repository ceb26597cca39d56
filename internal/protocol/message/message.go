package message

import (
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxBytes is the largest encoded control message, below the usual path MTU.
const MaxBytes = 1200

type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind currantturn.Kind
	Body cbor.RawMessage
}

type decoder func(body []byte) (currantturn.Message, error)

var (
	mu       sync.RWMutex
	decoders = map[currantturn.Kind]decoder{}
	encMode  = mustEncMode()
)

func mustEncMode() cbor.EncMode {
	opts := cbor.CanonicalEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	opts.TextMarshaler = cbor.TextMarshalerTextString
	m, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Register makes messages of type T decodable; packages call it from init.
func Register[T currantturn.Message]() {
	var zero T
	mu.Lock()
	defer mu.Unlock()
	decoders[zero.Kind()] = func(body []byte) (currantturn.Message, error) {
		var m T
		err := decMode.Unmarshal(body, &m)
		return m, err
	}
}

// Encode returns the wire form of a message; it reports ErrTooLarge above MaxBytes.
func Encode(m currantturn.Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %s", m.Kind())
	}
	p, err := encMode.Marshal(frame{Kind: m.Kind(), Body: body})
	if err != nil {
		return nil, eris.Wrapf(err, "encode %s", m.Kind())
	}
	if len(p) > MaxBytes {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "%s of %d bytes", m.Kind(), len(p))
	}
	return p, nil
}

// Decode returns the message in p; it reports ErrMalformed for anything else.
func Decode(p []byte) (currantturn.Message, error) {
	var f frame
	if err := decMode.Unmarshal(p, &f); err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	mu.RLock()
	decode := decoders[f.Kind]
	mu.RUnlock()
	if decode == nil {
		return nil, eris.Wrapf(currantturn.ErrMalformed, "unknown message kind %q", f.Kind)
	}
	m, err := decode(f.Body)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return m, nil
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	opts := cbor.DecOptions{
		TextUnmarshaler:   cbor.TextUnmarshalerTextString,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  4096,
		MaxMapPairs:       4096,
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
