package message

import (
	"sync"

	"github.com/currantturn/currantturn"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxBytes is the largest size of an encoded control message; it fits the usual
// path MTU, so that the message is not fragmented.
const MaxBytes = 1200

// taggedMessage is the wire form of a message: its kind and its encoded body.
type taggedMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind currantturn.Kind
	Body cbor.RawMessage
}

// decoder decodes the body of messages of one kind.
type decoder func(body []byte) (currantturn.Message, error)

var (
	decodersMu sync.RWMutex
	decoders   = map[currantturn.Kind]decoder{}
	encMode    = mustEncMode()
)

// mustEncMode returns the encoding options: canonical CBOR, with times in UTC and
// text marshalers as text.
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

// Register adds the decoder of messages of type T; packages call it from init.
func Register[T currantturn.Message]() {
	var zero T
	decodersMu.Lock()
	defer decodersMu.Unlock()
	decoders[zero.Kind()] = func(body []byte) (currantturn.Message, error) {
		var m T
		err := decMode.Unmarshal(body, &m)
		return m, err
	}
}

// Encode returns the wire form of a message, or ErrTooLarge if it exceeds MaxBytes.
func Encode(m currantturn.Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %s", m.Kind())
	}
	p, err := encMode.Marshal(taggedMessage{Kind: m.Kind(), Body: body})
	if err != nil {
		return nil, eris.Wrapf(err, "encode %s", m.Kind())
	}
	if len(p) > MaxBytes {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "%s of %d bytes", m.Kind(), len(p))
	}
	return p, nil
}

// Decode returns the message encoded in p, or ErrMalformed if p is not a message
// of a registered kind.
func Decode(p []byte) (currantturn.Message, error) {
	var tagged taggedMessage
	if err := decMode.Unmarshal(p, &tagged); err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	decodersMu.RLock()
	decode := decoders[tagged.Kind]
	decodersMu.RUnlock()
	if decode == nil {
		return nil, eris.Wrapf(currantturn.ErrMalformed, "unknown message kind %q", tagged.Kind)
	}
	m, err := decode(tagged.Body)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	return m, nil
}

var decMode = mustDecMode()

// mustDecMode returns the decoding options: messages with unknown fields or with
// large arrays or maps are rejected.
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
